package cluster

import "fmt"

// A member proposes two commands on its own: one that registers its disk, and, as the leader of a group that began
// with full texts, one that enables revisions of single records.

// Registered reports whether this member's disk is registered in the group.
func (m *Member) Registered() bool { return m.State.Identities[m.ID] == m.Identity }

// RegisterCommand returns the command that registers this member's disk. Its Seq grows with the applied index: if the
// member is removed and added again, the command is a new one and not a repeated proposal.
func (m *Member) RegisterCommand() Command {
	return Command{
		Kind:     CommandRegister,
		Client:   fmt.Sprintf("member-%d-%s", m.ID, m.Identity),
		Seq:      m.appliedIndex + 1,
		Member:   m.ID,
		Identity: m.Identity,
	}
}

// FormatCommand returns the command that enables revisions of single records in a group that began with full texts.
func (m *Member) FormatCommand() Command {
	return Command{
		Kind:   CommandSetFormat,
		Client: fmt.Sprintf("format-%d-%s", m.ID, m.Identity),
		Seq:    m.appliedIndex + 1,
	}
}
