package loadtest

import (
	"sync"
	"time"
)

// recorder keeps what workers tell, and what was agreed, until the run is over.
type recorder struct {
	mutex     sync.Mutex
	histories []*history
	changes   []change
	agreed    []agreement // ascending
	phase     Fault
	failure   error // of a worker that should have gone on
}

// agreement is a revision that was agreed on and when that was answered.
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

func (r *recorder) recordEvents(events []event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, one := range events {
		if one.Controller >= 0 && one.Controller < len(r.histories) {
			r.histories[one.Controller].recordEvent(one)
		}
	}
}

// recordFailure notes the first failure.
func (r *recorder) recordFailure(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.failure == nil {
		r.failure = err
	}
}

func (r *recorder) firstFailure() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.failure
}

// recordAgreed notes a revision.
func (r *recorder) recordAgreed(revision uint64, at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.agreed = append(r.agreed, agreement{revision, at})
}

// recordChange notes one that was played.
func (r *recorder) recordChange(revision uint64, at time.Time, interested []int) {
	one := change{revision: revision, answered: at, interested: map[int]bool{}}
	for _, controller := range interested {
		one.interested[controller] = true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	one.phase = r.phase
	r.changes = append(r.changes, one)
	r.agreed = append(r.agreed, agreement{revision, at})
}

// setPhase begins to play a fault; an empty one ends it.
func (r *recorder) setPhase(fault Fault) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.phase = fault
}

// recordFault notes that a fault concerns controllers between two times.
func (r *recorder) recordFault(fault Fault, controllers []int, from, to time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, at := range controllers {
		r.histories[at].windows = append(r.histories[at].windows, faultWindow{fault, from, to})
	}
}

// controllersOf gives the controllers that a member answered last.
func (r *recorder) controllersOf(member string) (controllers []int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for at, one := range r.histories {
		if one.member == member {
			controllers = append(controllers, at)
		}
	}
	return controllers
}

// newestRevision is the revision agreed on last.
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
	for _, one := range r.agreed {
		if one.at.After(at) {
			break
		}
		revision = one.revision
	}
	return revision
}

// countBehind counts the controllers that don't hold a revision yet.
func (r *recorder) countBehind(revision uint64) (count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, one := range r.histories {
		if !one.external && one.heldRevision() < revision {
			count++
		}
	}
	return count
}
