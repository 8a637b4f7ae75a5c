package cluster

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"
)

// handleStatus handles an operator's Status call.
func (n *Node) handleStatus(ctx context.Context, _ struct{}) (StatusReport, error) {
	return n.Status(ctx)
}

// handleMembers handles an operator's Members call. Operators add a member as a learner first and promote it by a
// second change. The response is the status as soon as it shows the change, or after half of requestTimeout.
func (n *Node) handleMembers(ctx context.Context, request MembershipRequest) (StatusReport, error) {
	if err := n.setAddedAddresses(ctx, request); err != nil {
		return StatusReport{}, err
	}
	var changeErr error
	if err := n.runOnLoop(ctx, func() { changeErr = n.member.changeMembership(request) }); err != nil {
		return StatusReport{}, err
	}
	if changeErr != nil {
		return StatusReport{}, changeErr
	}
	deadline := time.Now().Add(requestTimeout / 2)
	for {
		report, err := n.Status(ctx)
		if err != nil || membershipSettled(report.Status, request) || time.Now().After(deadline) {
			return report, err
		}
		time.Sleep(tickInterval)
	}
}

// changeMembership transfers leadership or changes members, depending on the request.
func (m *Member) changeMembership(request MembershipRequest) error {
	change := request.Change
	switch {
	case request.Lead != 0:
		return m.TransferLeadership(request.Lead)
	case len(change.Add)+len(change.Learn)+len(change.Remove) > 0:
		return m.ChangeMembers(change)
	}
	return nil
}

// setAddedAddresses proposes the address of the added members.
func (n *Node) setAddedAddresses(ctx context.Context, request MembershipRequest) error {
	if request.Address == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(request.Address); err != nil {
		return err
	}
	for _, id := range slices.Concat(request.Change.Learn, request.Change.Add) {
		command := Command{
			Kind:   CommandSetAddress,
			Client: fmt.Sprint("place-", id, "-", time.Now().UnixNano()),
			Seq:    1,
			Member: id,
			Text:   request.Address,
		}
		if _, err := n.Propose(ctx, command); err != nil {
			return err
		}
	}
	return nil
}

// membershipSettled reports whether a status shows the requested change.
func membershipSettled(s Status, request MembershipRequest) bool {
	isVoter := func(id uint64) bool { return slices.Contains(s.Voters, id) }
	isLearner := func(id uint64) bool { return slices.Contains(s.Learners, id) }
	isMember := func(id uint64) bool { return isVoter(id) || isLearner(id) }
	isNotVoter := func(id uint64) bool { return !isVoter(id) }
	isNotLearner := func(id uint64) bool { return !isLearner(id) }
	change := request.Change
	switch {
	case s.JointConsensus:
		return false
	case request.Lead != 0 && s.Leader != request.Lead:
		return false
	case slices.ContainsFunc(change.Add, isNotVoter), slices.ContainsFunc(change.Learn, isNotLearner):
		return false
	}
	return !slices.ContainsFunc(change.Remove, isMember)
}
