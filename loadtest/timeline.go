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

// window is a time in which a fault concerns a controller. It ends when the controller has accepted something on a stream
// that it opened after the fault, or else after the fault's end.
type window struct {
	fault    Fault
	from, to time.Time
}

// acceptance is a revision that a controller held from a time on.
type acceptance struct {
	at       time.Time
	life     int
	revision uint64
	digest   Digest
	outside  int
}

// history is what one controller told.
type history struct {
	external bool        // it is harehook-xds, which tells nothing
	lives    []time.Time // when each began
	joined   []time.Time // when a member answered on a new stream
	member   string      // that answered last
	accepted []acceptance
	final    *acceptance
	windows  []window
}

// note takes an event.
func (h *history) note(one event) {
	at := time.Unix(0, one.At)
	observed := acceptance{at, one.Incarnation, one.Revision, one.Digest, one.Outside}
	switch one.Kind {
	case eventStarted:
		h.lives = append(h.lives, at)
	case eventJoined:
		h.joined = append(h.joined, at)
		h.member = one.Member
	case eventAccepted:
		h.accepted = append(h.accepted, observed)
	case eventFinal:
		h.final = &observed
	}
}

// held is the revision held in the present life.
func (h *history) held() uint64 {
	if len(h.accepted) == 0 {
		return 0
	}
	last := h.accepted[len(h.accepted)-1]
	if last.life < len(h.lives) {
		return 0
	}
	return last.revision
}

// allWindows gives the times in which faults concerned the controller, each until it was back.
func (h *history) allWindows() (windows []window) {
	for _, w := range h.windows {
		windows = append(windows, h.extend(w))
	}
	for at, began := range h.lives {
		if at > 0 { // the first is the start
			windows = append(windows, h.extend(window{FaultAllRestarted, began, began}))
		}
	}
	return windows
}

// extend has a window last until the controller is back: it has accepted something on a stream of after the fault.
func (h *history) extend(w window) window {
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

// rank orders faults by how much they excuse.
var rank = map[Fault]int{FaultReconnect: 1, FaultMemberKilled: 2, FaultRejecting: 3, FaultRegionCut: 4, FaultAllRestarted: 5}

// concerned is the window that says most about a time, if there is one.
func concerned(windows []window, from, to time.Time) (found window) {
	for _, w := range windows {
		if w.from.After(to) || w.to.Before(from) {
			continue
		}
		if rank[w.fault] > rank[found.fault] {
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
		if one.life == before.life && one.revision < before.revision {
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
	if digest, known := model.At(controller, a.revision); known && digest != a.digest {
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
	convergence        *times           // of each change: until all that it was due from have accepted it
	convergenceByFault map[Fault]*times // empty: no fault was played
	followers          map[Fault]*times // of each change and controller, by the fault that concerned it
	affected           map[Fault]int    // how often a fault concerned a controller
	interested         *times           // likewise, of controllers whose scope the change touched and no fault concerned
}

// timeline works out the times of all changes.
func timeline(changes []change, histories []*history, lease time.Duration) *timings {
	t := &timings{convergence: newTimes(), convergenceByFault: map[Fault]*times{}, followers: map[Fault]*times{}, affected: map[Fault]int{}, interested: newTimes()}
	worst := make([]time.Duration, len(changes))
	for controller, one := range histories {
		windows := one.allWindows()
		for _, w := range windows {
			t.affected[w.fault]++
		}
		for k, accepted := range one.acceptTimes(changes) {
			if accepted.IsZero() {
				continue // the check of what was held at the end tells it
			}
			c := changes[k]
			delay := max(0, accepted.Sub(c.answered))
			concern := concerned(windows, c.answered, accepted)
			byFault(t.followers, concern.fault).record(delay)
			if concern.fault == "" && c.interested[controller] {
				t.interested.record(delay)
			}
			worst[k] = max(worst[k], dueAfter(c, concern, delay, lease))
		}
	}
	for k, c := range changes {
		t.convergence.record(worst[k])
		byFault(t.convergenceByFault, c.phase).record(worst[k])
	}
	return t
}

// dueAfter is for how long a controller kept a change from being in force everywhere. One that is cut off does so until
// its lease has run out. One that was restarted or refuses is told by itself.
func dueAfter(c change, concern window, delay, lease time.Duration) time.Duration {
	switch concern.fault {
	case FaultAllRestarted, FaultRejecting:
		return 0
	case FaultRegionCut:
		return min(delay, max(0, concern.from.Add(lease).Sub(c.answered)))
	}
	return delay
}

func byFault(all map[Fault]*times, fault Fault) *times {
	if all[fault] == nil {
		all[fault] = newTimes()
	}
	return all[fault]
}

// untilInStep gives, for each controller and some of its lives, the time from a life's beginning until it held what was
// agreed when that began. Lives count from one.
func untilInStep(histories []*history, first, last int, newestAt func(time.Time) uint64) *times {
	found := newTimes()
	for _, one := range histories {
		for life := first; life <= min(last, len(one.lives)); life++ {
			if converged := one.inStep(life, newestAt(one.lives[life-1])); !converged.IsZero() {
				found.record(converged.Sub(one.lives[life-1]))
			}
		}
	}
	return found
}

// inStep is when the controller first held a revision or a later one in a life, zero if it never did.
func (h *history) inStep(life int, revision uint64) time.Time {
	for _, one := range h.accepted {
		if one.life == life && one.revision >= revision {
			return one.at
		}
	}
	return time.Time{}
}
