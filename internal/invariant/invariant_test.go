package invariant

import (
	"slices"
	"testing"
)

// A breach must be counted and reported in every build, so that it does not go unnoticed in production. It panics only
// in builds with the debug tag.
func TestBreachIsCountedReportedAndPanicsUnderDebug(t *testing.T) {
	var reports []string
	Watch(func(description string) { reports = append(reports, description) })
	before := Breaches()
	panicked := func() (panicked bool) {
		defer func() { panicked = recover() != nil }()
		Holds(false, "the clock moves forward")
		return false
	}()
	Holds(true, "this one holds")
	if got := Breaches() - before; got != 1 {
		t.Errorf("got %d breaches, want 1", got)
	}
	if want := []string{"the clock moves forward"}; !slices.Equal(reports, want) {
		t.Errorf("got reports %q, want %q", reports, want)
	}
	if panicked != Debug {
		t.Errorf("got panic %t, want %t (debug build)", panicked, Debug)
	}
}
