package cluster

import "fmt"

// A member proposes two commands on its own: one that registers its disk, and, as the leader of a group that started
// with full texts, one that switches the group to revisions of records.

// Registered reports whether this member's disk is registered in the group.
func (m *Member) Registered() bool { return m.State.Identities[m.ID] == m.Identity }

// RegisterCommand returns the command that registers this member's disk. It also works for a member that was removed
// and added again.
func (m *Member) RegisterCommand() Command {
	return Command{
		Kind:     CommandRegister,
		Client:   fmt.Sprintf("member-%d-%s", m.ID, m.Identity),
		Seq:      m.appliedIndex + 1,
		Member:   m.ID,
		Identity: m.Identity,
	}
}

// FormatCommand returns the command that switches a group that started with full texts to revisions of records.
func (m *Member) FormatCommand() Command {
	return Command{
		Kind:   CommandSetFormat,
		Client: fmt.Sprintf("format-%d-%s", m.ID, m.Identity),
		Seq:    m.appliedIndex + 1,
	}
}
