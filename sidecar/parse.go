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

// Reasons for the rejection of a resource.
var (
	errUndecodable          = errors.New("message cannot be decoded")
	errNoName               = errors.New("name must not be empty")
	errDuplicate            = errors.New("duplicate resource")
	errNotConnectionManager = errors.New("API listener must be an HTTP connection manager")
	errRouteSource          = errors.New("route configuration must have a name and use ADS")
)

// parseResources validates the resources of a response and returns the valid ones by name. A single invalid resource
// rejects the response; the error names each invalid resource. If versions is nil, as in state of the world, the
// version of a resource is computed from its content.
func (c *ResourceCache) parseResources(t xds.ResourceType, bodies []*anypb.Any, versions map[string]string) (map[string]CachedResource, error) {
	parsed := map[string]CachedResource{}
	var errs []error
	for _, body := range bodies {
		name, err := c.parseResource(t, body, parsed)
		version := versions[name]
		if versions == nil {
			version = xds.VersionOf(t, name, body.GetValue())
		}
		if err == nil {
			parsed[name] = CachedResource{Version: version, Body: body}
			continue
		}
		errs = append(errs, fmt.Errorf("%s %q: %w", t, name, err))
		if c.OnReject != nil {
			c.OnReject(RejectedResource{Type: t, Name: name, Reason: err.Error(), Version: version})
		}
	}
	return parsed, errors.Join(errs...)
}

// parseResource returns the name of a resource, and an error if the resource must be rejected.
func (c *ResourceCache) parseResource(t xds.ResourceType, body *anypb.Any, parsed map[string]CachedResource) (name string, err error) {
	if body.GetTypeUrl() != t.TypeURL() {
		return "", fmt.Errorf("resource of type %q in a response of type %s", body.GetTypeUrl(), t)
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

// validateResource decodes a resource and returns its name, and an error if the resource is invalid.
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

// unmarshal decodes the body of a resource into message.
func unmarshal[M proto.Message](body *anypb.Any, message M) (M, error) {
	if err := proto.Unmarshal(body.GetValue(), message); err != nil {
		return message, errUndecodable
	}
	return message, nil
}

func validateCluster(body *anypb.Any) (name string, err error) {
	cluster, err := unmarshal(body, &clusterv3.Cluster{})
	if err == nil && cluster.GetType() != clusterv3.Cluster_EDS {
		err = fmt.Errorf("discovery type is %s, only EDS is supported", cluster.GetType())
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
			return config.GetName(), fmt.Errorf("route %q refers to cluster %q, which is not accepted", entry.Name, entry.Cluster)
		}
		// A controller that lags or was partitioned must not roll a sidecar back to an earlier agreed configuration.
		if entry.RoutingRevision < routingRevision {
			return config.GetName(), fmt.Errorf("routing revision %d is older than the accepted routing revision %d", entry.RoutingRevision, routingRevision)
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
		return "", errNotConnectionManager
	}
	name := manager.GetRds().GetRouteConfigName()
	if name == "" || manager.GetRds().GetConfigSource().GetAds() == nil {
		return "", errRouteSource
	}
	return name, nil
}

// parseEndpoints returns the nodes of a cluster, or an error if an endpoint is invalid or there are too many.
func parseEndpoints(assignment *endpointv3.ClusterLoadAssignment) (nodes []WeightedNode, err error) {
	seen := map[xds.Address]bool{}
	for _, locality := range assignment.GetEndpoints() {
		for _, endpoint := range locality.GetLbEndpoints() {
			node, err := parseEndpoint(endpoint, seen)
			if err != nil {
				return nil, err
			}
			if len(nodes) >= maxEndpointsPerCluster {
				return nil, fmt.Errorf("more than %d endpoints", maxEndpointsPerCluster)
			}
			seen[node.Address] = true
			node.Zone = locality.GetLocality().GetZone()
			nodes = append(nodes, node)
		}
	}
	return nodes, nil
}

// parseEndpoint returns the node of an endpoint. Its address must not be in seen.
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
		return node, fmt.Errorf("endpoint %q must have an address with a host and a valid port", node.Node)
	case seen[address]:
		return node, fmt.Errorf("duplicate endpoint %s:%d", address.Host, address.Port)
	case weight != nil && weight.GetValue() == 0:
		return node, fmt.Errorf("weight of endpoint %s:%d must be greater than 0, got 0", address.Host, address.Port)
	}
	return node, nil
}
