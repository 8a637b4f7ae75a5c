package cluster

import (
	"context"
	"time"
)

const (
	requestTimeout = 10 * time.Second
	retryInterval  = time.Second // of a proposal or a read without an answer
)

// runOnLoop has the node's loop run a function and waits for it. The error is ctx's if the function was
// not run, or ErrStopped; then it may have been run or not.
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
