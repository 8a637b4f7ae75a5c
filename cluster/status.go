package cluster

import (
	"context"
	"maps"

	"go.etcd.io/raft/v3"
)

// IsLeader reports whether this member is the leader, as far as it knows.
func (m *Member) IsLeader() bool { return m.role == raft.StateLeader }

// Leader returns the leader's number, 0 if none is known.
func (m *Member) Leader() uint64 { return m.leader }

// Status returns the group's status as this member sees it.
func (m *Member) Status() Status {
	basic := m.rawNode.BasicStatus()
	first, last := m.logBounds()
	status := Status{
		ID:             m.ID,
		Leader:         m.leader,
		Term:           basic.GetTerm(),
		Applied:        m.appliedIndex,
		Commit:         basic.GetCommit(),
		IsLeader:       m.IsLeader(),
		Voters:         m.confState.GetVoters(),
		Learners:       m.confState.GetLearners(),
		JointConsensus: len(m.confState.GetVotersOutgoing()) > 0,
		Version:        m.State.Latest().Number,
		Entries:        last + 1 - min(first, last+1),
	}
	if status.IsLeader {
		status.Lag = m.lag(last)
	}
	return status
}

// logBounds returns the first and last index of the in-memory log, whose methods never return an error.
func (m *Member) logBounds() (first, last uint64) {
	first, _ = m.storage.FirstIndex()
	last, _ = m.storage.LastIndex()
	return first, last
}

// lag returns the number of entries that each member lacks up to index last, by member. Only the leader knows it.
func (m *Member) lag(last uint64) map[uint64]uint64 {
	lag := map[uint64]uint64{}
	for id, progress := range m.rawNode.Status().Progress {
		lag[id] = last - min(progress.Match, last)
	}
	return lag
}

// Status returns the status report of this node's member. The error is ErrStopped or ctx's.
func (n *Node) Status(ctx context.Context) (StatusReport, error) {
	var report StatusReport
	err := n.runOnLoop(ctx, func() {
		state := n.member.State
		report.Status = n.member.Status()
		report.Addresses = map[uint64]string{}
		maps.Copy(report.Addresses, n.addresses)
		maps.Copy(report.Addresses, state.Addresses)
		report.Identities = maps.Clone(state.Identities)
		report.RejectedMessages = n.member.RejectedMessages
	})
	return report, err
}
