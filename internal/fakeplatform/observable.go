package fakeplatform

import (
	"context"
	"sync"
)

// observable lets tests wait for changes of a fake's state. Its mutex guards this state.
type observable struct {
	sync.Mutex
	changes chan struct{} // closed when the state changes
}

func newObservable() observable { return observable{changes: make(chan struct{})} }

// notifyChanged wakes the goroutines that wait for a change. The caller holds the mutex.
func (o *observable) notifyChanged() {
	close(o.changes)
	o.changes = make(chan struct{})
}

// Await waits until condition returns true. It calls condition with the mutex held, first immediately and then after
// each change. It returns the error of ctx if ctx ends first.
func (o *observable) Await(ctx context.Context, condition func() bool) error {
	for {
		o.Lock()
		done, changes := condition(), o.changes
		o.Unlock()
		if done {
			return nil
		}
		select {
		case <-changes:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
