package loadtest

import (
	"slices"
	"time"
)

// faultWindow is the time in which a fault affects a controller. It ends when the controller first accepts a revision
// after the end of the fault, on a stream that was opened after the fault began if there is one.
type faultWindow struct {
	fault    Fault
	from, to time.Time
}

// faultWindows returns the fault windows of the controller, each extended until the controller recovered.
func (h *history) faultWindows() (windows []faultWindow) {
	for _, w := range h.windows {
		windows = append(windows, h.extendUntilRecovered(w))
	}
	for index, startTime := range h.incarnationStarts {
		isRestart := index > 0
		if isRestart {
			restart := faultWindow{fault: FaultAllRestarted, from: startTime, to: startTime}
			windows = append(windows, h.extendUntilRecovered(restart))
		}
	}
	return windows
}

// extendUntilRecovered extends a window until the controller has accepted a revision on a stream opened after the fault
// began. A controller that rejects changes keeps its stream.
func (h *history) extendUntilRecovered(w faultWindow) faultWindow {
	earliestEnd := w.to
	if w.fault != FaultRejecting {
		rejoined := slices.IndexFunc(h.joined, func(at time.Time) bool { return at.After(w.from) })
		if rejoined >= 0 && h.joined[rejoined].After(earliestEnd) {
			earliestEnd = h.joined[rejoined]
		}
	}
	w.to = earliestEnd
	for _, accepted := range h.accepted {
		if !accepted.at.Before(earliestEnd) {
			w.to = accepted.at
			break
		}
	}
	return w
}

// faultSeverity is the severity of faults: a delay is attributed to the most severe fault during it.
var faultSeverity = map[Fault]int{
	FaultReconnect:    1,
	FaultMemberKilled: 2,
	FaultRejecting:    3,
	FaultRegionCut:    4,
	FaultAllRestarted: 5,
}

// mostSevereFault returns the window of the most severe fault between two times; its fault is empty if there is none.
func mostSevereFault(windows []faultWindow, from, to time.Time) (mostSevere faultWindow) {
	for _, w := range windows {
		overlaps := !w.from.After(to) && !w.to.Before(from)
		if overlaps && faultSeverity[w.fault] > faultSeverity[mostSevere.fault] {
			mostSevere = w
		}
	}
	return mostSevere
}
