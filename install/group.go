package install

import "harehook.dev/harehook/internal/kdl"

const memberIDMost = 1 << 32

// Group is a conductor's part in a group of conductors that agree on configuration.
type Group struct {
	ID        uint64
	Listen    string
	Data      string            // folder of the log
	Addresses map[uint64]string // of the members
	Voters    []uint64          // that begin the group; none at one that is added later
	Later     bool
}

// group reads a conductor's part in a group.
func (r *reader) group(n *kdl.Node) *Group {
	r.takes(n, 0)
	g := &Group{Addresses: map[uint64]string{}}
	r.each(n, nodeReaders{
		"id":          func(n *kdl.Node) { g.ID = uint64(r.figure(n, 1, memberIDMost)) },
		"listen":      func(n *kdl.Node) { r.onlyAddress(n, &g.Listen) },
		"data":        func(n *kdl.Node) { g.Data = r.file(n) },
		"added-later": func(n *kdl.Node) { g.Later = r.flag(n) },
	}, nodeReaders{
		"member": func(n *kdl.Node) { r.groupMember(n, g) },
	})
	r.lacks(n,
		requirement{"id", g.ID == 0},
		requirement{"listen", g.Listen == ""},
		requirement{"data", g.Data == ""},
		requirement{"member", len(g.Voters) == 0},
	)
	if g.Later {
		g.Voters = nil
	} else if g.Addresses[g.ID] == "" {
		r.faults.Add(n.Line, "member %d itself is not among the members; one that is added to a group that stands says \"added-later\"", g.ID)
	}
	return g
}

// groupMember reads the number and the address of a member.
func (r *reader) groupMember(n *kdl.Node, g *Group) {
	r.takes(n, 2)
	if len(n.Args) != 2 {
		return
	}
	id := uint64(r.number(n, n.Args[0], 1, memberIDMost))
	if g.Addresses[id] != "" {
		r.faults.Add(n.Line, "member %d is there twice", id)
	}
	g.Addresses[id] = r.address(n, n.Args[1])
	g.Voters = append(g.Voters, id)
}
