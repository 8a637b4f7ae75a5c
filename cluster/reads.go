package cluster

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// ReadLinearizable returns the version in effect with its text, after this member has applied all entries that were
// committed when it was called. It waits at most 10 s. The error is ErrNoLeader if no leader confirmed the read, also
// because the node stopped, ctx ended or too many reads were pending; ErrStopped or ctx's if the loop did not accept
// the request; or an error with the code NotFound if the text is not retained.
func (n *Node) ReadLinearizable(ctx context.Context) (Version, error) {
	version, err := n.confirmedVersion(ctx)
	if err != nil {
		return Version{}, err
	}
	return n.withText(version)
}

// ReadLocal returns the version in effect at this member with its text; the group may have committed a later version.
// The error is ErrStopped, ctx's, or one with the code NotFound if the text is not retained.
func (n *Node) ReadLocal(ctx context.Context) (Version, error) {
	var version Version
	if err := n.runOnLoop(ctx, func() { version = n.member.State.Latest() }); err != nil {
		return version, err
	}
	return n.withText(version)
}

// withText returns a version with its text. It runs on the caller's goroutine instead of the loop because the cost is
// proportional to the size of the configuration.
func (n *Node) withText(version Version) (Version, error) {
	text, retained := n.member.State.TextOf(version.Number)
	if !retained {
		return version, status.Error(codes.NotFound, fmt.Sprintf("the text of version %d is not retained", version.Number))
	}
	version.Text = text
	return version, nil
}

// pendingRead is a read that waits for the leader's confirmation.
type pendingRead struct {
	id      uint64       // 0 if the request failed
	version chan Version // with a buffer of one
}

// confirmedVersion is ReadLinearizable without the text and its NotFound error. It repeats the request each second
// because the leader may have failed.
func (n *Node) confirmedVersion(ctx context.Context) (Version, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for {
		read, err := n.requestRead(ctx)
		if err != nil {
			return Version{}, err
		}
		select {
		case version := <-read.version:
			return version, nil
		case <-n.stopped:
			return Version{}, ErrNoLeader
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
		if err := n.cancelRead(read); err != nil {
			return Version{}, err
		}
		if ctx.Err() != nil {
			return Version{}, ErrNoLeader
		}
	}
}

// requestRead requests a read from the leader. If the request fails with ErrNoLeader or ErrTooManyReads, the read has
// no ID and is retried as if the leader had not answered. The error is ErrStopped or ctx's.
func (n *Node) requestRead(ctx context.Context) (*pendingRead, error) {
	read := &pendingRead{version: make(chan Version, 1)}
	err := n.runOnLoop(ctx, func() {
		id, err := n.member.RequestReadIndex()
		if err != nil {
			return // confirmedVersion retries
		}
		read.id = id
		n.readWaiters[id] = read.version
	})
	return read, err
}

// cancelRead cancels a requested read. The error is ErrStopped.
func (n *Node) cancelRead(read *pendingRead) error {
	if read.id == 0 {
		return nil
	}
	return n.runOnLoop(context.Background(), func() {
		delete(n.readWaiters, read.id)
		n.member.CancelRead(read.id)
	})
}

// notifyReaders sends the version in effect to the callers whose reads were confirmed.
func (n *Node) notifyReaders(reads []ReadState) {
	for _, read := range reads {
		if waiter := n.readWaiters[read.ID]; waiter != nil {
			delete(n.readWaiters, read.ID)
			waiter <- n.member.State.Latest()
		}
	}
}
