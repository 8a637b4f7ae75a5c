package loadtest

import "time"

// change is a change of the configuration that was agreed on after the initial load.
type change struct {
	revision    uint64
	answered    time.Time
	interested  map[int]bool // indices of the controllers whose scope it affects
	activeFault Fault        // fault that was being injected, empty if there was none
}

// timings holds the durations measured in a run, grouped by fault.
type timings struct {
	convergence        *durationHistogram           // of each change, until all controllers that must accept it have done so
	convergenceByFault map[Fault]*durationHistogram // likewise, by the fault that was being injected; empty for none
	followers          map[Fault]*durationHistogram // of each change and controller, by the fault that affected the controller
	interested         *durationHistogram           // likewise, of controllers whose scope the change affected, without a fault
	affected           map[Fault]int                // number of times that a fault affected a controller
}

// newTimings computes the durations of all changes. The lease is the time for which members wait for a follower that
// has stopped responding.
func newTimings(changes []change, histories []*history, lease time.Duration) *timings {
	t := &timings{
		convergence:        newDurationHistogram(),
		convergenceByFault: map[Fault]*durationHistogram{},
		followers:          map[Fault]*durationHistogram{},
		interested:         newDurationHistogram(),
		affected:           map[Fault]int{},
	}
	delays := make([]time.Duration, len(changes)) // convergence time of each change
	for controller, h := range histories {
		windows := h.faultWindows()
		for _, w := range windows {
			t.affected[w.fault]++
		}
		for index, acceptedAt := range h.acceptTimes(changes) {
			if acceptedAt.IsZero() {
				continue // checkHistories reports it
			}
			c := changes[index]
			window := mostSevereFault(windows, c.answered, acceptedAt)
			delay := max(0, acceptedAt.Sub(c.answered))
			t.recordFollower(window.fault, c.interested[controller], delay)
			delays[index] = max(delays[index], convergenceDelay(c, window, delay, lease))
		}
	}
	for index, c := range changes {
		t.convergence.record(delays[index])
		histogramOf(t.convergenceByFault, c.activeFault).record(delays[index])
	}
	return t
}

// recordFollower adds the delay of a change at a controller.
func (t *timings) recordFollower(fault Fault, interested bool, delay time.Duration) {
	histogramOf(t.followers, fault).record(delay)
	if fault == "" && interested {
		t.interested.record(delay)
	}
}

// convergenceDelay returns for how long a controller delayed the convergence of a change. A disconnected controller
// delays it until its lease expires. Controllers that were restarted or reject changes are reported separately.
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

// histogramOf returns the histogram of a fault and creates it if necessary.
func histogramOf(histograms map[Fault]*durationHistogram, fault Fault) *durationHistogram {
	if histograms[fault] == nil {
		histograms[fault] = newDurationHistogram()
	}
	return histograms[fault]
}

// durationsUntilInStep returns, for the incarnations of each controller from first to last, the time from the start of
// the incarnation until it had accepted the revision that was the newest at its start. Incarnations are numbered from
// 1.
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
