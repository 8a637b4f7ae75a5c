package xds

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// ResourceType is a type of xDS resource. The order of the values is that in which they are sent: what is referred to comes
// before what refers to it.
type ResourceType uint8

// The resource types.
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

// TypeURL is the type's name on the wire.
func (t ResourceType) TypeURL() string { return typeURLs[t] }

// String is the type's name for operators.
func (t ResourceType) String() string {
	return [...]string{"cluster", "endpoints", "listener", "routes", "none"}[t]
}

// ParseTypeURL returns the type with a name on the wire; known is false if there is none.
func ParseTypeURL(url string) (t ResourceType, known bool) {
	index := slices.Index(typeURLs[:], url)
	return ResourceType(max(index, 0)), index >= 0
}

// isFullyListed tells whether a state-of-the-world response lists all resources of the type, so that one that is not listed
// is removed. Sidecars drop resources of the other types by themselves once nothing refers to them.
func (t ResourceType) isFullyListed() bool { return t == Clusters || t == Listeners }

// Resource is a versioned xDS resource. The version is the hash of the content: the same version means the same content on
// every controller and after every restart, and other content never has it.
type Resource struct {
	Type     ResourceType
	Name     string
	Version  string
	Body     *anypb.Any // nil: only the version is known
	Clusters []string   // that routes refer to
}

// versionBytes of a hash make a version: 80 bits, so that versions of other content differ.
const versionBytes = 10

// NewResource returns the resource of a message. The error is the encoder's, with the type and name.
func NewResource(t ResourceType, name string, message proto.Message, clusters ...string) (*Resource, error) {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", t, name, err)
	}
	return &Resource{
		Type:     t,
		Name:     name,
		Version:  VersionOf(t, name, body),
		Clusters: clusters,
		Body:     &anypb.Any{TypeUrl: t.TypeURL(), Value: body},
	}, nil
}

// VersionOf returns the version of a content.
func VersionOf(t ResourceType, name string, body []byte) string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%d\x00%s\x00", t, name)
	sum.Write(body)
	return versionText(sum)
}

func versionText(sum hash.Hash) string { return hex.EncodeToString(sum.Sum(nil)[:versionBytes]) }

// ResourceSet has resources of one type by name.
type ResourceSet map[string]*Resource

// Version returns the version of the set, a hash of its names and versions.
func (s ResourceSet) Version() string {
	sum := sha256.New()
	for _, name := range sortedKeys(s) {
		fmt.Fprint(sum, name+"\x00"+s[name].Version+"\x00")
	}
	return versionText(sum)
}

// Equal tells whether two sets have the same versions of the same names.
func (s ResourceSet) Equal(other ResourceSet) bool {
	if len(s) != len(other) {
		return false
	}
	for name, resource := range s {
		counterpart := other[name]
		if counterpart == nil || counterpart.Version != resource.Version {
			return false
		}
	}
	return true
}

// has tells whether the set has a resource at its version.
func (s ResourceSet) has(resource *Resource) bool {
	own := s[resource.Name]
	return own != nil && own.Version == resource.Version
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
