package loadtest

import (
	"sync"
	"time"
)

// recorder collects what workers report, and what was agreed, until the run is over.
type recorder struct {
	mutex     sync.Mutex // guards all below
	histories []*history // by index of the controller
	changes   []change   // by revision, ascending
	agreed    []agreement
	phase     Fault // that is played; empty: none
	failure   error // of a worker that should have gone on
}

// agreement is a revision that was agreed on and when that was answered. Agreements are in ascending order.
type agreement struct {
	revision uint64
	at       time.Time
}

func newRecorder(controllers int) *recorder {
	r := &recorder{}
	for range controllers {
		r.histories = append(r.histories, &history{})
	}
	return r
}

// recordEvents adds what controllers reported.
func (r *recorder) recordEvents(events []event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, e := range events {
		if e.Controller >= 0 && e.Controller < len(r.histories) {
			r.histories[e.Controller].recordEvent(e)
		}
	}
}

// recordFailure notes the failure of a worker; only the first one counts.
func (r *recorder) recordFailure(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.failure == nil {
		r.failure = err
	}
}

// firstFailure is the failure of a worker, nil if there is none.
func (r *recorder) firstFailure() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.failure
}

// recordAgreed adds a revision that was agreed on as the group was loaded.
func (r *recorder) recordAgreed(revision uint64, at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.agreed = append(r.agreed, agreement{revision: revision, at: at})
}

// recordChange adds a change that was played, with the controllers whose scope it touches.
func (r *recorder) recordChange(revision uint64, at time.Time, interested []int) {
	c := change{revision: revision, answered: at, interested: map[int]bool{}}
	for _, controller := range interested {
		c.interested[controller] = true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	c.phase = r.phase
	r.changes = append(r.changes, c)
	r.agreed = append(r.agreed, agreement{revision: revision, at: at})
}

// setPhase notes which fault is played from now on; an empty one: none.
func (r *recorder) setPhase(fault Fault) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.phase = fault
}

// recordFault notes that a fault concerns controllers between two times, at least.
func (r *recorder) recordFault(fault Fault, controllers []int, from, to time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, controller := range controllers {
		h := r.histories[controller]
		h.windows = append(h.windows, faultWindow{fault: fault, from: from, to: to})
	}
}

// controllersOf returns the controllers that a member, by its address, answered last.
func (r *recorder) controllersOf(member string) (controllers []int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for controller, h := range r.histories {
		if h.member == member {
			controllers = append(controllers, controller)
		}
	}
	return controllers
}

// newestRevision is the revision agreed on last; 0 if there is none.
func (r *recorder) newestRevision() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.agreed) == 0 {
		return 0
	}
	return r.agreed[len(r.agreed)-1].revision
}

// newestRevisionAt is the revision that was agreed on last at a time. Workers have ended when it is asked.
func (r *recorder) newestRevisionAt(at time.Time) (revision uint64) {
	for _, a := range r.agreed {
		if a.at.After(at) {
			break
		}
		revision = a.revision
	}
	return revision
}

// countBehind counts the controllers that don't hold a revision yet.
func (r *recorder) countBehind(revision uint64) (count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, h := range r.histories {
		if !h.external && h.heldRevision() < revision {
			count++
		}
	}
	return count
}
