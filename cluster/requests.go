package cluster

import (
	"context"
	"time"
)

const (
	requestTimeout = 10 * time.Second
	retryInterval  = time.Second // of an unanswered proposal or read
)

// runOnLoop runs a function on the node's loop and waits until it returns. If the error is ctx's, the function was not
// run. If it is ErrStopped, the function may or may not have been run.
func (n *Node) runOnLoop(ctx context.Context, run func()) error {
	finished := make(chan struct{})
	request := func() {
		run()
		close(finished)
	}
	select {
	case n.requests <- request:
	case <-n.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-finished:
		return nil
	case <-n.stopped:
		return ErrStopped
	}
}
