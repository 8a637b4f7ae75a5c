// Package sidecar is the consuming side: a Holder accepts or refuses versions and tells what it holds, a Table routes
// calls by accepted versions only, a Store keeps them over a restart, a Plane carries HTTP/1.1 calls and a Link keeps
// a stream to a conductor. Holder and Table do no I/O.
package sidecar

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"harehook.dev/harehook/xds"
)

const (
	maxEndpointsPerCluster = 4096                                // of one cluster
	maxEntries             = xds.EntriesPerRoute * xds.MaxRoutes // of one table
	maxRouteRetries        = 3
)

// CachedResource is a resource that was accepted, as it was sent.
type CachedResource struct {
	Version string
	Body    *anypb.Any
}

// RejectedResource is a resource that was not.
type RejectedResource struct {
	Type         xds.ResourceType
	Name, Reason string
	Version      string
}

// ResourceCache accepts and refuses what a conductor sends. It keeps what it accepted over streams and conductors.
type ResourceCache struct {
	ID, Zone       string
	Delta          bool
	MutatingRoutes map[string]bool        // routes that this sidecar itself knows for mutating, whatever it is told
	OnReject       func(RejectedResource) // nil: no one is told
	// ExtraCheck is a further check of this installation's own; nil: none.
	ExtraCheck func(kind xds.ResourceType, name string, body *anypb.Any) error

	accepted    [xds.NumResourceTypes]map[string]CachedResource
	setVersions [xds.NumResourceTypes]string // state of the world: the version of the whole
	subscribed  [xds.NumResourceTypes][]string
	nonces      [xds.NumResourceTypes]string
	table       *RoutingTable
}

// Clear drops all that is held.
func (h *ResourceCache) Clear() {
	h.accepted, h.setVersions, h.table = [xds.NumResourceTypes]map[string]CachedResource{}, [xds.NumResourceTypes]string{}, nil
}

// versions are those held of a kind, by name.
func (h *ResourceCache) versions(kind xds.ResourceType) map[string]string {
	versions := map[string]string{}
	for name, held := range h.accepted[kind] {
		versions[name] = held.Version
	}
	return versions
}

// merge is what is held of a kind and what came, where that is not told whole.
func (h *ResourceCache) merge(kind xds.ResourceType, got map[string]CachedResource) map[string]CachedResource {
	next := maps.Clone(h.accepted[kind])
	if next == nil {
		next = map[string]CachedResource{}
	}
	maps.Copy(next, got)
	return next
}

// wantedNames are the names to ask for: all clusters, one listener, and what these lead to.
func (h *ResourceCache) wantedNames(kind xds.ResourceType) (names []string) {
	switch kind {
	case xds.Endpoints:
		names = slices.Sorted(maps.Keys(h.accepted[xds.Clusters]))
	case xds.Listeners:
		names = []string{xds.ListenerName}
	case xds.Routes:
		for _, held := range h.accepted[xds.Listeners] {
			if name, err := parseRouteConfigName(held.Body); err == nil {
				names = append(names, name)
			}
		}
	}
	return names
}

func (h *ResourceCache) node() *corev3.Node {
	return &corev3.Node{Id: h.ID, Locality: &corev3.Locality{Zone: h.Zone}, UserAgentName: "harehook-sidecar"}
}

// canSubscribe tells whether a kind can be asked for: without names endpoints and routes would mean none, and a later request
// names them.
func (h *ResourceCache) canSubscribe(kind xds.ResourceType) bool {
	return kind == xds.Clusters || kind == xds.Listeners || len(h.wantedNames(kind)) > 0
}

// BeginStateOfTheWorld gives the first requests of a stream of the state of the world variant: each states the version held.
func (h *ResourceCache) BeginStateOfTheWorld() (out []*discoveryv3.DiscoveryRequest) {
	h.resetStream()
	for kind := range xds.NumResourceTypes {
		if !h.canSubscribe(kind) {
			continue
		}
		h.subscribed[kind] = h.wantedNames(kind)
		out = append(out, &discoveryv3.DiscoveryRequest{Node: h.node(), TypeUrl: kind.TypeURL(), VersionInfo: h.setVersions[kind],
			ResourceNames: h.subscribed[kind]})
	}
	return out
}

// BeginDelta gives the first requests of a stream of the delta variant: each states the versions held.
func (h *ResourceCache) BeginDelta() (out []*discoveryv3.DeltaDiscoveryRequest) {
	h.resetStream()
	for kind := range xds.NumResourceTypes {
		if !h.canSubscribe(kind) {
			continue
		}
		h.subscribed[kind] = h.wantedNames(kind)
		out = append(out, &discoveryv3.DeltaDiscoveryRequest{Node: h.node(), TypeUrl: kind.TypeURL(),
			ResourceNamesSubscribe: h.subscribed[kind], InitialResourceVersions: h.versions(kind)})
	}
	return out
}

func (h *ResourceCache) resetStream() {
	h.subscribed, h.nonces = [xds.NumResourceTypes][]string{}, [xds.NumResourceTypes]string{}
}

// HandleStateOfTheWorld takes a response and gives the answer, then the requests that what was accepted leads to.
func (h *ResourceCache) HandleStateOfTheWorld(r *discoveryv3.DiscoveryResponse) (out []*discoveryv3.DiscoveryRequest, err error) {
	kind, known := xds.ParseTypeURL(r.GetTypeUrl())
	if !known {
		return nil, fmt.Errorf("a response of type %q, which was not asked for", r.GetTypeUrl())
	}
	answer := &discoveryv3.DiscoveryRequest{TypeUrl: kind.TypeURL(), ResponseNonce: r.GetNonce()}
	got, fault := h.parseResources(kind, r.GetResources(), nil)
	if fault == nil {
		next := got
		if kind == xds.Endpoints || kind == xds.Routes {
			next = h.merge(kind, got)
		}
		h.accept(kind, next)
		h.setVersions[kind] = r.GetVersionInfo()
	} else {
		answer.ErrorDetail = &status.Status{Code: int32(codes.InvalidArgument), Message: fault.Error()}
	}
	h.nonces[kind] = r.GetNonce()
	answer.VersionInfo, answer.ResourceNames = h.setVersions[kind], h.wantedNames(kind)
	h.subscribed[kind] = answer.ResourceNames
	out = append(out, answer)
	for other := range xds.NumResourceTypes {
		if other != kind && h.canSubscribe(other) && !slices.Equal(h.wantedNames(other), h.subscribed[other]) {
			h.subscribed[other] = h.wantedNames(other)
			out = append(out, &discoveryv3.DiscoveryRequest{TypeUrl: other.TypeURL(), VersionInfo: h.setVersions[other],
				ResponseNonce: h.nonces[other], ResourceNames: h.subscribed[other]})
		}
	}
	return out, nil
}

// HandleDelta is State for the delta variant.
func (h *ResourceCache) HandleDelta(r *discoveryv3.DeltaDiscoveryResponse) (out []*discoveryv3.DeltaDiscoveryRequest, err error) {
	kind, known := xds.ParseTypeURL(r.GetTypeUrl())
	if !known {
		return nil, fmt.Errorf("a response of type %q, which was not asked for", r.GetTypeUrl())
	}
	answer := &discoveryv3.DeltaDiscoveryRequest{TypeUrl: kind.TypeURL(), ResponseNonce: r.GetNonce()}
	bodies, versions := make([]*anypb.Any, 0, len(r.GetResources())), map[string]string{}
	for _, one := range r.GetResources() {
		bodies = append(bodies, one.GetResource())
		versions[one.GetName()] = one.GetVersion()
	}
	got, fault := h.parseResources(kind, bodies, versions)
	if fault == nil {
		next := h.merge(kind, got)
		for _, name := range r.GetRemovedResources() {
			delete(next, name)
		}
		h.accept(kind, next)
	} else {
		answer.ErrorDetail = &status.Status{Code: int32(codes.InvalidArgument), Message: fault.Error()}
	}
	out = append(out, answer)
	for other := range xds.NumResourceTypes {
		wants := h.wantedNames(other)
		if !h.canSubscribe(other) && h.subscribed[other] == nil || slices.Equal(wants, h.subscribed[other]) {
			continue
		}
		request := &discoveryv3.DeltaDiscoveryRequest{TypeUrl: other.TypeURL()}
		first := h.subscribed[other] == nil
		for _, name := range wants {
			if !slices.Contains(h.subscribed[other], name) {
				request.ResourceNamesSubscribe = append(request.ResourceNamesSubscribe, name)
			}
		}
		for _, name := range h.subscribed[other] {
			if !slices.Contains(wants, name) {
				request.ResourceNamesUnsubscribe = append(request.ResourceNamesUnsubscribe, name)
			}
		}
		if first {
			request.InitialResourceVersions = h.versions(other)
		}
		h.subscribed[other] = wants
		out = append(out, request)
	}
	return out, nil
}

// accept takes a kind's resources over. What accepted routes still send to stays, also if it is no longer told: the
// routes that replace them have not come or were refused.
func (h *ResourceCache) accept(kind xds.ResourceType, next map[string]CachedResource) {
	for name, held := range h.accepted[kind] {
		if _, stays := next[name]; !stays && (kind == xds.Clusters || kind == xds.Endpoints) && h.routesUse(name) {
			next[name] = held
		}
	}
	h.accepted[kind], h.table = next, nil
	if kind == xds.Clusters {
		for name := range h.accepted[xds.Endpoints] {
			if _, stays := next[name]; !stays {
				delete(h.accepted[xds.Endpoints], name)
			}
		}
	}
}

func (h *ResourceCache) routesUse(cluster string) bool {
	return slices.ContainsFunc(h.Table().Routes, func(r RouteEntry) bool { return r.Cluster == cluster })
}

// parseResources reads resources. One fault refuses the response; the reason names the resource.
func (h *ResourceCache) parseResources(kind xds.ResourceType, bodies []*anypb.Any, versions map[string]string) (map[string]CachedResource, error) {
	got := map[string]CachedResource{}
	var faults []error
	for _, body := range bodies {
		name, fault := "", error(nil)
		if body.GetTypeUrl() != kind.TypeURL() {
			fault = fmt.Errorf("a resource of type %q among those of %s", body.GetTypeUrl(), kind)
		} else if name, fault = h.validateResource(kind, body); fault == nil {
			if _, twice := got[name]; twice {
				fault = errors.New("is there twice")
			} else if h.ExtraCheck != nil {
				fault = h.ExtraCheck(kind, name, body)
			}
		}
		version := versions[name]
		if versions == nil {
			version = xds.VersionOf(kind, name, body.GetValue()) // the wire tells only that of the whole
		}
		if fault != nil {
			faults = append(faults, fmt.Errorf("%s %q: %w", kind, name, fault))
			if h.OnReject != nil {
				h.OnReject(RejectedResource{kind, name, fault.Error(), version})
			}
			continue
		}
		got[name] = CachedResource{version, body}
	}
	return got, errors.Join(faults...)
}

func unmarshal[M proto.Message](body *anypb.Any, into M) (M, error) {
	if err := proto.Unmarshal(body.GetValue(), into); err != nil {
		return into, errors.New("can't be read")
	}
	return into, nil
}

// validateResource reads one resource and tells its name.
func (h *ResourceCache) validateResource(kind xds.ResourceType, body *anypb.Any) (string, error) {
	switch kind {
	case xds.Clusters:
		m, err := unmarshal(body, &clusterv3.Cluster{})
		if err == nil && m.GetType() != clusterv3.Cluster_EDS {
			err = fmt.Errorf("its type is %s, only EDS is known here", m.GetType())
		}
		return m.GetName(), requireName(m.GetName(), err)
	case xds.Endpoints:
		m, err := unmarshal(body, &endpointv3.ClusterLoadAssignment{})
		if err == nil {
			_, err = parseEndpoints(m)
		}
		return m.GetClusterName(), requireName(m.GetClusterName(), err)
	case xds.Listeners:
		m, err := unmarshal(body, &listenerv3.Listener{})
		if err == nil {
			_, err = parseRouteConfigName(body)
		}
		return m.GetName(), requireName(m.GetName(), err)
	}
	m, err := unmarshal(body, &routev3.RouteConfiguration{})
	if err == nil {
		var entries []RouteEntry
		entries, err = h.parseRoutes(m)
		agreed := h.AgreedVersion()
		for _, e := range entries {
			if _, held := h.accepted[xds.Clusters][e.Cluster]; err == nil && e.Cluster != "" && !held {
				err = fmt.Errorf("route %q sends to cluster %q, which is not held", e.Name, e.Cluster)
			}
			// A conductor that lags, or was cut off, must not take a sidecar back to what was in force before.
			if err == nil && e.AgreedVersion < agreed {
				err = fmt.Errorf("it is of the agreed version %d, version %d is held", e.AgreedVersion, agreed)
			}
		}
	}
	return m.GetName(), requireName(m.GetName(), err)
}

// AgreedVersion is the newest version of the agreed configuration that is held, 0 if none was told.
func (h *ResourceCache) AgreedVersion() (version uint64) {
	for _, e := range h.Table().Routes {
		version = max(version, e.AgreedVersion)
	}
	return version
}

func requireName(name string, err error) error {
	if err == nil && name == "" {
		return errors.New("it has no name")
	}
	return err
}

// parseRouteConfigName is the name of the routes that a listener asks for.
func parseRouteConfigName(body *anypb.Any) (string, error) {
	listener, err := unmarshal(body, &listenerv3.Listener{})
	if err != nil {
		return "", err
	}
	var manager hcmv3.HttpConnectionManager
	if err := listener.GetApiListener().GetApiListener().UnmarshalTo(&manager); err != nil {
		return "", errors.New("it has no connection manager as its API listener")
	}
	name := manager.GetRds().GetRouteConfigName()
	if name == "" || manager.GetRds().GetConfigSource().GetAds() == nil {
		return "", errors.New("its routes don't come by this stream")
	}
	return name, nil
}

// parseEndpoints reads a cluster's lines.
func parseEndpoints(m *endpointv3.ClusterLoadAssignment) (lines []WeightedNode, err error) {
	seen := map[xds.Address]bool{}
	for _, locality := range m.GetEndpoints() {
		for _, e := range locality.GetLbEndpoints() {
			address := xds.AddressOf(e.GetEndpoint().GetAddress())
			weight := e.GetLoadBalancingWeight()
			switch {
			case address.Host == "" || address.Port == 0 || address.Port > 65535:
				return nil, fmt.Errorf("endpoint %q has no address of host and port", e.GetEndpoint().GetHostname())
			case seen[address]:
				return nil, fmt.Errorf("endpoint %s:%d is there twice", address.Host, address.Port)
			case weight != nil && weight.GetValue() == 0:
				return nil, fmt.Errorf("endpoint %s:%d has the weight 0", address.Host, address.Port)
			case len(lines) >= maxEndpointsPerCluster:
				return nil, fmt.Errorf("over %d endpoints", maxEndpointsPerCluster)
			}
			seen[address] = true
			line := WeightedNode{Node: e.GetEndpoint().GetHostname(), Address: address, Zone: locality.GetLocality().GetZone(), Weight: 1}
			if weight != nil {
				line.Weight = float64(weight.GetValue())
			}
			lines = append(lines, line)
		}
	}
	return lines, nil
}

// parseRoutes reads a table of routes. It refuses what would let a call of a mutating route run twice.
func (h *ResourceCache) parseRoutes(m *routev3.RouteConfiguration) (entries []RouteEntry, err error) {
	routes := map[string]bool{}
	for _, host := range m.GetVirtualHosts() {
		for _, r := range host.GetRoutes() {
			routes[r.GetName()+"\x00"+r.GetMatch().GetPrefix()] = true // a throttled route has two entries
			if len(routes) > xds.MaxRoutes {
				return nil, fmt.Errorf("over %d routes", xds.MaxRoutes)
			}
			if len(entries) >= maxEntries {
				return nil, fmt.Errorf("over %d entries", maxEntries)
			}
			about := r.GetMetadata().GetFilterMetadata()[xds.MetadataKey].GetFields()
			e := RouteEntry{Name: r.GetName(), Prefix: r.GetMatch().GetPrefix(), Fraction: 1}
			// A route of which nothing is said is taken for mutating: to repeat it would be the larger harm.
			e.Mutating = about["mutating"] == nil || about["mutating"].GetBoolValue() || h.MutatingRoutes[e.Name]
			e.AgreedVersion = uint64(about[xds.AgreedKey].GetNumberValue())
			if !strings.HasPrefix(e.Prefix, "/") {
				return nil, fmt.Errorf("route %q has no prefix of a path", e.Name)
			}
			if f := r.GetMatch().GetRuntimeFraction().GetDefaultValue(); f != nil {
				e.Fraction = float64(f.GetNumerator()) / map[int32]float64{0: 100, 1: 10000, 2: 1000000}[int32(f.GetDenominator())]
				if !(e.Fraction <= 1) {
					return nil, fmt.Errorf("route %q lets in more than all", e.Name)
				}
			}
			switch action := r.GetAction().(type) {
			case *routev3.Route_DirectResponse:
				if e.Status = int(action.DirectResponse.GetStatus()); e.Status < 200 || e.Status > 599 {
					return nil, fmt.Errorf("route %q answers with the status %d", e.Name, e.Status)
				}
			case *routev3.Route_Route:
				e.Cluster, e.TimeLimit = action.Route.GetCluster(), action.Route.GetTimeout().AsDuration()
				if e.Cluster == "" {
					return nil, fmt.Errorf("route %q sends to no cluster", e.Name)
				}
				if err := e.setRetries(action.Route.GetRetryPolicy()); err != nil {
					return nil, err
				}
			default:
				return nil, fmt.Errorf("route %q does nothing that is known here", e.Name)
			}
			entries = append(entries, e)
		}
	}
	if len(entries) == 0 {
		return nil, errors.New("it has no route")
	}
	return entries, nil
}

func (e *RouteEntry) setRetries(p *routev3.RetryPolicy) error {
	if p == nil || p.GetRetryOn() == "" {
		return nil
	}
	e.MaxRetries = 1
	if p.GetNumRetries() != nil {
		e.MaxRetries = int(p.GetNumRetries().GetValue())
	}
	if e.MaxRetries > maxRouteRetries {
		return fmt.Errorf("route %q would be tried %d more times, %d at most", e.Name, e.MaxRetries, maxRouteRetries)
	}
	for _, on := range strings.Split(p.GetRetryOn(), ",") {
		if on = strings.TrimSpace(on); !strings.Contains(","+xds.RetryIfNotSent+",", ","+on+",") {
			if e.Mutating {
				return fmt.Errorf("route %q is mutating and would be repeated on %q, after a try that may have run", e.Name, on)
			}
			return fmt.Errorf("route %q would be repeated on %q, which is not known here", e.Name, on)
		}
	}
	return nil
}
