package scaling

import (
	"strings"
	"testing"
)

// maxTextRoutes is the maximum number of routes of a sidecar, which an agreed text must not exceed.
const maxTextRoutes = 1024

// docs/CAPACITY.md states that a text with the operators' 3,400 routes is rejected, and that a text holds at most as
// many routes as a sidecar. If this changes, the page must change.
func TestAgreedTextIsRejectedAtOperatorsSize(t *testing.T) {
	sample, err := agreedSample(OperatorsRoutes, Brief)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(sample.Note, "rejected") {
		t.Errorf("%d routes: got note %q, want a rejection; if the text is now accepted, remove the statement from docs/CAPACITY.md", OperatorsRoutes, sample.Note)
	}
	if err := validateAgreedText(maxTextRoutes); err != nil {
		t.Errorf("%d routes: got error %v, want none", maxTextRoutes, err)
	}
	if validateAgreedText(maxTextRoutes+1) == nil {
		t.Errorf("%d routes: got no error, want a rejection of more than %d", maxTextRoutes+1, maxTextRoutes)
	}
}
