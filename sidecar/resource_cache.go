package sidecar

import (
	"maps"
	"slices"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/types/known/anypb"

	"harehook.dev/harehook/xds"
)

const userAgent = "harehook-sidecar"

// CachedResource is an accepted resource in the form in which the controller sent it.
type CachedResource struct {
	Version string
	Body    *anypb.Any
}

// RejectedResource describes a rejected resource and the reason for its rejection.
type RejectedResource struct {
	Type         xds.ResourceType
	Name, Reason string
	Version      string
}

// ResourceCache accepts or rejects the resources that a controller sends. It keeps the accepted ones when the stream or
// the controller changes. It is not safe for concurrent use.
type ResourceCache struct {
	ID, Zone string
	Delta    bool // whether the delta variant of xDS is used instead of state of the world
	// MutatingRoutes are the names of routes that are mutating by the sidecar's own configuration, even if a controller
	// sends them as not mutating.
	MutatingRoutes map[string]bool
	// OnReject, if not nil, is called for each rejected resource.
	OnReject func(RejectedResource)
	// ExtraCheck, if not nil, returns an error if the installation cannot use a resource that is valid otherwise.
	ExtraCheck func(t xds.ResourceType, name string, body *anypb.Any) error

	accepted    [xds.NumResourceTypes]map[string]CachedResource
	setVersions [xds.NumResourceTypes]string // state of the world: the version of the last accepted response
	table       *RoutingTable                // built from accepted; nil: must be rebuilt

	// State of the current stream.
	subscribed [xds.NumResourceTypes][]string // names
	nonces     [xds.NumResourceTypes]string   // of the latest responses
}

// Clear removes all accepted resources.
func (c *ResourceCache) Clear() {
	c.accepted = [xds.NumResourceTypes]map[string]CachedResource{}
	c.setVersions = [xds.NumResourceTypes]string{}
	c.table = nil
}

// RoutingRevision returns the newest routing revision of the accepted routes, or 0 if they have none.
func (c *ResourceCache) RoutingRevision() (newest uint64) {
	for _, entry := range c.Table().Routes {
		newest = max(newest, entry.RoutingRevision)
	}
	return newest
}

// versions returns the accepted versions of a type by name.
func (c *ResourceCache) versions(t xds.ResourceType) map[string]string {
	versions := map[string]string{}
	for name, resource := range c.accepted[t] {
		versions[name] = resource.Version
	}
	return versions
}

// merge returns the accepted resources of a type, with received ones added or replaced.
func (c *ResourceCache) merge(t xds.ResourceType, received map[string]CachedResource) map[string]CachedResource {
	merged := maps.Clone(c.accepted[t])
	if merged == nil {
		merged = map[string]CachedResource{}
	}
	maps.Copy(merged, received)
	return merged
}

// wantedNames returns the names to subscribe to: for clusters none, which subscribes to all, for listeners the only
// one, and for endpoints and routes those that accepted clusters and listeners refer to.
func (c *ResourceCache) wantedNames(t xds.ResourceType) (names []string) {
	switch t {
	case xds.Endpoints:
		names = slices.Sorted(maps.Keys(c.accepted[xds.Clusters]))
	case xds.Listeners:
		names = []string{xds.ListenerName}
	case xds.Routes:
		for _, listener := range c.accepted[xds.Listeners] {
			if name, err := parseRouteConfigName(listener.Body); err == nil {
				names = append(names, name)
			}
		}
	}
	return names
}

// canSubscribe reports whether a subscription to a type is possible. Endpoints and routes need at least one name; until
// one is known, no request for them is sent.
func (c *ResourceCache) canSubscribe(t xds.ResourceType) bool {
	return t == xds.Clusters || t == xds.Listeners || len(c.wantedNames(t)) > 0
}

// resetStream clears the state of the previous stream.
func (c *ResourceCache) resetStream() {
	c.subscribed = [xds.NumResourceTypes][]string{}
	c.nonces = [xds.NumResourceTypes]string{}
}

func (c *ResourceCache) node() *corev3.Node {
	return &corev3.Node{Id: c.ID, Locality: &corev3.Locality{Zone: c.Zone}, UserAgentName: userAgent}
}

// accept replaces the accepted resources of a type. Clusters and endpoints that accepted routes refer to are kept even
// if next does not contain them, because the routes that replace the accepted ones have not arrived yet or were
// rejected.
func (c *ResourceCache) accept(t xds.ResourceType, next map[string]CachedResource) {
	if t == xds.Clusters || t == xds.Endpoints {
		for name, resource := range c.accepted[t] {
			if _, listed := next[name]; !listed && c.routesUse(name) {
				next[name] = resource
			}
		}
	}
	c.accepted[t] = next
	c.table = nil
	if t == xds.Clusters {
		maps.DeleteFunc(c.accepted[xds.Endpoints], func(name string, _ CachedResource) bool {
			_, hasCluster := next[name]
			return !hasCluster
		})
	}
}

// routesUse reports whether accepted routes refer to a cluster.
func (c *ResourceCache) routesUse(cluster string) bool {
	return slices.ContainsFunc(c.Table().Routes, func(entry RouteEntry) bool { return entry.Cluster == cluster })
}

// nackDetail returns the error detail of a NACK.
func nackDetail(rejection error) *status.Status {
	return &status.Status{Code: int32(codes.InvalidArgument), Message: rejection.Error()}
}

// BeginStateOfTheWorld starts a stream of the state-of-the-world variant and returns its first requests, each with the
// accepted version of its type.
func (c *ResourceCache) BeginStateOfTheWorld() (requests []*discoveryv3.DiscoveryRequest) {
	c.resetStream()
	for t := range xds.NumResourceTypes {
		if !c.canSubscribe(t) {
			continue
		}
		c.subscribed[t] = c.wantedNames(t)
		requests = append(requests, &discoveryv3.DiscoveryRequest{
			Node:          c.node(),
			TypeUrl:       t.TypeURL(),
			VersionInfo:   c.setVersions[t],
			ResourceNames: c.subscribed[t],
		})
	}
	return requests
}

// BeginDelta starts a stream of the delta variant and returns its first requests, each with the accepted versions of
// its type.
func (c *ResourceCache) BeginDelta() (requests []*discoveryv3.DeltaDiscoveryRequest) {
	c.resetStream()
	for t := range xds.NumResourceTypes {
		if !c.canSubscribe(t) {
			continue
		}
		c.subscribed[t] = c.wantedNames(t)
		requests = append(requests, &discoveryv3.DeltaDiscoveryRequest{
			Node:                    c.node(),
			TypeUrl:                 t.TypeURL(),
			ResourceNamesSubscribe:  c.subscribed[t],
			InitialResourceVersions: c.versions(t),
		})
	}
	return requests
}
