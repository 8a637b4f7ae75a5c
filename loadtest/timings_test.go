package loadtest

import (
	"testing"
	"time"
)

// testEpoch is the start time of the histories in these tests.
var testEpoch = time.Unix(1_000_000, 0)

// testTime returns the time that is the given number of seconds after testEpoch.
func testTime(seconds float64) time.Time {
	return testEpoch.Add(time.Duration(seconds * float64(time.Second)))
}

// worstOf returns the longest duration of a histogram.
func worstOf(t *durationHistogram) time.Duration {
	return time.Duration(t.summary().WorstMS * float64(time.Millisecond))
}

// near reports whether got equals want within the precision of histograms.
func near(got, want time.Duration) bool {
	return got >= want-want/100-time.Microsecond && got <= want+want/100+time.Microsecond
}

// A change converges when the last controller that must accept it has accepted its revision or a later one, which
// includes the change.
func TestChangeConvergesWhenTheLastFollowerAccepts(t *testing.T) {
	t.Parallel()
	changes := []change{{revision: 5, answered: testTime(1)}, {revision: 8, answered: testTime(2)}}
	quick := &history{accepted: []acceptance{{at: testTime(0.9), revision: 5}, {at: testTime(2.1), revision: 8}}}
	slow := &history{accepted: []acceptance{{at: testTime(4), revision: 9}}} // both changes in one message
	times := newTimings(changes, []*history{quick, slow}, 3*time.Second)
	if worst := worstOf(times.convergence); !near(worst, 3*time.Second) {
		t.Errorf("got a convergence time of %s, want 3s", worst)
	}
	if count := times.followers[""].summary().Count; count != 4 {
		t.Errorf("got %d durations, want 4: one for each controller and change", count)
	}
}

// The connections of a region's controllers are interrupted without being closed. The members wait for these
// controllers until their leases expire 3 s after the cut: a change within that time converges when the leases expire,
// and a later change does not wait for them.
func TestCutControllerDelaysConvergenceUntilItsLeaseEnds(t *testing.T) {
	t.Parallel()
	changes := []change{{revision: 5, answered: testTime(11)}, {revision: 6, answered: testTime(14)}}
	cut := &history{
		joined:   []time.Time{testTime(0), testTime(30)},
		accepted: []acceptance{{at: testTime(1), revision: 4}, {at: testTime(31), revision: 6}},
		windows:  []faultWindow{{FaultRegionCut, testTime(10), testTime(29)}},
	}
	times := newTimings(changes, []*history{cut}, 3*time.Second)
	if worst := worstOf(times.convergence); !near(worst, 2*time.Second) {
		t.Errorf("got a convergence time of %s, want 2s, since the lease expires at 13s", worst)
	}
	if worst := worstOf(times.followers[FaultRegionCut]); !near(worst, 20*time.Second) {
		t.Errorf("got a delay of %s at the disconnected controller, want 20s", worst)
	}
}

// A controller is restarted and has no records at first. Changes do not wait for it; the time until it is in step is
// reported separately.
func TestRestartedControllerIsReportedSeparately(t *testing.T) {
	t.Parallel()
	changes := []change{{revision: 5, answered: testTime(10)}, {revision: 6, answered: testTime(30)}}
	restarted := &history{
		incarnationStarts: []time.Time{testTime(0), testTime(9)},
		joined:            []time.Time{testTime(0.1), testTime(12)},
		accepted: []acceptance{
			{at: testTime(1), revision: 4, incarnation: 1}, {at: testTime(20), revision: 5, incarnation: 2}, {at: testTime(30.5), revision: 6, incarnation: 2},
		},
	}
	times := newTimings(changes, []*history{restarted}, 3*time.Second)
	if worst := worstOf(times.convergence); !near(worst, 500*time.Millisecond) {
		t.Errorf("got a convergence time of %s, want 500ms", worst)
	}
	newestAt := func(when time.Time) uint64 {
		if when.Before(testTime(8)) {
			return 4
		}
		return 5
	}
	if worst := worstOf(durationsUntilInStep([]*history{restarted}, 2, maxIncarnations, newestAt)); !near(worst, 11*time.Second) {
		t.Errorf("got %s from the restart until in step, want 11s", worst)
	}
	if worst := worstOf(durationsUntilInStep([]*history{restarted}, 1, 1, newestAt)); !near(worst, time.Second) {
		t.Errorf("got %s from the start until in step, want 1s", worst)
	}
}

// A controller loses its connection. Its delays are reported under that fault until it has reconnected; changes still
// wait for it.
func TestReconnectingControllerIsReportedSeparately(t *testing.T) {
	t.Parallel()
	changes := []change{{revision: 5, answered: testTime(10)}, {revision: 6, answered: testTime(20)}}
	reconnected := &history{
		joined:   []time.Time{testTime(0), testTime(11)},
		accepted: []acceptance{{at: testTime(1), revision: 4}, {at: testTime(12), revision: 5}, {at: testTime(20.1), revision: 6}},
		windows:  []faultWindow{{FaultReconnect, testTime(9), testTime(9)}},
	}
	times := newTimings(changes, []*history{reconnected}, 3*time.Second)
	if times.followers[FaultReconnect].summary().Count != 1 || times.followers[""].summary().Count != 1 {
		t.Errorf("got durations by fault %v, want one for reconnect and one for none", summarizeByFault(times.followers))
	}
	if worst := worstOf(times.convergence); !near(worst, 2*time.Second) {
		t.Errorf("got a convergence time of %s, want 2s, since changes wait for a reconnecting controller", worst)
	}
}
