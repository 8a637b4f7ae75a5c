package loadtest

import (
	"strings"
	"testing"
)

// A controller that loses a change, has wrong contents or goes back to an older revision uses a configuration that the
// group has not agreed on. Each of these must be reported as a violation, and correct histories must not be.
func TestViolationsOfHistories(t *testing.T) {
	t.Parallel()
	model := NewModel([]Controller{{Name: "one"}})
	model.versions[0] = []version{{4, 40}, {7, 70}}
	accept := func(revision uint64, digest Digest) acceptance {
		return acceptance{at: testTime(float64(revision)), incarnation: 1, revision: revision, digest: digest}
	}
	final := accept(9, 70)
	for name, test := range map[string]struct {
		history history
		want    string // empty if there is no violation
	}{
		"in order": {history{accepted: []acceptance{accept(5, 40), accept(7, 70), accept(9, 70)}, final: &final}, ""},
		"restart": {history{accepted: []acceptance{accept(9, 70), {at: testTime(10), incarnation: 2, revision: 4, digest: 40}, accept(9, 70)},
			final: &final}, ""},
		"older revision":                 {history{accepted: []acceptance{accept(7, 70), accept(5, 40)}, final: &final}, "went back to revision 5 after 7"},
		"lost change":                    {history{accepted: []acceptance{accept(7, 40)}, final: &final}, "revision 7 has contents that differ"},
		"one revision with two contents": {history{accepted: []acceptance{accept(7, 70), accept(7, 71)}, final: &final}, "revision 7 has contents that differ"},
		"old final revision":             {history{accepted: []acceptance{accept(7, 70)}, final: &acceptance{revision: 7, digest: 70}}, "had revision 7 at the end, want the newest agreed revision 9"},
		"wrong final contents":           {history{accepted: []acceptance{accept(9, 70)}, final: &acceptance{revision: 9, digest: 71}}, "at the end"},
		"no final report":                {history{accepted: []acceptance{accept(9, 70)}}, "did not report its records"},
		"records outside the scope":      {history{accepted: []acceptance{{incarnation: 1, revision: 7, digest: 70, outside: 2}}, final: &final}, "2 records outside its scope"},
	} {
		t.Run(name, func(t *testing.T) {
			violations := checkHistories(model, []*history{&test.history}, 9)
			switch {
			case test.want == "" && len(violations) > 0:
				t.Errorf("got violations %v, want none", violations)
			case test.want != "" && (len(violations) == 0 || !strings.Contains(violations[0].Description, test.want)):
				t.Errorf("got violations %v, want the first one with %q", violations, test.want)
			}
		})
	}
}

// One defect of the program can affect all controllers of a fleet. The report must not have a line for each of them.
func TestViolationsAreBounded(t *testing.T) {
	t.Parallel()
	var controllers []Controller
	var histories []*history
	for range 5 * maxViolations {
		controllers = append(controllers, Controller{Name: "one"})
		histories = append(histories, &history{})
	}
	if got := len(checkHistories(NewModel(controllers), histories, 1)); got != maxViolations {
		t.Errorf("got %d violations, want %d", got, maxViolations)
	}
}
