package cluster

import (
	"context"
	"maps"
	"slices"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"harehook.dev/harehook/records"
)

// handlePropose handles an operator's Propose call. Checks that depend on this controller's own endpoints and routes
// run here, before the command is appended to the log. Applying a command must depend only on the command and the
// state, because only these are the same at all members.
func (n *Node) handlePropose(ctx context.Context, c Command) (Result, error) {
	if c.Kind != CommandPut && c.Kind != CommandRollBack && c.Kind != CommandRecords {
		return Result{}, status.Error(codes.InvalidArgument, "operators may only propose put, records and rollback commands")
	}
	if err := n.member.State.Validate(c); err != nil {
		return Result{}, status.Error(codes.InvalidArgument, err.Error())
	}
	if n.CheckProposal != nil {
		if err := n.checkProposal(ctx, c); err != nil {
			return Result{}, err
		}
	}
	return n.Propose(ctx, c)
}

// checkProposal calls CheckProposal with the records that would result from a command, except tenants.
func (n *Node) checkProposal(ctx context.Context, c Command) error {
	state := n.member.State
	fullTexts := false
	if err := n.runOnLoop(ctx, func() { fullTexts = state.FullTexts }); err != nil {
		return err
	}
	transaction, err := state.transaction(c, fullTexts)
	if err != nil {
		return nil // for example a version that is not retained: the group rejects the command with this error
	}
	current := state.Store().OfKinds(records.KindRoute, records.KindService, records.KindOverride).Records
	proposed, err := recordsAfter(current, transaction.Writes)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	if err := n.CheckProposal(proposed); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	return nil
}

// recordsAfter returns the records that result from writes, ordered by key and without tenants.
func recordsAfter(current []*records.Record, writes []records.Write) ([]*records.Record, error) {
	byKey := make(map[records.Key]*records.Record, len(current))
	for _, record := range current {
		byKey[record.Key] = record
	}
	for _, write := range writes {
		delete(byKey, write.Key)
		if len(write.Body) == 0 || write.Key.Kind == records.KindTenant {
			continue
		}
		record, err := records.Parse(write.Key, write.Body)
		if err != nil {
			return nil, err
		}
		byKey[write.Key] = record
	}
	return slices.SortedFunc(maps.Values(byKey), func(a, b *records.Record) int { return a.Compare(b.Key) }), nil
}
