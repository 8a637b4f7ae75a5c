package loadtest

import (
	"fmt"
	"slices"
	"time"
)

// change is one that was agreed on while changes were played.
type change struct {
	revision   uint64
	answered   time.Time
	interested map[int]bool // controllers
	phase      Fault        // that was played meanwhile, empty if none
}

// faultWindow is a time in which a fault concerns a controller. It ends when the controller has accepted something on a stream
// that it opened after the fault, or else after the fault's end.
type faultWindow struct {
	fault    Fault
	from, to time.Time
}

// acceptance is a revision that a controller held from a time on.
type acceptance struct {
	at          time.Time
	incarnation int
	revision    uint64
	digest      Digest
	outside     int
}

// history is what one controller told.
type history struct {
	external          bool        // it is harehook-xds, which tells nothing
	incarnationStarts []time.Time // when each began
	joined            []time.Time // when a member answered on a new stream
	member            string      // that answered last
	accepted          []acceptance
	final             *acceptance
	windows           []faultWindow
}

// recordEvent takes an event.
func (h *history) recordEvent(one event) {
	at := time.Unix(0, one.At)
	observed := acceptance{at, one.Incarnation, one.Revision, one.Digest, one.Outside}
	switch one.Kind {
	case eventStarted:
		h.incarnationStarts = append(h.incarnationStarts, at)
	case eventJoined:
		h.joined = append(h.joined, at)
		h.member = one.Member
	case eventAccepted:
		h.accepted = append(h.accepted, observed)
	case eventFinal:
		h.final = &observed
	}
}

// heldRevision is the revision held in the present life.
func (h *history) heldRevision() uint64 {
	if len(h.accepted) == 0 {
		return 0
	}
	last := h.accepted[len(h.accepted)-1]
	if last.incarnation < len(h.incarnationStarts) {
		return 0
	}
	return last.revision
}

// faultWindows gives the times in which faults concerned the controller, each until it was back.
func (h *history) faultWindows() (windows []faultWindow) {
	for _, w := range h.windows {
		windows = append(windows, h.extendUntilBack(w))
	}
	for at, began := range h.incarnationStarts {
		if at > 0 { // the first is the start
			windows = append(windows, h.extendUntilBack(faultWindow{FaultAllRestarted, began, began}))
		}
	}
	return windows
}

// extendUntilBack has a window last until the controller is back: it has accepted something on a stream of after the fault.
func (h *history) extendUntilBack(w faultWindow) faultWindow {
	rejoined := slices.IndexFunc(h.joined, func(at time.Time) bool { return at.After(w.from) })
	back := w.to
	if w.fault != FaultRejecting && rejoined >= 0 && h.joined[rejoined].After(back) {
		back = h.joined[rejoined]
	}
	for _, one := range h.accepted {
		if !one.at.Before(back) {
			w.to = one.at
			return w
		}
	}
	w.to = back
	return w
}

// excuseRank orders faults by how much they excuse.
var excuseRank = map[Fault]int{FaultReconnect: 1, FaultMemberKilled: 2, FaultRejecting: 3, FaultRegionCut: 4, FaultAllRestarted: 5}

// strongestFault is the window that says most about a time, if there is one.
func strongestFault(windows []faultWindow, from, to time.Time) (found faultWindow) {
	for _, w := range windows {
		if w.from.After(to) || w.to.Before(from) {
			continue
		}
		if excuseRank[w.fault] > excuseRank[found.fault] {
			found = w
		}
	}
	return found
}

// Violation is something that must never be.
type Violation struct {
	Controller string `json:"conductor"`
	What       string `json:"what"`
}

// String names the controller and what it did.
func (v Violation) String() string { return "never: " + v.Controller + ": " + v.What }

// maxViolations is how many are told; one fault of the program breaks the rules for many controllers.
const maxViolations = 20

// checkHistories holds all that controllers accepted against what was agreed.
func checkHistories(model *Model, histories []*history, newest uint64) (violations []Violation) {
	for at, one := range histories {
		if one.external {
			continue
		}
		for _, what := range one.check(model, at, newest) {
			if violations = append(violations, Violation{model.controllers[at].Name, what}); len(violations) >= maxViolations {
				return violations
			}
		}
	}
	return violations
}

func (h *history) check(model *Model, controller int, newest uint64) (faults []string) {
	before := acceptance{}
	for _, one := range h.accepted {
		if one.incarnation == before.incarnation && one.revision < before.revision {
			faults = append(faults, fmt.Sprintf("it went back to revision %d after %d", one.revision, before.revision))
		}
		if fault := one.check(model, controller); fault != "" {
			faults = append(faults, fault)
		}
		before = one
	}
	switch {
	case h.final == nil:
		faults = append(faults, "it did not tell what it held at the end")
	case h.final.revision < newest:
		faults = append(faults, fmt.Sprintf("it held revision %d at the end, %d was agreed", h.final.revision, newest))
	default:
		if fault := h.final.check(model, controller); fault != "" {
			faults = append(faults, "at the end: "+fault)
		}
	}
	return faults
}

// check holds the contents of a revision against what was agreed.
func (a acceptance) check(model *Model, controller int) string {
	if a.outside > 0 {
		return fmt.Sprintf("revision %d has %d records outside its scope", a.revision, a.outside)
	}
	if digest, known := model.DigestAt(controller, a.revision); known && digest != a.digest {
		return fmt.Sprintf("revision %d has other contents than agreed: something is lost or wrong", a.revision)
	}
	return ""
}

// acceptTimes gives, for each change, when the controller first held its revision or a later one; zero if it never did.
func (h *history) acceptTimes(changes []change) []time.Time {
	times := make([]time.Time, len(changes))
	at := 0
	for k, one := range changes {
		for at < len(h.accepted) && h.accepted[at].revision < one.revision {
			at++
		}
		if at == len(h.accepted) {
			break
		}
		times[k] = h.accepted[at].at
	}
	return times
}

// timings are the times of a run, by what was going on.
type timings struct {
	convergence        *durationHistogram           // of each change: until all that it was due from have accepted it
	convergenceByFault map[Fault]*durationHistogram // empty: no fault was played
	followers          map[Fault]*durationHistogram // of each change and controller, by the fault that concerned it
	affected           map[Fault]int                // how often a fault concerned a controller
	interested         *durationHistogram           // likewise, of controllers whose scope the change touched and no fault concerned
}

// newTimings works out the times of all changes.
func newTimings(changes []change, histories []*history, lease time.Duration) *timings {
	t := &timings{convergence: newDurationHistogram(), convergenceByFault: map[Fault]*durationHistogram{}, followers: map[Fault]*durationHistogram{}, affected: map[Fault]int{}, interested: newDurationHistogram()}
	worst := make([]time.Duration, len(changes))
	for controller, one := range histories {
		windows := one.faultWindows()
		for _, w := range windows {
			t.affected[w.fault]++
		}
		for k, accepted := range one.acceptTimes(changes) {
			if accepted.IsZero() {
				continue // the check of what was held at the end tells it
			}
			c := changes[k]
			delay := max(0, accepted.Sub(c.answered))
			concern := strongestFault(windows, c.answered, accepted)
			histogramOf(t.followers, concern.fault).record(delay)
			if concern.fault == "" && c.interested[controller] {
				t.interested.record(delay)
			}
			worst[k] = max(worst[k], convergenceDelay(c, concern, delay, lease))
		}
	}
	for k, c := range changes {
		t.convergence.record(worst[k])
		histogramOf(t.convergenceByFault, c.phase).record(worst[k])
	}
	return t
}

// convergenceDelay is for how long a controller kept a change from being in force everywhere. One that is cut off does so until
// its lease has run out. One that was restarted or refuses is told by itself.
func convergenceDelay(c change, concern faultWindow, delay, lease time.Duration) time.Duration {
	switch concern.fault {
	case FaultAllRestarted, FaultRejecting:
		return 0
	case FaultRegionCut:
		return min(delay, max(0, concern.from.Add(lease).Sub(c.answered)))
	}
	return delay
}

func histogramOf(all map[Fault]*durationHistogram, fault Fault) *durationHistogram {
	if all[fault] == nil {
		all[fault] = newDurationHistogram()
	}
	return all[fault]
}

// durationsUntilInStep gives, for each controller and some of its lives, the time from a life's beginning until it held what was
// agreed when that began. Lives count from one.
func durationsUntilInStep(histories []*history, first, last int, newestAt func(time.Time) uint64) *durationHistogram {
	found := newDurationHistogram()
	for _, one := range histories {
		for life := first; life <= min(last, len(one.incarnationStarts)); life++ {
			if converged := one.inStepAt(life, newestAt(one.incarnationStarts[life-1])); !converged.IsZero() {
				found.record(converged.Sub(one.incarnationStarts[life-1]))
			}
		}
	}
	return found
}

// inStepAt is when the controller first held a revision or a later one in a life, zero if it never did.
func (h *history) inStepAt(life int, revision uint64) time.Time {
	for _, one := range h.accepted {
		if one.incarnation == life && one.revision >= revision {
			return one.at
		}
	}
	return time.Time{}
}
