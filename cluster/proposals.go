package cluster

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	requestTimeout = 10 * time.Second
	retryInterval  = time.Second // a proposal or a read that got no answer
)

// runOnLoop has the member's goroutine do something and waits for it.
func (n *Node) runOnLoop(ctx context.Context, do func()) error {
	ready := make(chan struct{})
	select {
	case n.requests <- func() { do(); close(ready) }:
	case <-n.stopped:
		return status.Error(codes.Unavailable, "the member has stopped")
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-ready:
		return nil
	case <-n.stopped:
		return status.Error(codes.Unavailable, "the member has stopped")
	}
}

// Propose has a command agreed on. An error leaves open whether it was; the same command may be proposed again.
func (n *Node) Propose(ctx context.Context, c Command) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	key, answer := proposalKey(c), make(chan Result, 1)
	var fault error
	if err := n.runOnLoop(ctx, func() {
		if fault = n.member.Propose(c); fault == nil {
			n.addWaiter(key, answer)
		}
	}); err != nil {
		return Result{}, err
	}
	again := time.NewTicker(retryInterval)
	defer again.Stop()
	for open := true; open; {
		if fault != nil && !errors.Is(fault, ErrNoLeader) && !errors.Is(fault, raft.ErrProposalDropped) {
			return Result{}, fault
		}
		select {
		case r := <-answer:
			return r, nil
		case <-n.stopped:
			open = false
		case <-ctx.Done():
			open = false
		case <-again.C:
			// The leader may have gone with it: the same proposal again, which is carried out once at most.
			if err := n.runOnLoop(ctx, func() { fault = n.member.Propose(c); n.addWaiter(key, answer) }); err != nil {
				open = false
			}
		}
	}
	n.runOnLoop(context.Background(), func() { n.removeWaiter(key, answer) })
	if fault != nil {
		return Result{}, fault // it never left this member
	}
	return Result{}, status.Error(codes.DeadlineExceeded, "no answer: it may or may not have been agreed; the same proposal may be repeated")
}

// proposalKey names a proposal: a repeat has the same.
func proposalKey(c Command) string { return fmt.Sprint(c.Client, " ", c.Seq) }

// removeWaiter has no result told any more to one who proposed.
func (n *Node) removeWaiter(key string, answer chan Result) {
	n.proposalWaiters[key] = slices.DeleteFunc(n.proposalWaiters[key], func(other chan Result) bool { return other == answer })
	if len(n.proposalWaiters[key]) == 0 {
		delete(n.proposalWaiters, key)
	}
}

// addWaiter has a result told to one more who proposed it.
func (n *Node) addWaiter(key string, answer chan Result) {
	if !slices.Contains(n.proposalWaiters[key], answer) {
		n.proposalWaiters[key] = append(n.proposalWaiters[key], answer)
	}
}

// ReadLinearizable gives the version in force, with its text, once this member has all that was agreed when it was asked.
func (n *Node) ReadLinearizable(ctx context.Context) (Version, error) {
	v, err := n.confirmRead(ctx)
	if err != nil {
		return Version{}, err
	}
	return n.withText(v)
}

// confirmRead is Fresh without the text.
func (n *Node) confirmRead(ctx context.Context) (Version, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for {
		answer, id := make(chan Version, 1), uint64(0)
		if err := n.runOnLoop(ctx, func() {
			if asked, err := n.member.RequestReadIndex(); err == nil {
				id, n.readWaiters[asked] = asked, answer
			}
		}); err != nil {
			return Version{}, err
		}
		select {
		case v := <-answer:
			return v, nil
		case <-n.stopped:
			return Version{}, ErrNoLeader
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
		if id != 0 {
			if err := n.runOnLoop(context.Background(), func() {
				delete(n.readWaiters, id)
				n.member.CancelRead(id)
			}); err != nil {
				return Version{}, err
			}
		}
		if ctx.Err() != nil {
			return Version{}, ErrNoLeader
		}
	}
}

// ReadLocal is the version in force here with its text, fresh or not.
func (n *Node) ReadLocal(ctx context.Context) (v Version, err error) {
	if err := n.runOnLoop(ctx, func() { v = n.member.State.Latest() }); err != nil {
		return v, err
	}
	return n.withText(v)
}

// withText gives a version its text, on the caller's goroutine: it costs by the whole configuration.
func (n *Node) withText(v Version) (Version, error) {
	text, kept := n.member.State.TextOf(v.Number)
	if !kept {
		return v, status.Error(codes.NotFound, fmt.Sprintf("the text of version %d is not kept", v.Number))
	}
	v.Text = text
	return v, nil
}
