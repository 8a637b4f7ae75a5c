package cluster

import (
	"cmp"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// ChangeMembers proposes a change; of several members by joint consensus. The error is a *NotLeaderError, or one of the
// raft library for a proposal that was dropped.
func (m *Member) ChangeMembers(change MembershipChange) error {
	if m.role != raft.StateLeader {
		return &NotLeaderError{Request: "members are changed", Leader: m.leader}
	}
	var changes []*raftpb.ConfChangeSingle
	add := func(kind raftpb.ConfChangeType, ids []uint64) {
		for _, id := range ids {
			changes = append(changes, &raftpb.ConfChangeSingle{Type: kind.Enum(), NodeId: proto.Uint64(id)})
		}
	}
	add(raftpb.ConfChangeAddNode, change.Add)
	add(raftpb.ConfChangeAddLearnerNode, change.Learn)
	add(raftpb.ConfChangeRemoveNode, change.Remove)
	slices.SortStableFunc(changes, func(a, b *raftpb.ConfChangeSingle) int { return cmp.Compare(a.GetNodeId(), b.GetNodeId()) })
	return m.rawNode.ProposeConfChange(&raftpb.ConfChangeV2{Changes: changes})
}

// TransferLeadership has another member lead. The error is a *NotLeaderError.
func (m *Member) TransferLeadership(to uint64) error {
	if m.role != raft.StateLeader {
		return &NotLeaderError{Request: "leadership is handed over", Leader: m.leader}
	}
	m.rawNode.TransferLeader(to)
	return nil
}

// applyConfChange applies a change of one member, as the raft library proposes for itself.
func (m *Member) applyConfChange(data []byte) error {
	change := &raftpb.ConfChange{}
	if err := proto.Unmarshal(data, change); err != nil {
		return err
	}
	m.confState = m.rawNode.ApplyConfChange(change)
	m.membersChanged = true
	return nil
}

// applyConfChangeV2 applies a change of members. The disk of a member that is removed is forgotten, so that it may be
// added again with another one.
func (m *Member) applyConfChangeV2(data []byte) error {
	change := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(data, change); err != nil {
		return err
	}
	m.confState = m.rawNode.ApplyConfChange(change)
	m.membersChanged = true
	for _, single := range change.GetChanges() {
		if single.GetType() == raftpb.ConfChangeRemoveNode {
			delete(m.State.Identities, single.GetNodeId())
		}
	}
	return nil
}
