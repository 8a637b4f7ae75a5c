package invariant

import (
	"slices"
	"testing"
)

func TestBreachIsCountedReportedAndPanicsUnderDebug(t *testing.T) {
	var reported []string
	Watch(func(what string) { reported = append(reported, what) })
	before := Breaches()
	panicked := func() (panicked bool) {
		defer func() { panicked = recover() != nil }()
		Holds(false, "the clock moves forward")
		return false
	}()
	Holds(true, "this one holds")
	if got := Breaches() - before; got != 1 {
		t.Errorf("%d breaches, want 1", got)
	}
	if want := []string{"the clock moves forward"}; !slices.Equal(reported, want) {
		t.Errorf("reported %q, want %q", reported, want)
	}
	if panicked != Debug {
		t.Errorf("panicked %t, built with the tag debug %t", panicked, Debug)
	}
}
