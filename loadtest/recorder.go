package loadtest

import (
	"sync"
	"time"
)

// recorder collects the reports of workers and the agreed revisions during a run.
type recorder struct {
	mutex       sync.Mutex  // guards all fields below
	histories   []*history  // by controller index
	changes     []change    // in ascending order of revisions
	agreed      []agreement // in ascending order of revisions
	activeFault Fault       // fault that is being injected; empty if there is none
	failure     error       // first unexpected failure of a worker
}

// agreement is a revision that the group agreed on, and the time of the answer to its proposal.
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

// recordEvents adds events that controllers reported.
func (r *recorder) recordEvents(events []event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, e := range events {
		if e.Controller >= 0 && e.Controller < len(r.histories) {
			r.histories[e.Controller].recordEvent(e)
		}
	}
}

// recordFailure records the failure of a worker; only the first failure is kept.
func (r *recorder) recordFailure(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.failure == nil {
		r.failure = err
	}
}

// firstFailure returns the first failure of a worker, or nil if there is none.
func (r *recorder) firstFailure() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.failure
}

// recordAgreed adds a revision of the initial load.
func (r *recorder) recordAgreed(revision uint64, at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.agreed = append(r.agreed, agreement{revision: revision, at: at})
}

// recordChange adds an agreed change and the indices of the controllers whose scope it affects.
func (r *recorder) recordChange(revision uint64, at time.Time, interested []int) {
	c := change{revision: revision, answered: at, interested: map[int]bool{}}
	for _, controller := range interested {
		c.interested[controller] = true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	c.activeFault = r.activeFault
	r.changes = append(r.changes, c)
	r.agreed = append(r.agreed, agreement{revision: revision, at: at})
}

// setActiveFault sets the fault that is being injected; empty if there is none.
func (r *recorder) setActiveFault(fault Fault) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.activeFault = fault
}

// recordFault records that a fault affects controllers at least between two times.
func (r *recorder) recordFault(fault Fault, controllers []int, from, to time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, controller := range controllers {
		h := r.histories[controller]
		h.windows = append(h.windows, faultWindow{fault: fault, from: from, to: to})
	}
}

// controllersOf returns the indices of the controllers whose most recent stream was answered by the member at an
// address.
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

// newestRevision returns the most recently agreed revision, or 0 if there is none.
func (r *recorder) newestRevision() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.agreed) == 0 {
		return 0
	}
	return r.agreed[len(r.agreed)-1].revision
}

// newestRevisionAt returns the newest revision that was agreed on at a time. It must be called only after all workers
// have ended.
func (r *recorder) newestRevisionAt(at time.Time) (revision uint64) {
	for _, a := range r.agreed {
		if a.at.After(at) {
			break
		}
		revision = a.revision
	}
	return revision
}

// countBehind returns the number of controllers that have not accepted a revision yet.
func (r *recorder) countBehind(revision uint64) (count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, h := range r.histories {
		if !h.isProgram && h.acceptedRevision() < revision {
			count++
		}
	}
	return count
}
