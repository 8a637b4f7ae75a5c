package scaling

import (
	"errors"
	"testing"
)

func TestSlopesAreFoundByNameAndPrefix(t *testing.T) {
	for name, want := range map[string]int{"agreed-text": 1, "agreed": 1, "push": 3, "record": 6, "follow": 4, "follow-change": 2, "all": len(All())} {
		t.Run(name, func(t *testing.T) {
			found, err := Find(name)
			if err != nil || len(found) != want {
				t.Errorf("Find(%q): got %d slopes and error %v, want %d slopes", name, len(found), err, want)
			}
		})
	}
	if _, err := Find("none-such"); !errors.Is(err, ErrUnknownSlope) {
		t.Errorf("Find(\"none-such\"): got error %v, want %v", err, ErrUnknownSlope)
	}
}
