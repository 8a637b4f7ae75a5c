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

// ResourceType is a type of resource. The order is that in which a new thing is made before an old one is broken.
type ResourceType uint8

// The kinds.
const (
	Clusters ResourceType = iota
	Endpoints
	Listeners
	Routes
	NumResourceTypes // how many there are
)

const typePrefix = "type.googleapis.com/envoy.config."

var typeURLs = [NumResourceTypes]string{
	typePrefix + "cluster.v3.Cluster",
	typePrefix + "endpoint.v3.ClusterLoadAssignment",
	typePrefix + "listener.v3.Listener",
	typePrefix + "route.v3.RouteConfiguration",
}

// TypeURL is the kind's name on the wire.
func (k ResourceType) TypeURL() string { return typeURLs[k] }

// String names the kind as operators know it.
func (k ResourceType) String() string {
	return [...]string{"cluster", "endpoints", "listener", "routes", "none"}[k]
}

// ParseTypeURL finds a kind by its name on the wire.
func ParseTypeURL(url string) (ResourceType, bool) {
	at := slices.Index(typeURLs[:], url)
	return ResourceType(max(at, 0)), at >= 0
}

// Resource is one thing that sidecars hold. Its version is that of its content: the same version means the same
// content on every conductor and after every restart, and other content never has it.
type Resource struct {
	Type     ResourceType
	Name     string
	Version  string
	Body     *anypb.Any
	Clusters []string // clusters that routes send to
}

const versionBytes = 10 // of a hash: 80 bits, so that versions of other content differ

// NewResource makes a resource of a message.
func NewResource(kind ResourceType, name string, m proto.Message, uses ...string) (*Resource, error) {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", kind, name, err)
	}
	return &Resource{Type: kind, Name: name, Version: VersionOf(kind, name, body), Clusters: uses,
		Body: &anypb.Any{TypeUrl: kind.TypeURL(), Value: body}}, nil
}

// VersionOf is the version of a content.
func VersionOf(kind ResourceType, name string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d\x00%s\x00", kind, name)
	h.Write(body)
	return digest(h)
}

func digest(h interface{ Sum([]byte) []byte }) string {
	return hex.EncodeToString(h.Sum(nil)[:versionBytes])
}

// ResourceSet is resources of one kind by name.
type ResourceSet map[string]*Resource

// Version is that of a set as a whole.
func (s ResourceSet) Version() string {
	h := sha256.New()
	for _, name := range sortedKeys(s) {
		io.WriteString(h, name+"\x00"+s[name].Version+"\x00")
	}
	return digest(h)
}

// Equal tells whether two sets hold the same versions of the same names.
func (s ResourceSet) Equal(other ResourceSet) bool {
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

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Snapshot is all that the sidecars of one table are to hold. It is never changed once it is made.
type Snapshot struct {
	Sets     [NumResourceTypes]ResourceSet
	sequence [NumResourceTypes]uint64 // counts the changes of each kind, on this conductor only
}

// next is the snapshot that follows one: the same if nothing changed.
func (s *Snapshot) next(sets [NumResourceTypes]ResourceSet) *Snapshot {
	after, changed := &Snapshot{Sets: sets}, s == nil
	for k := range sets {
		if s != nil {
			after.sequence[k] = s.sequence[k]
		}
		if s == nil || !sets[k].Equal(s.Sets[k]) {
			after.sequence[k]++
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
