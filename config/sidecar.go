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

// Sidecar is the configuration of one sidecar.
type Sidecar struct {
	Name, Zone, Listen string   // Listen: address for applications
	Controllers        []string // addresses, in the order in which they are tried
	Delta              bool     // delta xDS, else state of the world
	StorePath          string   // of the file with the accepted versions, empty: none
	MutatingRoutes     map[string]bool
	MaxConnections     int           // of applications, at once
	ConnectTimeout     time.Duration // to a node
	Certificates       certs.Files
}

// ReadSidecar reads a sidecar's configuration. The error is the file's, or has the faults with their lines.
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

// readVariant reads the variant of xDS that a sidecar uses.
func (r *reader) readVariant(n *kdl.Node, s *Sidecar) {
	switch v := r.onlyString(n); v {
	case "delta", "state":
		s.Delta = v == "delta"
	default:
		r.faults.Add(n.Line, "the variant is \"delta\" or \"state\"")
	}
}

// readControllerAddress reads the address of a controller that a sidecar may connect to.
func (r *reader) readControllerAddress(n *kdl.Node, s *Sidecar) {
	r.checkShape(n, 1)
	if len(n.Arguments) == 1 {
		s.Controllers = append(s.Controllers, r.addressValue(n, n.Arguments[0]))
	}
}
