package cluster

import "fmt"

// A member has the group know two things by itself: the disk that it runs on, and, as the leader of a group that began
// with full texts, that revisions of records count from now on.

// Registered reports whether the group knows this member's disk.
func (m *Member) Registered() bool { return m.State.Identities[m.ID] == m.Identity }

// RegisterCommand has the group know this member's disk, also one that was removed and is back.
func (m *Member) RegisterCommand() Command {
	return Command{
		Kind:     CommandRegister,
		Client:   fmt.Sprintf("member-%d-%s", m.ID, m.Identity),
		Seq:      m.appliedIndex + 1,
		Member:   m.ID,
		Identity: m.Identity,
	}
}

// FormatCommand has revisions of records count in a group that began with full texts.
func (m *Member) FormatCommand() Command {
	return Command{
		Kind:   CommandSetFormat,
		Client: fmt.Sprintf("format-%d-%s", m.ID, m.Identity),
		Seq:    m.appliedIndex + 1,
	}
}
