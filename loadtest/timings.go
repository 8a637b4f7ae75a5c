package loadtest

import "time"

// change is one that was agreed on while changes were played.
type change struct {
	revision   uint64
	answered   time.Time
	interested map[int]bool // controllers whose scope it touches, by index
	phase      Fault        // that was played meanwhile, empty if none
}

// timings are the times of a run, by what was going on.
type timings struct {
	convergence        *durationHistogram           // of each change: until all that it was due from have accepted it
	convergenceByFault map[Fault]*durationHistogram // likewise, by the fault that was played; empty: none
	followers          map[Fault]*durationHistogram // of each change and controller, by the fault that concerned it
	interested         *durationHistogram           // likewise, of controllers whose scope the change touched and no fault concerned
	affected           map[Fault]int                // how often a fault concerned a controller
}

// newTimings computes the times of all changes. The lease is how long a member waits for a follower that it does not hear.
func newTimings(changes []change, histories []*history, lease time.Duration) *timings {
	t := &timings{
		convergence:        newDurationHistogram(),
		convergenceByFault: map[Fault]*durationHistogram{},
		followers:          map[Fault]*durationHistogram{},
		interested:         newDurationHistogram(),
		affected:           map[Fault]int{},
	}
	delays := make([]time.Duration, len(changes)) // until each change has converged
	for controller, h := range histories {
		windows := h.faultWindows()
		for _, w := range windows {
			t.affected[w.fault]++
		}
		for index, acceptedAt := range h.acceptTimes(changes) {
			if acceptedAt.IsZero() {
				continue // the check of what was held at the end reports it
			}
			c := changes[index]
			window := strongestFault(windows, c.answered, acceptedAt)
			delay := max(0, acceptedAt.Sub(c.answered))
			t.recordFollower(window.fault, c.interested[controller], delay)
			delays[index] = max(delays[index], convergenceDelay(c, window, delay, lease))
		}
	}
	for index, c := range changes {
		t.convergence.record(delays[index])
		histogramOf(t.convergenceByFault, c.phase).record(delays[index])
	}
	return t
}

// recordFollower adds how long a change took to a controller.
func (t *timings) recordFollower(fault Fault, interested bool, delay time.Duration) {
	histogramOf(t.followers, fault).record(delay)
	if fault == "" && interested {
		t.interested.record(delay)
	}
}

// convergenceDelay is for how long a controller kept a change from converging. One that is cut off does so until its
// lease has run out. One that was restarted or rejects is reported apart.
func convergenceDelay(c change, window faultWindow, delay, lease time.Duration) time.Duration {
	switch window.fault {
	case FaultAllRestarted, FaultRejecting:
		return 0
	case FaultRegionCut:
		leaseEnd := window.from.Add(lease)
		return min(delay, max(0, leaseEnd.Sub(c.answered)))
	default:
		return delay
	}
}

// histogramOf returns the histogram of a fault, which it makes where there is none.
func histogramOf(histograms map[Fault]*durationHistogram, fault Fault) *durationHistogram {
	if histograms[fault] == nil {
		histograms[fault] = newDurationHistogram()
	}
	return histograms[fault]
}

// durationsUntilInStep returns, for each controller and its incarnations from the first to the last one, the time from
// the incarnation's start until it held what was agreed at that start. Incarnations count from 1.
func durationsUntilInStep(histories []*history, first, last int, newestAt func(time.Time) uint64) *durationHistogram {
	durations := newDurationHistogram()
	for _, h := range histories {
		for incarnation := first; incarnation <= min(last, len(h.incarnationStarts)); incarnation++ {
			started := h.incarnationStarts[incarnation-1]
			inStep := h.inStepAt(incarnation, newestAt(started))
			if !inStep.IsZero() {
				durations.record(inStep.Sub(started))
			}
		}
	}
	return durations
}
