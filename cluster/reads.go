package cluster

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// ReadLinearizable gives the version in effect, with its text, once this member has all that was agreed when it was
// called. It waits 10 s at most. The error is ErrNoLeader if no leader confirmed the read, also where the node stopped, ctx
// ended or too many reads waited meanwhile; ErrStopped or ctx's if the loop did not take the request; or it has the code
// NotFound if the text is not retained.
func (n *Node) ReadLinearizable(ctx context.Context) (Version, error) {
	version, err := n.confirmedVersion(ctx)
	if err != nil {
		return Version{}, err
	}
	return n.withText(version)
}

// ReadLocal is the version in effect at this member with its text; the group may have agreed on a later one. The error
// is ErrStopped, ctx's, or has the code NotFound if the text is not retained.
func (n *Node) ReadLocal(ctx context.Context) (Version, error) {
	var version Version
	if err := n.runOnLoop(ctx, func() { version = n.member.State.Latest() }); err != nil {
		return version, err
	}
	return n.withText(version)
}

// withText gives a version its text, on the caller's goroutine: it costs by the whole configuration.
func (n *Node) withText(version Version) (Version, error) {
	text, retained := n.member.State.TextOf(version.Number)
	if !retained {
		return version, status.Error(codes.NotFound, fmt.Sprintf("the text of version %d is not kept", version.Number))
	}
	version.Text = text
	return version, nil
}

// pendingRead is a read that waits until the leader has confirmed it.
type pendingRead struct {
	id      uint64       // 0: it could not be requested
	version chan Version // has room for one
}

// confirmedVersion is ReadLinearizable without the text, with the same errors. It requests the read again each second: the
// leader that was asked may be gone.
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

// requestRead requests a read from the leader. One that cannot be requested, for ErrNoLeader or ErrTooManyReads, has no
// number and waits for its retry as if the leader had not answered. The error is ErrStopped or ctx's.
func (n *Node) requestRead(ctx context.Context) (*pendingRead, error) {
	read := &pendingRead{version: make(chan Version, 1)}
	err := n.runOnLoop(ctx, func() {
		id, err := n.member.RequestReadIndex()
		if err != nil {
			return // it is requested again
		}
		read.id = id
		n.readWaiters[id] = read.version
	})
	return read, err
}

// cancelRead forgets a read that was requested. The error is ErrStopped.
func (n *Node) cancelRead(read *pendingRead) error {
	if read.id == 0 {
		return nil
	}
	return n.runOnLoop(context.Background(), func() {
		delete(n.readWaiters, read.id)
		n.member.CancelRead(read.id)
	})
}

// notifyReaders sends the version in effect to the readers whose read was confirmed.
func (n *Node) notifyReaders(reads []ReadState) {
	for _, read := range reads {
		if waiter := n.readWaiters[read.ID]; waiter != nil {
			delete(n.readWaiters, read.ID)
			waiter <- n.member.State.Latest()
		}
	}
}
