package config

import (
	"time"

	"harehook.dev/harehook/internal/certs"
	"harehook.dev/harehook/internal/kdl"
)

const (
	defaultMaxConnections = 256 // connections at once
	maxConnections        = 65000
)

// Sidecar is the configuration of one sidecar.
type Sidecar struct {
	Name, Zone, Listen string
	Controllers        []string
	Delta              bool
	StorePath          string // the file of held versions, empty: none
	MutatingRoutes     map[string]bool
	MaxConnections     int // connections at once
	ConnectTimeout     time.Duration
	Certificates       certs.Files
}

// ReadSidecar reads a sidecar's configuration.
func ReadSidecar(path string) (*Sidecar, error) {
	s := &Sidecar{Delta: true, MutatingRoutes: map[string]bool{}, MaxConnections: defaultMaxConnections, ConnectTimeout: defaultConnectTimeout}
	err := read(path, func(r *reader, nodes []*kdl.Node) {
		if top := r.topNode(nodes, "sidecar"); top != nil {
			r.readSidecar(top, s)
		}
	})
	return s, err
}

// readSidecar reads the top node of a sidecar's configuration.
func (r *reader) readSidecar(top *kdl.Node, s *Sidecar) {
	s.Name = r.onlyString(top)
	r.readChildren(top, nodeReaders{
		"zone":        func(n *kdl.Node) { s.Zone = r.onlyString(n) },
		"listen":      func(n *kdl.Node) { r.onlyAddress(n, &s.Listen) },
		"variant":     func(n *kdl.Node) { r.readVariant(n, s) },
		"keep":        func(n *kdl.Node) { s.StorePath = r.onlyPath(n) },
		"connections": func(n *kdl.Node) { s.MaxConnections = int(r.onlyNumber(n, 1, maxConnections)) },
		"connect-ms":  func(n *kdl.Node) { s.ConnectTimeout = r.onlyMilliseconds(n, 1, maxMilliseconds) },
		"keys":        func(n *kdl.Node) { r.readCertificateFiles(n, &s.Certificates) },
	}, nodeReaders{
		"conductor": func(n *kdl.Node) { r.readControllerAddress(n, s) },
		"mutating":  func(n *kdl.Node) { s.MutatingRoutes[r.onlyString(n)] = true },
	})
	r.checkRequired(top,
		requirement{"zone", s.Zone == ""},
		requirement{"listen", s.Listen == ""},
		requirement{"conductor", len(s.Controllers) == 0},
	)
}

// readVariant reads which variant of xDS a sidecar speaks.
func (r *reader) readVariant(n *kdl.Node, s *Sidecar) {
	switch v := r.onlyString(n); v {
	case "delta", "state":
		s.Delta = v == "delta"
	default:
		r.faults.Add(n.Line, "the variant is \"delta\" or \"state\"")
	}
}

// readControllerAddress reads the address of a conductor that a sidecar may join.
func (r *reader) readControllerAddress(n *kdl.Node, s *Sidecar) {
	r.checkShape(n, 1)
	if len(n.Arguments) == 1 {
		s.Controllers = append(s.Controllers, r.addressValue(n, n.Arguments[0]))
	}
}
