package transport

import (
	"errors"
	"fmt"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/xds"
)

const (
	maxListNodes = 65536
	maxPort      = 65535
)

// errNoReadyNode is returned for an endpoint list without a ready node: no request could be forwarded.
var errNoReadyNode = errors.New("endpoint list has no ready node")

// Endpoint is a node of an endpoint list.
type Endpoint struct {
	Node
	State  planner.EndpointState
	Weight float64 // 1 if the list has none
}

// endpointList collects the nodes of an endpoint list while it is parsed.
type endpointList struct {
	nodes      []Endpoint
	names      map[string]bool
	addresses  map[xds.Address]bool
	readyCount int
}

// parseEndpoints parses an endpoint list. It returns either all nodes or an error: with a partial list, existing nodes
// would be removed.
func (w *EndpointWatcher) parseEndpoints(r *discoveryv3.DiscoveryResponse) ([]Endpoint, error) {
	if r.GetTypeUrl() != xds.Endpoints.TypeURL() || len(r.GetResources()) != 1 {
		return nil, fmt.Errorf("got %d resources of type %q, want the endpoints of one cluster", len(r.GetResources()), r.GetTypeUrl())
	}
	var assignment endpointv3.ClusterLoadAssignment
	err := proto.Unmarshal(r.GetResources()[0].GetValue(), &assignment)
	if err != nil || assignment.GetClusterName() != w.Cluster {
		return nil, fmt.Errorf("resource is not the ClusterLoadAssignment of %q", w.Cluster)
	}
	list := endpointList{names: map[string]bool{}, addresses: map[xds.Address]bool{}}
	for _, locality := range assignment.GetEndpoints() {
		zone := locality.GetLocality().GetZone()
		if !w.KnowsZone(zone) {
			return nil, fmt.Errorf("zone %q is not known", zone)
		}
		for _, endpoint := range locality.GetLbEndpoints() {
			if err := list.add(endpoint, zone); err != nil {
				return nil, err
			}
		}
	}
	if list.readyCount == 0 {
		return nil, errNoReadyNode
	}
	return list.nodes, nil
}

// add adds an endpoint to the list. The error is the reason why the list is invalid. An unhealthy endpoint is omitted,
// as if it were not on the list.
func (l *endpointList) add(endpoint *endpointv3.LbEndpoint, zone string) error {
	added := parseEndpoint(endpoint, zone)
	address := added.Address
	switch {
	case address.Host == "" || address.Port == 0 || address.Port > maxPort:
		return fmt.Errorf("node %q must have a host and a port from 1 to %d, got %q and %d", added.Name, maxPort, address.Host, address.Port)
	case l.names[added.Name] || l.addresses[address]:
		return fmt.Errorf("name or address of node %q is listed twice", added.Name)
	case len(l.nodes) >= maxListNodes:
		return fmt.Errorf("endpoint list has more than %d nodes", maxListNodes)
	}
	l.names[added.Name] = true
	l.addresses[address] = true
	switch endpoint.GetHealthStatus() {
	case corev3.HealthStatus_DRAINING:
		added.State = planner.Draining
	case corev3.HealthStatus_UNHEALTHY, corev3.HealthStatus_TIMEOUT:
		return nil
	default:
		l.readyCount++
	}
	l.nodes = append(l.nodes, added)
	return nil
}

// parseEndpoint parses an endpoint. An endpoint without a hostname is named after its address.
func parseEndpoint(endpoint *endpointv3.LbEndpoint, zone string) Endpoint {
	address := xds.AddressOf(endpoint.GetEndpoint().GetAddress())
	name := endpoint.GetEndpoint().GetHostname()
	if name == "" {
		name = fmt.Sprintf("%s:%d", address.Host, address.Port)
	}
	parsed := Endpoint{
		Node:   Node{Name: name, Zone: zone, Address: address},
		State:  planner.Ready,
		Weight: 1,
	}
	if weight := endpoint.GetLoadBalancingWeight(); weight != nil {
		parsed.Weight = float64(weight.GetValue())
	}
	return parsed
}
