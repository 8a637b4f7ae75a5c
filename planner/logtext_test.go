package planner

import "testing"

// The simulator and the operators' page name these lines. A changed word would be read as another state or as none.
func TestLogTextsAreThoseOfTheWire(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{healthText(5, healthy), "node 5 well"},
		{healthText(5, ejected), "node 5 out"},
		{healthText(5, probation), "node 5 on trial"},
		{throttlingText(true), "throttling: true"},
		{throttlingText(false), "throttling: false"},
	} {
		if c.got != c.want {
			t.Errorf("%q, want %q", c.got, c.want)
		}
	}
}
