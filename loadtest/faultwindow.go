package loadtest

import (
	"slices"
	"time"
)

// faultWindow is a time in which a fault concerns a controller. It ends when the controller has accepted something on a
// stream that it opened after the fault, or else after the fault's end.
type faultWindow struct {
	fault    Fault
	from, to time.Time
}

// faultWindows returns the times in which faults concerned the controller, each until it was back.
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

// extendUntilBack has a window last until the controller has accepted something on a stream of after the fault. A
// controller that rejects keeps its stream.
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

// excuseRank orders faults by how much they excuse.
var excuseRank = map[Fault]int{
	FaultReconnect:    1,
	FaultMemberKilled: 2,
	FaultRejecting:    3,
	FaultRegionCut:    4,
	FaultAllRestarted: 5,
}

// strongestFault returns the window that excuses most between two times; its fault is empty if there is none.
func strongestFault(windows []faultWindow, from, to time.Time) (strongest faultWindow) {
	for _, w := range windows {
		overlaps := !w.from.After(to) && !w.to.Before(from)
		if overlaps && excuseRank[w.fault] > excuseRank[strongest.fault] {
			strongest = w
		}
	}
	return strongest
}
