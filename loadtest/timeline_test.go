package loadtest

import (
	"strings"
	"testing"
	"time"
)

var begin = time.Unix(1_000_000, 0)

// at is a time of these tests, in seconds from their beginning.
func at(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }

func took(t *times) time.Duration {
	return time.Duration(t.summary().WorstMS * float64(time.Millisecond))
}

// near tells whether a time is the one that is wanted, as histograms keep it.
func near(got, want time.Duration) bool {
	return got >= want-want/100-time.Microsecond && got <= want+want/100+time.Microsecond
}

func TestInForceOnceTheLastHasAccepted(t *testing.T) {
	t.Parallel()
	changes := []change{{revision: 5, answered: at(1)}, {revision: 8, answered: at(2)}}
	quick := &history{accepted: []acceptance{{at: at(0.9), revision: 5}, {at: at(2.1), revision: 8}}}
	slow := &history{accepted: []acceptance{{at: at(4), revision: 9}}} // both changes as one
	line := timeline(changes, []*history{quick, slow}, 3*time.Second)
	if worst := took(line.convergence); !near(worst, 3*time.Second) {
		t.Errorf("in force after %s, want 3s", worst)
	}
	if count := line.followers[""].summary().Count; count != 4 {
		t.Errorf("%d times, want one of each conductor and change", count)
	}
}

func TestCutConductorHoldsUpUntilItsLeaseEnds(t *testing.T) {
	t.Parallel()
	changes := []change{{revision: 5, answered: at(11)}, {revision: 6, answered: at(14)}}
	cut := &history{
		joined:   []time.Time{at(0), at(30)},
		accepted: []acceptance{{at: at(1), revision: 4}, {at: at(31), revision: 6}},
		windows:  []window{{FaultRegionCut, at(10), at(29)}},
	}
	line := timeline(changes, []*history{cut}, 3*time.Second)
	if worst := took(line.convergence); !near(worst, 2*time.Second) {
		t.Errorf("in force after %s, want 2s: its lease ran until 13", worst)
	}
	if worst := took(line.followers[FaultRegionCut]); !near(worst, 20*time.Second) {
		t.Errorf("it accepted after %s, want 20s", worst)
	}
}

func TestRestartedConductorIsToldByItself(t *testing.T) {
	t.Parallel()
	changes := []change{{revision: 5, answered: at(10)}, {revision: 6, answered: at(30)}}
	restarted := &history{
		lives:  []time.Time{at(0), at(9)},
		joined: []time.Time{at(0.1), at(12)},
		accepted: []acceptance{
			{at: at(1), revision: 4, life: 1}, {at: at(20), revision: 5, life: 2}, {at: at(30.5), revision: 6, life: 2},
		},
	}
	line := timeline(changes, []*history{restarted}, 3*time.Second)
	if worst := took(line.convergence); !near(worst, 500*time.Millisecond) {
		t.Errorf("in force after %s, want 500ms", worst)
	}
	newestAt := func(when time.Time) uint64 {
		if when.Before(at(8)) {
			return 4
		}
		return 5
	}
	if worst := took(untilInStep([]*history{restarted}, 2, maxLives, newestAt)); !near(worst, 11*time.Second) {
		t.Errorf("in step %s after its restart, want 11s", worst)
	}
	if worst := took(untilInStep([]*history{restarted}, 1, 1, newestAt)); !near(worst, time.Second) {
		t.Errorf("in step %s after its start, want 1s", worst)
	}
}

func TestReconnectedConductorIsToldApartUntilItIsBack(t *testing.T) {
	t.Parallel()
	changes := []change{{revision: 5, answered: at(10)}, {revision: 6, answered: at(20)}}
	one := &history{
		joined:   []time.Time{at(0), at(11)},
		accepted: []acceptance{{at: at(1), revision: 4}, {at: at(12), revision: 5}, {at: at(20.1), revision: 6}},
		windows:  []window{{FaultReconnect, at(9), at(9)}},
	}
	line := timeline(changes, []*history{one}, 3*time.Second)
	if line.followers[FaultReconnect].summary().Count != 1 || line.followers[""].summary().Count != 1 {
		t.Errorf("told apart: %v", summarizeByFault(line.followers))
	}
	if worst := took(line.convergence); !near(worst, 2*time.Second) {
		t.Errorf("in force after %s, want 2s: who reconnects counts", worst)
	}
}

func TestChecksOfHistories(t *testing.T) {
	t.Parallel()
	model := NewModel([]Controller{{Name: "one"}})
	model.versions[0] = []version{{4, 40}, {7, 70}}
	accept := func(revision uint64, digest Digest) acceptance {
		return acceptance{at: at(float64(revision)), life: 1, revision: revision, digest: digest}
	}
	final := accept(9, 70)
	for name, test := range map[string]struct {
		history history
		want    string // empty: nothing is wrong
	}{
		"in order": {history{accepted: []acceptance{accept(5, 40), accept(7, 70), accept(9, 70)}, final: &final}, ""},
		"a restart": {history{accepted: []acceptance{accept(9, 70), {at: at(10), life: 2, revision: 4, digest: 40}, accept(9, 70)},
			final: &final}, ""},
		"back":           {history{accepted: []acceptance{accept(7, 70), accept(5, 40)}, final: &final}, "went back to revision 5 after 7"},
		"lost":           {history{accepted: []acceptance{accept(7, 40)}, final: &final}, "revision 7 has other contents"},
		"twice":          {history{accepted: []acceptance{accept(7, 70), accept(7, 71)}, final: &final}, "revision 7 has other contents"},
		"behind":         {history{accepted: []acceptance{accept(7, 70)}, final: &acceptance{revision: 7, digest: 70}}, "held revision 7 at the end, 9 was agreed"},
		"wrong at end":   {history{accepted: []acceptance{accept(9, 70)}, final: &acceptance{revision: 9, digest: 71}}, "at the end"},
		"nothing at end": {history{accepted: []acceptance{accept(9, 70)}}, "did not tell"},
		"outside":        {history{accepted: []acceptance{{life: 1, revision: 7, digest: 70, outside: 2}}, final: &final}, "2 records outside its scope"},
	} {
		violations := checkHistories(model, []*history{&test.history}, 9)
		switch {
		case test.want == "" && len(violations) > 0:
			t.Errorf("%s: %v", name, violations)
		case test.want != "" && (len(violations) == 0 || !strings.Contains(violations[0].What, test.want)):
			t.Errorf("%s: %v, want %q", name, violations, test.want)
		}
	}
}

func TestViolationsAreBounded(t *testing.T) {
	t.Parallel()
	var controllers []Controller
	var histories []*history
	for range 5 * maxViolations {
		controllers = append(controllers, Controller{Name: "one"})
		histories = append(histories, &history{})
	}
	if got := len(checkHistories(NewModel(controllers), histories, 1)); got != maxViolations {
		t.Errorf("%d violations, want %d", got, maxViolations)
	}
}
