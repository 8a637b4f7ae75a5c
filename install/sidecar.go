package install

import (
	"time"

	"harehook.dev/harehook/internal/kdl"
	"harehook.dev/harehook/internal/keys"
)

const (
	usualCalls      = 256 // connections at once
	connectionsMost = 65000
)

// Sidecar is the configuration of one sidecar.
type Sidecar struct {
	Name, Zone, Listen string
	Conductors         []string
	Delta              bool
	Keep               string // the file of held versions, empty: none
	Mutating           map[string]bool
	Calls              int // connections at once
	Connect            time.Duration
	Keys               keys.Files
}

// ReadSidecar reads a sidecar's configuration.
func ReadSidecar(path string) (*Sidecar, error) {
	s := &Sidecar{Delta: true, Mutating: map[string]bool{}, Calls: usualCalls, Connect: usualConnect}
	err := read(path, func(r *reader, nodes []*kdl.Node) {
		if top := r.one(nodes, "sidecar"); top != nil {
			r.sidecar(top, s)
		}
	})
	return s, err
}

// sidecar reads the top node of a sidecar's configuration.
func (r *reader) sidecar(top *kdl.Node, s *Sidecar) {
	s.Name = r.onlyText(top)
	r.each(top, nodeReaders{
		"zone":        func(n *kdl.Node) { s.Zone = r.onlyText(n) },
		"listen":      func(n *kdl.Node) { r.onlyAddress(n, &s.Listen) },
		"variant":     func(n *kdl.Node) { r.variant(n, s) },
		"keep":        func(n *kdl.Node) { s.Keep = r.file(n) },
		"connections": func(n *kdl.Node) { s.Calls = int(r.figure(n, 1, connectionsMost)) },
		"connect-ms":  func(n *kdl.Node) { s.Connect = r.millis(n, 1, millisMost) },
		"keys":        func(n *kdl.Node) { r.keys(n, &s.Keys) },
	}, nodeReaders{
		"conductor": func(n *kdl.Node) { r.sidecarConductor(n, s) },
		"mutating":  func(n *kdl.Node) { s.Mutating[r.onlyText(n)] = true },
	})
	r.lacks(top,
		requirement{"zone", s.Zone == ""},
		requirement{"listen", s.Listen == ""},
		requirement{"conductor", len(s.Conductors) == 0},
	)
}

// variant reads which variant of xDS a sidecar speaks.
func (r *reader) variant(n *kdl.Node, s *Sidecar) {
	switch v := r.onlyText(n); v {
	case "delta", "state":
		s.Delta = v == "delta"
	default:
		r.faults.Add(n.Line, "the variant is \"delta\" or \"state\"")
	}
}

// sidecarConductor reads the address of a conductor that a sidecar may join.
func (r *reader) sidecarConductor(n *kdl.Node, s *Sidecar) {
	r.takes(n, 1)
	if len(n.Args) == 1 {
		s.Conductors = append(s.Conductors, r.address(n, n.Args[0]))
	}
}
