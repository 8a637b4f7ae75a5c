package cluster

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

// setupInterval is the time between two proposals of a member for itself that were not agreed on yet.
const setupInterval = time.Second

// pendingProposal is a proposal that waits for its result.
type pendingProposal struct {
	command Command
	key     string
	result  chan Result // has room for one
}

// Propose has a command agreed on, and proposes it again each second until there is a result; it is carried out once at
// most. It waits 10 s at most.
//
// After an error of State.Validate the command was not proposed. Any other error leaves open whether it was agreed on, and
// the same command may be proposed again: ErrUnknownOutcome, ErrNoLeader, raft.ErrProposalDropped, ErrStopped or ctx's.
// ErrNoLeader and raft.ErrProposalDropped tell of the last attempt alone; an earlier one may have reached a leader.
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

// mayRetry reports whether an attempt that the member did not accept may succeed later.
func mayRetry(err error) bool {
	return errors.Is(err, ErrNoLeader) || errors.Is(err, raft.ErrProposalDropped)
}

// submit proposes a command for the first time. It runs on the loop.
func (n *Node) submit(p *pendingProposal) error {
	if err := n.member.Propose(p.command); err != nil {
		return err
	}
	n.addWaiter(p)
	return nil
}

// resubmit proposes a command again: the leader may have gone with it. It waits for the result also if the member could
// not hand the command on, since the first attempt may have been agreed on. It runs on the loop.
func (n *Node) resubmit(p *pendingProposal) error {
	err := n.member.Propose(p.command)
	n.addWaiter(p)
	return err
}

// abandon gives up waiting. It returns the error of the last attempt, proposeErr, and ErrUnknownOutcome if that one had
// none. Both leave the outcome open: an earlier attempt may have been agreed on.
func (n *Node) abandon(p *pendingProposal, proposeErr error) error {
	// An error says that the loop has ended, and with it all waiting.
	ignoreError(n.runOnLoop(context.Background(), func() { n.removeWaiter(p) }))
	if proposeErr != nil {
		return proposeErr
	}
	return ErrUnknownOutcome
}

// addWaiter has the result of a proposal sent to one more caller.
func (n *Node) addWaiter(p *pendingProposal) {
	if !slices.Contains(n.proposalWaiters[p.key], p.result) {
		n.proposalWaiters[p.key] = append(n.proposalWaiters[p.key], p.result)
	}
}

// removeWaiter has no result sent to a caller any more.
func (n *Node) removeWaiter(p *pendingProposal) {
	n.proposalWaiters[p.key] = slices.DeleteFunc(n.proposalWaiters[p.key], func(other chan Result) bool { return other == p.result })
	if len(n.proposalWaiters[p.key]) == 0 {
		delete(n.proposalWaiters, p.key)
	}
}

// notifyProposers sends results to the callers of Propose.
//
// A caller may have a result that it has not received, and may never receive it, as its time is up: sending it another
// one would block the loop for good. So a result for which there is no room is dropped.
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

// proposeSetup proposes what a member has the group know by itself (see registration.go).
func (n *Node) proposeSetup() {
	if n.member.Leader() == 0 || time.Since(n.lastSetup) < setupInterval {
		return
	}
	switch {
	case !n.member.Registered():
		n.lastSetup = time.Now()
		ignoreError(n.member.Propose(n.member.RegisterCommand())) // it is proposed again until it shows in the state
	case n.member.State.FullTexts && n.member.IsLeader():
		n.lastSetup = time.Now()
		ignoreError(n.member.Propose(n.member.FormatCommand())) // as above
	}
}
