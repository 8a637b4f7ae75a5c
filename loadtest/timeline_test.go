package loadtest

import (
	"strings"
	"testing"
	"time"
)

var testEpoch = time.Unix(1_000_000, 0)

// testTime is a time of these tests, in seconds from their beginning.
func testTime(seconds float64) time.Time {
	return testEpoch.Add(time.Duration(seconds * float64(time.Second)))
}

func worstOf(t *durationHistogram) time.Duration {
	return time.Duration(t.summary().WorstMS * float64(time.Millisecond))
}

// near tells whether a time is the one that is wanted, as histograms keep it.
func near(got, want time.Duration) bool {
	return got >= want-want/100-time.Microsecond && got <= want+want/100+time.Microsecond
}

func TestInForceOnceTheLastHasAccepted(t *testing.T) {
	t.Parallel()
	changes := []change{{revision: 5, answered: testTime(1)}, {revision: 8, answered: testTime(2)}}
	quick := &history{accepted: []acceptance{{at: testTime(0.9), revision: 5}, {at: testTime(2.1), revision: 8}}}
	slow := &history{accepted: []acceptance{{at: testTime(4), revision: 9}}} // both changes as one
	line := newTimings(changes, []*history{quick, slow}, 3*time.Second)
	if worst := worstOf(line.convergence); !near(worst, 3*time.Second) {
		t.Errorf("in force after %s, want 3s", worst)
	}
	if count := line.followers[""].summary().Count; count != 4 {
		t.Errorf("%d times, want one of each conductor and change", count)
	}
}

func TestCutConductorHoldsUpUntilItsLeaseEnds(t *testing.T) {
	t.Parallel()
	changes := []change{{revision: 5, answered: testTime(11)}, {revision: 6, answered: testTime(14)}}
	cut := &history{
		joined:   []time.Time{testTime(0), testTime(30)},
		accepted: []acceptance{{at: testTime(1), revision: 4}, {at: testTime(31), revision: 6}},
		windows:  []faultWindow{{FaultRegionCut, testTime(10), testTime(29)}},
	}
	line := newTimings(changes, []*history{cut}, 3*time.Second)
	if worst := worstOf(line.convergence); !near(worst, 2*time.Second) {
		t.Errorf("in force after %s, want 2s: its lease ran until 13", worst)
	}
	if worst := worstOf(line.followers[FaultRegionCut]); !near(worst, 20*time.Second) {
		t.Errorf("it accepted after %s, want 20s", worst)
	}
}

func TestRestartedConductorIsToldByItself(t *testing.T) {
	t.Parallel()
	changes := []change{{revision: 5, answered: testTime(10)}, {revision: 6, answered: testTime(30)}}
	restarted := &history{
		incarnationStarts: []time.Time{testTime(0), testTime(9)},
		joined:            []time.Time{testTime(0.1), testTime(12)},
		accepted: []acceptance{
			{at: testTime(1), revision: 4, incarnation: 1}, {at: testTime(20), revision: 5, incarnation: 2}, {at: testTime(30.5), revision: 6, incarnation: 2},
		},
	}
	line := newTimings(changes, []*history{restarted}, 3*time.Second)
	if worst := worstOf(line.convergence); !near(worst, 500*time.Millisecond) {
		t.Errorf("in force after %s, want 500ms", worst)
	}
	newestAt := func(when time.Time) uint64 {
		if when.Before(testTime(8)) {
			return 4
		}
		return 5
	}
	if worst := worstOf(durationsUntilInStep([]*history{restarted}, 2, maxIncarnations, newestAt)); !near(worst, 11*time.Second) {
		t.Errorf("in step %s after its restart, want 11s", worst)
	}
	if worst := worstOf(durationsUntilInStep([]*history{restarted}, 1, 1, newestAt)); !near(worst, time.Second) {
		t.Errorf("in step %s after its start, want 1s", worst)
	}
}

func TestReconnectedConductorIsToldApartUntilItIsBack(t *testing.T) {
	t.Parallel()
	changes := []change{{revision: 5, answered: testTime(10)}, {revision: 6, answered: testTime(20)}}
	one := &history{
		joined:   []time.Time{testTime(0), testTime(11)},
		accepted: []acceptance{{at: testTime(1), revision: 4}, {at: testTime(12), revision: 5}, {at: testTime(20.1), revision: 6}},
		windows:  []faultWindow{{FaultReconnect, testTime(9), testTime(9)}},
	}
	line := newTimings(changes, []*history{one}, 3*time.Second)
	if line.followers[FaultReconnect].summary().Count != 1 || line.followers[""].summary().Count != 1 {
		t.Errorf("told apart: %v", summarizeByFault(line.followers))
	}
	if worst := worstOf(line.convergence); !near(worst, 2*time.Second) {
		t.Errorf("in force after %s, want 2s: who reconnects counts", worst)
	}
}

func TestChecksOfHistories(t *testing.T) {
	t.Parallel()
	model := NewModel([]Controller{{Name: "one"}})
	model.versions[0] = []version{{4, 40}, {7, 70}}
	accept := func(revision uint64, digest Digest) acceptance {
		return acceptance{at: testTime(float64(revision)), incarnation: 1, revision: revision, digest: digest}
	}
	final := accept(9, 70)
	for name, test := range map[string]struct {
		history history
		want    string // empty: nothing is wrong
	}{
		"in order": {history{accepted: []acceptance{accept(5, 40), accept(7, 70), accept(9, 70)}, final: &final}, ""},
		"a restart": {history{accepted: []acceptance{accept(9, 70), {at: testTime(10), incarnation: 2, revision: 4, digest: 40}, accept(9, 70)},
			final: &final}, ""},
		"back":           {history{accepted: []acceptance{accept(7, 70), accept(5, 40)}, final: &final}, "went back to revision 5 after 7"},
		"lost":           {history{accepted: []acceptance{accept(7, 40)}, final: &final}, "revision 7 has other contents"},
		"twice":          {history{accepted: []acceptance{accept(7, 70), accept(7, 71)}, final: &final}, "revision 7 has other contents"},
		"behind":         {history{accepted: []acceptance{accept(7, 70)}, final: &acceptance{revision: 7, digest: 70}}, "held revision 7 at the end, 9 was agreed"},
		"wrong at end":   {history{accepted: []acceptance{accept(9, 70)}, final: &acceptance{revision: 9, digest: 71}}, "at the end"},
		"nothing at end": {history{accepted: []acceptance{accept(9, 70)}}, "did not tell"},
		"outside":        {history{accepted: []acceptance{{incarnation: 1, revision: 7, digest: 70, outside: 2}}, final: &final}, "2 records outside its scope"},
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
