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

// ResourceType is a type of xDS resource. Types are sent in the order of their values, so that a resource is sent
// before those that reference it.
type ResourceType uint8

// The resource types.
const (
	Clusters ResourceType = iota
	Endpoints
	Listeners
	Routes
	NumResourceTypes // number of resource types
)

const typePrefix = "type.googleapis.com/envoy.config."

var typeURLs = [NumResourceTypes]string{
	typePrefix + "cluster.v3.Cluster",
	typePrefix + "endpoint.v3.ClusterLoadAssignment",
	typePrefix + "listener.v3.Listener",
	typePrefix + "route.v3.RouteConfiguration",
}

// TypeURL returns the type URL.
func (t ResourceType) TypeURL() string { return typeURLs[t] }

// String returns the type's name as shown to operators.
func (t ResourceType) String() string {
	return [...]string{"cluster", "endpoints", "listener", "routes", "none"}[t]
}

// ParseTypeURL returns the resource type with the given type URL; known is false if there is none.
func ParseTypeURL(url string) (t ResourceType, known bool) {
	index := slices.Index(typeURLs[:], url)
	return ResourceType(max(index, 0)), index >= 0
}

// isFullyListed reports whether a state-of-the-world response must list all resources of the type, so that the absence
// of a resource removes it. Sidecars drop a resource of the other types on their own when no resource references it any
// more.
func (t ResourceType) isFullyListed() bool { return t == Clusters || t == Listeners }

// Resource is a versioned xDS resource. The version is the hash of the content: equal versions mean equal content on
// every controller and after every restart, and different content has different versions.
type Resource struct {
	Type     ResourceType
	Name     string
	Version  string
	Body     *anypb.Any // nil if only the version is known
	Clusters []string   // referenced by a route configuration
}

// versionBytes is the length of the hash prefix that forms a version: 80 bits, so that collisions are negligible.
const versionBytes = 10

// NewResource returns a resource with the content of a message. The error is that of the encoder, with the type and
// name.
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

// VersionOf returns the version of a resource with the given type, name and encoded content.
func VersionOf(t ResourceType, name string, body []byte) string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%d\x00%s\x00", t, name)
	sum.Write(body)
	return encodeVersion(sum)
}

func encodeVersion(sum hash.Hash) string { return hex.EncodeToString(sum.Sum(nil)[:versionBytes]) }

// ResourceSet holds resources of one type by name.
type ResourceSet map[string]*Resource

// Version returns the version of the set: the hash of the names and versions of its resources.
func (s ResourceSet) Version() string {
	sum := sha256.New()
	for _, name := range sortedKeys(s) {
		fmt.Fprint(sum, name+"\x00"+s[name].Version+"\x00")
	}
	return encodeVersion(sum)
}

// Equal reports whether two sets have the same names with the same versions.
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

// has reports whether the set contains a resource with the same name and version.
func (s ResourceSet) has(resource *Resource) bool {
	current := s[resource.Name]
	return current != nil && current.Version == resource.Version
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
