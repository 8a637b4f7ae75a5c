package loadtest

import (
	"testing"
	"time"
)

// testEpoch is when the histories of these tests begin.
var testEpoch = time.Unix(1_000_000, 0)

// testTime is a time of these tests, in seconds from their beginning.
func testTime(seconds float64) time.Time {
	return testEpoch.Add(time.Duration(seconds * float64(time.Second)))
}

// worstOf is the longest duration of a histogram.
func worstOf(t *durationHistogram) time.Duration {
	return time.Duration(t.summary().WorstMS * float64(time.Millisecond))
}

// near tells whether a time is the one that is wanted, as histograms keep it.
func near(got, want time.Duration) bool {
	return got >= want-want/100-time.Microsecond && got <= want+want/100+time.Microsecond
}

// A change has converged when the last controller that it was due from has accepted it, alone or with later ones.
func TestConvergesOnceTheLastHasAccepted(t *testing.T) {
	t.Parallel()
	changes := []change{{revision: 5, answered: testTime(1)}, {revision: 8, answered: testTime(2)}}
	quick := &history{accepted: []acceptance{{at: testTime(0.9), revision: 5}, {at: testTime(2.1), revision: 8}}}
	slow := &history{accepted: []acceptance{{at: testTime(4), revision: 9}}} // both changes as one
	line := newTimings(changes, []*history{quick, slow}, 3*time.Second)
	if worst := worstOf(line.convergence); !near(worst, 3*time.Second) {
		t.Errorf("converged after %s, want 3s", worst)
	}
	if count := line.followers[""].summary().Count; count != 4 {
		t.Errorf("%d times, want one of each controller and change", count)
	}
}

// A region is cut off without notice. The members wait for its controllers until their leases have run out, 3 s after the
// cut: a change within that time converges at their end, a later one does not wait for them.
func TestCutControllerDelaysConvergenceUntilItsLeaseEnds(t *testing.T) {
	t.Parallel()
	changes := []change{{revision: 5, answered: testTime(11)}, {revision: 6, answered: testTime(14)}}
	cut := &history{
		joined:   []time.Time{testTime(0), testTime(30)},
		accepted: []acceptance{{at: testTime(1), revision: 4}, {at: testTime(31), revision: 6}},
		windows:  []faultWindow{{FaultRegionCut, testTime(10), testTime(29)}},
	}
	line := newTimings(changes, []*history{cut}, 3*time.Second)
	if worst := worstOf(line.convergence); !near(worst, 2*time.Second) {
		t.Errorf("converged after %s, want 2s: its lease ran until 13", worst)
	}
	if worst := worstOf(line.followers[FaultRegionCut]); !near(worst, 20*time.Second) {
		t.Errorf("it accepted after %s, want 20s", worst)
	}
}

// A controller is restarted and holds nothing for a while. Changes do not wait for it; how long it takes to be in step is
// reported as a time of its own.
func TestRestartedControllerIsReportedApart(t *testing.T) {
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
		t.Errorf("converged after %s, want 500ms", worst)
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

// A controller loses its connection. Until it is back its delay is reported under that fault; changes wait for it.
func TestReconnectedControllerIsReportedApartUntilItIsBack(t *testing.T) {
	t.Parallel()
	changes := []change{{revision: 5, answered: testTime(10)}, {revision: 6, answered: testTime(20)}}
	one := &history{
		joined:   []time.Time{testTime(0), testTime(11)},
		accepted: []acceptance{{at: testTime(1), revision: 4}, {at: testTime(12), revision: 5}, {at: testTime(20.1), revision: 6}},
		windows:  []faultWindow{{FaultReconnect, testTime(9), testTime(9)}},
	}
	line := newTimings(changes, []*history{one}, 3*time.Second)
	if line.followers[FaultReconnect].summary().Count != 1 || line.followers[""].summary().Count != 1 {
		t.Errorf("reported apart: %v", summarizeByFault(line.followers))
	}
	if worst := worstOf(line.convergence); !near(worst, 2*time.Second) {
		t.Errorf("converged after %s, want 2s: who reconnects counts", worst)
	}
}
