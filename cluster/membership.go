package cluster

import (
	"cmp"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// ChangeMembers proposes a membership change; a change of several members uses joint consensus. The error is a
// *NotLeaderError, or that of the raft library if the proposal was dropped.
func (m *Member) ChangeMembers(change MembershipChange) error {
	if m.role != raft.StateLeader {
		return &NotLeaderError{Request: "a membership change", Leader: m.leader}
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

// TransferLeadership starts a leadership transfer to another member. The error is a *NotLeaderError.
func (m *Member) TransferLeadership(to uint64) error {
	if m.role != raft.StateLeader {
		return &NotLeaderError{Request: "a leadership transfer", Leader: m.leader}
	}
	m.rawNode.TransferLeader(to)
	return nil
}

// applyConfChange applies a change of one member, such as one that the raft library proposes itself.
func (m *Member) applyConfChange(data []byte) error {
	change := &raftpb.ConfChange{}
	if err := proto.Unmarshal(data, change); err != nil {
		return err
	}
	m.confState = m.rawNode.ApplyConfChange(change)
	m.membersChanged = true
	return nil
}

// applyConfChangeV2 applies a membership change. It deletes the disk identity of a removed member, so that the member
// can be added again with another disk.
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
