package cluster

import (
	"fmt"

	"go.etcd.io/raft/v3"
)

// Status is what a member knows of the group.
type Status struct {
	ID             uint64            `json:"ID"`
	Leader         uint64            `json:"Leader"`
	Term           uint64            `json:"Term"`
	Applied        uint64            `json:"Applied"`
	Commit         uint64            `json:"Commit"`
	IsLeader       bool              `json:"Leads"`
	Voters         []uint64          `json:"Voters"`
	Learners       []uint64          `json:"Learners"`
	JointConsensus bool              `json:"Joint"`
	Version        uint64            `json:"Version"`
	Entries        uint64            `json:"Entries"`
	Lag            map[uint64]uint64 `json:"Behind"` // at the leader: entries that a member lacks
}

// Status tells it.
func (m *Member) Status() Status {
	b := m.rawNode.BasicStatus()
	first, _ := m.storage.FirstIndex()
	last, _ := m.storage.LastIndex()
	s := Status{ID: m.ID, Leader: m.leader, Term: b.HardState.GetTerm(), Applied: m.appliedIndex, Commit: b.HardState.GetCommit(),
		IsLeader: m.role == raft.StateLeader, Voters: m.confState.GetVoters(), Learners: m.confState.GetLearners(),
		JointConsensus: len(m.confState.GetVotersOutgoing()) > 0, Version: m.State.Latest().Number, Entries: last + 1 - min(first, last+1)}
	if s.IsLeader {
		s.Lag = map[uint64]uint64{}
		for id, p := range m.rawNode.Status().Progress {
			s.Lag[id] = last - min(p.Match, last)
		}
	}
	return s
}

// IsLeader tells whether this member leads, for all that it knows.
func (m *Member) IsLeader() bool { return m.role == raft.StateLeader }

// Leader is the member that leads, 0 if none is known.
func (m *Member) Leader() uint64 { return m.leader }

// Registered tells whether the group knows this member's disk.
func (m *Member) Registered() bool { return m.State.Identities[m.ID] == m.Identity }

// RegisterCommand has the group know this member's disk, also one that was removed and is back.
func (m *Member) RegisterCommand() Command {
	return Command{Kind: CommandRegister, Client: fmt.Sprintf("member-%d-%s", m.ID, m.Identity), Seq: m.appliedIndex + 1, Member: m.ID, Identity: m.Identity}
}

// FormatCommand has revisions of records count in a group that began with whole texts.
func (m *Member) FormatCommand() Command {
	return Command{Kind: CommandSetFormat, Client: fmt.Sprintf("format-%d-%s", m.ID, m.Identity), Seq: m.appliedIndex + 1}
}
