package scaling

import (
	"strings"
	"testing"
)

// maxTextRoutes is how many routes a sidecar takes, which a whole text may not exceed.
const maxTextRoutes = 1024

// docs/CAPACITY.md states that a text of the operators' 3,400 routes is rejected, and that one holds as many as a sidecar
// takes. Where this changes, the page has to change.
func TestAgreedTextIsRejectedAtOperatorsSize(t *testing.T) {
	s, err := agreedSample(OperatorsRoutes, Brief)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(s.Note, "refused") {
		t.Errorf("%d routes were accepted: take CAPACITY.md's line on that out", OperatorsRoutes)
	}
	if err := agreedRejected(maxTextRoutes); err != nil {
		t.Errorf("%d routes: %v", maxTextRoutes, err)
	}
	if agreedRejected(maxTextRoutes+1) == nil {
		t.Errorf("%d routes are accepted, one over the most", maxTextRoutes+1)
	}
}
