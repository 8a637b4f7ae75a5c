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
		windows = append(windows, h.extendUntilBack(w))
	}
	for index, began := range h.incarnationStarts {
		isRestart := index > 0
		if isRestart {
			restart := faultWindow{fault: FaultAllRestarted, from: began, to: began}
			windows = append(windows, h.extendUntilBack(restart))
		}
	}
	return windows
}

// extendUntilBack extends a window until the controller has accepted a revision on a stream opened after the fault
// began. A controller that rejects changes keeps its stream.
func (h *history) extendUntilBack(w faultWindow) faultWindow {
	back := w.to
	if w.fault != FaultRejecting {
		rejoined := slices.IndexFunc(h.joined, func(at time.Time) bool { return at.After(w.from) })
		if rejoined >= 0 && h.joined[rejoined].After(back) {
			back = h.joined[rejoined]
		}
	}
	w.to = back
	for _, accepted := range h.accepted {
		if !accepted.at.Before(back) {
			w.to = accepted.at
			break
		}
	}
	return w
}

// excuseRank is the severity of faults: a delay is attributed to the most severe fault during it.
var excuseRank = map[Fault]int{
	FaultReconnect:    1,
	FaultMemberKilled: 2,
	FaultRejecting:    3,
	FaultRegionCut:    4,
	FaultAllRestarted: 5,
}

// strongestFault returns the window of the most severe fault between two times; its fault is empty if there is none.
func strongestFault(windows []faultWindow, from, to time.Time) (strongest faultWindow) {
	for _, w := range windows {
		overlaps := !w.from.After(to) && !w.to.Before(from)
		if overlaps && excuseRank[w.fault] > excuseRank[strongest.fault] {
			strongest = w
		}
	}
	return strongest
}
