package fakeplatform

import (
	"context"
	"sync"
)

// observable lets others wait for what a fake has seen. Its mutex guards the state of the fake.
type observable struct {
	sync.Mutex
	changes chan struct{} // closed at the next change
}

func newObservable() observable { return observable{changes: make(chan struct{})} }

// notifyChanged wakes the goroutines in Await; the mutex is held.
func (o *observable) notifyChanged() {
	close(o.changes)
	o.changes = make(chan struct{})
}

// Await waits until ok holds, which is called under the mutex whenever something has changed. The error is that of ctx.
func (o *observable) Await(ctx context.Context, ok func() bool) error {
	for {
		o.Lock()
		done, changes := ok(), o.changes
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
