package sidecar

import (
	"errors"
	"fmt"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"harehook.dev/harehook/xds"
)

const (
	maxEndpointsPerCluster = 4096
	maxPort                = 65535
)

// Reasons for which a resource is rejected.
var (
	errUnreadable   = errors.New("can't be read")
	errNoName       = errors.New("it has no name")
	errDuplicate    = errors.New("is there twice")
	errNoManager    = errors.New("it has no connection manager as its API listener")
	errRoutesSource = errors.New("its routes don't come by this stream")
)

// parseResources validates the resources of a response and returns them by name. One fault rejects the response; the error
// names each resource at fault. Without versions, as in state of the world, a version is that of the content.
func (c *ResourceCache) parseResources(t xds.ResourceType, bodies []*anypb.Any, versions map[string]string) (map[string]CachedResource, error) {
	parsed := map[string]CachedResource{}
	var faults []error
	for _, body := range bodies {
		name, fault := c.parseResource(t, body, parsed)
		version := versions[name]
		if versions == nil {
			version = xds.VersionOf(t, name, body.GetValue())
		}
		if fault == nil {
			parsed[name] = CachedResource{Version: version, Body: body}
			continue
		}
		faults = append(faults, fmt.Errorf("%s %q: %w", t, name, fault))
		if c.OnReject != nil {
			c.OnReject(RejectedResource{Type: t, Name: name, Reason: fault.Error(), Version: version})
		}
	}
	return parsed, errors.Join(faults...)
}

// parseResource returns the name of a resource, and why it has to be rejected.
func (c *ResourceCache) parseResource(t xds.ResourceType, body *anypb.Any, parsed map[string]CachedResource) (name string, err error) {
	if body.GetTypeUrl() != t.TypeURL() {
		return "", fmt.Errorf("a resource of type %q among those of %s", body.GetTypeUrl(), t)
	}
	name, err = c.validateResource(t, body)
	if err != nil {
		return name, err
	}
	if _, duplicate := parsed[name]; duplicate {
		return name, errDuplicate
	}
	if c.ExtraCheck != nil {
		return name, c.ExtraCheck(t, name, body)
	}
	return name, nil
}

// validateResource decodes a resource and returns its name, and why it can't be used.
func (c *ResourceCache) validateResource(t xds.ResourceType, body *anypb.Any) (name string, err error) {
	switch t {
	case xds.Clusters:
		name, err = validateCluster(body)
	case xds.Endpoints:
		name, err = validateEndpoints(body)
	case xds.Listeners:
		name, err = validateListener(body)
	default:
		name, err = c.validateRoutes(body)
	}
	if err == nil && name == "" {
		return "", errNoName
	}
	return name, err
}

// unmarshal decodes the message of a resource.
func unmarshal[M proto.Message](body *anypb.Any, message M) (M, error) {
	if err := proto.Unmarshal(body.GetValue(), message); err != nil {
		return message, errUnreadable
	}
	return message, nil
}

func validateCluster(body *anypb.Any) (name string, err error) {
	cluster, err := unmarshal(body, &clusterv3.Cluster{})
	if err == nil && cluster.GetType() != clusterv3.Cluster_EDS {
		err = fmt.Errorf("its type is %s, only EDS is known here", cluster.GetType())
	}
	return cluster.GetName(), err
}

func validateEndpoints(body *anypb.Any) (name string, err error) {
	assignment, err := unmarshal(body, &endpointv3.ClusterLoadAssignment{})
	if err == nil {
		_, err = parseEndpoints(assignment)
	}
	return assignment.GetClusterName(), err
}

func validateListener(body *anypb.Any) (name string, err error) {
	listener, err := unmarshal(body, &listenerv3.Listener{})
	if err == nil {
		_, err = parseRouteConfigName(body)
	}
	return listener.GetName(), err
}

func (c *ResourceCache) validateRoutes(body *anypb.Any) (name string, err error) {
	config, err := unmarshal(body, &routev3.RouteConfiguration{})
	if err != nil {
		return config.GetName(), err
	}
	entries, err := c.parseRoutes(config)
	if err != nil {
		return config.GetName(), err
	}
	routingRevision := c.RoutingRevision()
	for _, entry := range entries {
		_, hasCluster := c.accepted[xds.Clusters][entry.Cluster]
		if entry.Cluster != "" && !hasCluster {
			return config.GetName(), fmt.Errorf("route %q sends to cluster %q, which is not held", entry.Name, entry.Cluster)
		}
		// A controller that lags, or was cut off, must not take a sidecar back to an earlier agreed configuration.
		if entry.RoutingRevision < routingRevision {
			return config.GetName(), fmt.Errorf("its routing revision %d is older than %d, the accepted one", entry.RoutingRevision, routingRevision)
		}
	}
	return config.GetName(), nil
}

// parseRouteConfigName returns the name of the route configuration that a listener refers to.
func parseRouteConfigName(body *anypb.Any) (string, error) {
	listener, err := unmarshal(body, &listenerv3.Listener{})
	if err != nil {
		return "", err
	}
	var manager hcmv3.HttpConnectionManager
	if err := listener.GetApiListener().GetApiListener().UnmarshalTo(&manager); err != nil {
		return "", errNoManager
	}
	name := manager.GetRds().GetRouteConfigName()
	if name == "" || manager.GetRds().GetConfigSource().GetAds() == nil {
		return "", errRoutesSource
	}
	return name, nil
}

// parseEndpoints returns the nodes of a cluster.
func parseEndpoints(assignment *endpointv3.ClusterLoadAssignment) (nodes []WeightedNode, err error) {
	seen := map[xds.Address]bool{}
	for _, locality := range assignment.GetEndpoints() {
		for _, endpoint := range locality.GetLbEndpoints() {
			node, err := parseEndpoint(endpoint, seen)
			if err != nil {
				return nil, err
			}
			if len(nodes) >= maxEndpointsPerCluster {
				return nil, fmt.Errorf("over %d endpoints", maxEndpointsPerCluster)
			}
			seen[node.Address] = true
			node.Zone = locality.GetLocality().GetZone()
			nodes = append(nodes, node)
		}
	}
	return nodes, nil
}

// parseEndpoint returns the node of an endpoint, whose address must not have been seen.
func parseEndpoint(endpoint *endpointv3.LbEndpoint, seen map[xds.Address]bool) (node WeightedNode, err error) {
	node.Node = endpoint.GetEndpoint().GetHostname()
	node.Address = xds.AddressOf(endpoint.GetEndpoint().GetAddress())
	node.Weight = 1
	weight := endpoint.GetLoadBalancingWeight()
	if weight != nil {
		node.Weight = float64(weight.GetValue())
	}
	address := node.Address
	switch {
	case address.Host == "" || address.Port == 0 || address.Port > maxPort:
		return node, fmt.Errorf("endpoint %q has no address of host and port", node.Node)
	case seen[address]:
		return node, fmt.Errorf("endpoint %s:%d is there twice", address.Host, address.Port)
	case weight != nil && weight.GetValue() == 0:
		return node, fmt.Errorf("endpoint %s:%d has the weight 0", address.Host, address.Port)
	}
	return node, nil
}
