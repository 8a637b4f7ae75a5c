package config

import (
	"time"

	"harehook.dev/harehook/internal/certs"
	"harehook.dev/harehook/internal/kdl"
)

const (
	defaultMaxConnections = 256
	maxConnections        = 65000
)

// Sidecar holds the configuration of a sidecar.
type Sidecar struct {
	Name, Zone, Listen string   // Listen is the address for applications
	Controllers        []string // addresses, in the order in which the sidecar tries them
	Delta              bool     // delta xDS; otherwise state of the world
	StorePath          string   // of the file that stores the accepted versions; empty if there is none
	MutatingRoutes     map[string]bool
	MaxConnections     int           // maximum number of simultaneous connections from applications
	ConnectTimeout     time.Duration // for connections to nodes
	Certificates       certs.Files
}

// ReadSidecar reads the configuration of a sidecar. The error is that of reading the file, or wraps a kdl.Faults.
func ReadSidecar(path string) (*Sidecar, error) {
	s := &Sidecar{
		Delta:          true,
		MutatingRoutes: map[string]bool{},
		MaxConnections: defaultMaxConnections,
		ConnectTimeout: defaultConnectTimeout,
	}
	err := read(path, func(r *reader, nodes []*kdl.Node) {
		if top := r.topNode(nodes, sidecarNode); top != nil {
			r.readSidecar(top, s)
		}
	})
	return s, err
}

// readSidecar reads the top node of the configuration of a sidecar.
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

// readVariant reads the variant of xDS that a sidecar uses.
func (r *reader) readVariant(n *kdl.Node, s *Sidecar) {
	switch v := r.onlyString(n); v {
	case "delta", "state":
		s.Delta = v == "delta"
	default:
		r.faults.Add(n.Line, "variant must be \"delta\" or \"state\", got %q", v)
	}
}

// readControllerAddress reads the address of a controller to which a sidecar can connect.
func (r *reader) readControllerAddress(n *kdl.Node, s *Sidecar) {
	r.checkShape(n, 1)
	if len(n.Arguments) == 1 {
		s.Controllers = append(s.Controllers, r.addressValue(n, n.Arguments[0]))
	}
}
