package cluster

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

// setupInterval is the minimum time between two proposals by proposeSetup.
const setupInterval = time.Second

// pendingProposal is a proposal without a result yet.
type pendingProposal struct {
	command Command
	key     string
	result  chan Result // has a buffer of 1
}

// Propose proposes a command and waits at most 10 s for its result. It proposes the command again each second until
// there is a result; the command is executed at most once.
//
// After an error of State.Validate the command was not proposed. After any other error the outcome is unknown, and the
// same command may be proposed again: ErrUnknownOutcome, ErrNoLeader, raft.ErrProposalDropped, ErrStopped or ctx's
// error. ErrNoLeader and raft.ErrProposalDropped only describe the last attempt; an earlier one may have reached a
// leader.
func (n *Node) Propose(ctx context.Context, c Command) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	pending := &pendingProposal{command: c, key: proposalKey(c), result: make(chan Result, 1)}
	var proposeErr error
	if err := n.runOnLoop(ctx, func() { proposeErr = n.submit(pending) }); err != nil {
		return Result{}, err
	}
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		if proposeErr != nil && !mayRetry(proposeErr) {
			return Result{}, proposeErr
		}
		select {
		case result := <-pending.result:
			return result, nil
		case <-retry.C:
			if err := n.runOnLoop(ctx, func() { proposeErr = n.resubmit(pending) }); err != nil {
				return Result{}, n.abandon(pending, proposeErr)
			}
		case <-n.stopped:
			return Result{}, n.abandon(pending, proposeErr)
		case <-ctx.Done():
			return Result{}, n.abandon(pending, proposeErr)
		}
	}
}

// mayRetry reports whether a proposal that failed with an error of Member.Propose may succeed later.
func mayRetry(err error) bool {
	return errors.Is(err, ErrNoLeader) || errors.Is(err, raft.ErrProposalDropped)
}

// submit proposes a command for the first time. It must run on the loop.
func (n *Node) submit(p *pendingProposal) error {
	if err := n.member.Propose(p.command); err != nil {
		return err
	}
	n.addWaiter(p)
	return nil
}

// resubmit proposes a command again, since a leader that failed may have lost it. It adds the waiter even if the member
// could not forward the command, since the first attempt may have been committed. It must run on the loop.
func (n *Node) resubmit(p *pendingProposal) error {
	err := n.member.Propose(p.command)
	n.addWaiter(p)
	return err
}

// abandon stops waiting for a result. It returns the error of the last attempt, proposeErr, or ErrUnknownOutcome if
// there is none. The outcome is unknown in both cases: an earlier attempt may have been committed.
func (n *Node) abandon(p *pendingProposal, proposeErr error) error {
	// An error means that the loop has ended, and that the waiters are not used any more.
	ignoreError(n.runOnLoop(context.Background(), func() { n.removeWaiter(p) }))
	if proposeErr != nil {
		return proposeErr
	}
	return ErrUnknownOutcome
}

// addWaiter registers a caller for the result of its proposal.
func (n *Node) addWaiter(p *pendingProposal) {
	if !slices.Contains(n.proposalWaiters[p.key], p.result) {
		n.proposalWaiters[p.key] = append(n.proposalWaiters[p.key], p.result)
	}
}

// removeWaiter removes a caller that no longer waits for the result of its proposal.
func (n *Node) removeWaiter(p *pendingProposal) {
	n.proposalWaiters[p.key] = slices.DeleteFunc(n.proposalWaiters[p.key], func(other chan Result) bool { return other == p.result })
	if len(n.proposalWaiters[p.key]) == 0 {
		delete(n.proposalWaiters, p.key)
	}
}

// notifyProposers sends results to the callers of Propose.
//
// A result is dropped if the caller's channel is full. A caller whose deadline has passed may never receive the result
// that is already in its channel, and sending another one would block the loop forever.
func (n *Node) notifyProposers(applied []AppliedCommand) {
	for _, a := range applied {
		key := proposalKey(a.Command)
		for _, waiter := range n.proposalWaiters[key] {
			select {
			case waiter <- a.Result:
			default:
			}
		}
		delete(n.proposalWaiters, key)
	}
}

// proposeSetup proposes the commands that a member issues on its own (see registration.go).
func (n *Node) proposeSetup() {
	if n.member.Leader() == 0 || time.Since(n.lastSetup) < setupInterval {
		return
	}
	switch {
	case !n.member.Registered():
		n.lastSetup = time.Now()
		ignoreError(n.member.Propose(n.member.RegisterCommand())) // retried until the state contains it
	case n.member.State.FullTexts && n.member.IsLeader():
		n.lastSetup = time.Now()
		ignoreError(n.member.Propose(n.member.FormatCommand())) // as above
	}
}
