package config

import "harehook.dev/harehook/internal/kdl"

const maxMemberID = 1 << 32

// Group holds the settings of a controller that is a member of a group.
type Group struct {
	ID         uint64
	Listen     string            // address for members and followers
	DataFolder string            // of the Raft log
	Addresses  map[uint64]string // of the members, by ID
	Voters     []uint64          // the initial voters; empty for a member that is added later
	AddedLater bool              // the member is added to a running group
}

// readGroup reads the settings of a controller as a member of a group.
func (r *reader) readGroup(n *kdl.Node) *Group {
	r.checkShape(n, 0)
	g := &Group{Addresses: map[uint64]string{}}
	r.readChildren(n, nodeReaders{
		"id":          func(n *kdl.Node) { g.ID = uint64(r.onlyNumber(n, 1, maxMemberID)) },
		"listen":      func(n *kdl.Node) { r.onlyAddress(n, &g.Listen) },
		"data":        func(n *kdl.Node) { g.DataFolder = r.onlyPath(n) },
		"added-later": func(n *kdl.Node) { g.AddedLater = r.readFlag(n) },
	}, nodeReaders{
		"member": func(n *kdl.Node) { r.readGroupMember(n, g) },
	})
	r.checkRequired(n,
		requirement{"id", g.ID == 0},
		requirement{"listen", g.Listen == ""},
		requirement{"data", g.DataFolder == ""},
		requirement{"member", len(g.Voters) == 0},
	)
	if g.AddedLater {
		g.Voters = nil
	} else if g.Addresses[g.ID] == "" {
		r.faults.Add(n.Line, "member %d must be in the list of members; a member that is added to a running group must state \"added-later\"", g.ID)
	}
	return g
}

// readGroupMember reads the ID and the address of a member.
func (r *reader) readGroupMember(n *kdl.Node, g *Group) {
	r.checkShape(n, 2)
	if len(n.Arguments) != 2 {
		return
	}
	id := uint64(r.numberValue(n, n.Arguments[0], 1, maxMemberID))
	if g.Addresses[id] != "" {
		r.faults.Add(n.Line, "duplicate member %d", id)
	}
	g.Addresses[id] = r.addressValue(n, n.Arguments[1])
	g.Voters = append(g.Voters, id)
}
