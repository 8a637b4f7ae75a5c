// Package xds holds machines that speak the aggregated discovery service, in its state of the world and its delta
// variant, without any I/O: they are fed messages and times and give messages. A Compiler turns what the module
// orders into resources, a Stream knows what one sidecar asked for, was sent, accepted and refused, and a Server
// holds the streams and the sidecars behind them.
package xds

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"slices"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// Kind is a type of resource. The order is that in which a new thing is made before an old one is broken.
type Kind uint8

// The kinds.
const (
	Clusters Kind = iota
	Endpoints
	Listeners
	Routes
	Kinds // how many there are
)

const typePrefix = "type.googleapis.com/envoy.config."

var urls = [Kinds]string{
	typePrefix + "cluster.v3.Cluster",
	typePrefix + "endpoint.v3.ClusterLoadAssignment",
	typePrefix + "listener.v3.Listener",
	typePrefix + "route.v3.RouteConfiguration",
}

// URL is the kind's name on the wire.
func (k Kind) URL() string { return urls[k] }

// String names the kind as operators know it.
func (k Kind) String() string {
	return [...]string{"cluster", "endpoints", "listener", "routes", "none"}[k]
}

// KindOf finds a kind by its name on the wire.
func KindOf(url string) (Kind, bool) {
	at := slices.Index(urls[:], url)
	return Kind(max(at, 0)), at >= 0
}

// Resource is one thing that sidecars hold. Its version is that of its content: the same version means the same
// content on every conductor and after every restart, and other content never has it.
type Resource struct {
	Kind    Kind
	Name    string
	Version string
	Body    *anypb.Any
	Uses    []string // clusters that routes send to
}

const versionBytes = 10 // of a hash: 80 bits, so that versions of other content differ

// NewResource makes a resource of a message.
func NewResource(kind Kind, name string, m proto.Message, uses ...string) (*Resource, error) {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", kind, name, err)
	}
	return &Resource{Kind: kind, Name: name, Version: VersionOf(kind, name, body), Uses: uses,
		Body: &anypb.Any{TypeUrl: kind.URL(), Value: body}}, nil
}

// VersionOf is the version of a content.
func VersionOf(kind Kind, name string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d\x00%s\x00", kind, name)
	h.Write(body)
	return digest(h)
}

func digest(h interface{ Sum([]byte) []byte }) string {
	return hex.EncodeToString(h.Sum(nil)[:versionBytes])
}

// Set is resources of one kind by name.
type Set map[string]*Resource

// Version is that of a set as a whole.
func (s Set) Version() string {
	h := sha256.New()
	for _, name := range sortedNames(s) {
		io.WriteString(h, name+"\x00"+s[name].Version+"\x00")
	}
	return digest(h)
}

// Equal tells whether two sets hold the same versions of the same names.
func (s Set) Equal(other Set) bool {
	if len(s) != len(other) {
		return false
	}
	for name, r := range s {
		if o := other[name]; o == nil || o.Version != r.Version {
			return false
		}
	}
	return true
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Snapshot is all that the sidecars of one table are to hold. It is never changed once it is made.
type Snapshot struct {
	Sets [Kinds]Set
	seq  [Kinds]uint64 // counts the changes of each kind, on this conductor only
}

// next is the snapshot that follows one: the same if nothing changed.
func (s *Snapshot) next(sets [Kinds]Set) *Snapshot {
	after, changed := &Snapshot{Sets: sets}, s == nil
	for k := range sets {
		if s != nil {
			after.seq[k] = s.seq[k]
		}
		if s == nil || !sets[k].Equal(s.Sets[k]) {
			after.seq[k]++
			changed = true
		}
	}
	if !changed {
		return s
	}
	return after
}

// Address is where a node takes calls.
type Address struct {
	Host string
	Port uint32
}

// Message is the address on the wire.
func (a Address) Message() *corev3.Address {
	return &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
		Address: a.Host, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: a.Port}}}}
}

// AddressOf reads an address of the wire.
func AddressOf(m *corev3.Address) Address {
	return Address{m.GetSocketAddress().GetAddress(), m.GetSocketAddress().GetPortValue()}
}
