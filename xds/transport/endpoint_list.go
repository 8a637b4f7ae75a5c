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

// errNoReadyNode rejects an endpoint list by which no request could be forwarded.
var errNoReadyNode = errors.New("it names no node that takes calls")

// Endpoint is a node of a list that another service keeps.
type Endpoint struct {
	Node
	State  planner.EndpointState
	Weight float64 // 1 if the list states none
}

// endpointList is a list that is being read.
type endpointList struct {
	nodes     []Endpoint
	names     map[string]bool
	addresses map[xds.Address]bool
	ready     int
}

// parseEndpoints reads a version as a whole, or not at all: a part of a list would remove nodes that are there.
func (w *EndpointWatcher) parseEndpoints(r *discoveryv3.DiscoveryResponse) ([]Endpoint, error) {
	if r.GetTypeUrl() != xds.Endpoints.TypeURL() || len(r.GetResources()) != 1 {
		return nil, fmt.Errorf("%d resources of type %q, requested was one cluster's endpoints", len(r.GetResources()), r.GetTypeUrl())
	}
	var assignment endpointv3.ClusterLoadAssignment
	err := proto.Unmarshal(r.GetResources()[0].GetValue(), &assignment)
	if err != nil || assignment.GetClusterName() != w.Cluster {
		return nil, fmt.Errorf("not the endpoints of %q", w.Cluster)
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
	if list.ready == 0 {
		return nil, errNoReadyNode
	}
	return list.nodes, nil
}

// add adds an endpoint, or returns why the list is faulty. One that the service knows to be down is left out as though it
// were not listed.
func (l *endpointList) add(endpoint *endpointv3.LbEndpoint, zone string) error {
	added := parseEndpoint(endpoint, zone)
	address := added.Address
	switch {
	case address.Host == "" || address.Port == 0 || address.Port > maxPort:
		return fmt.Errorf("node %q has no address of host and port", added.Name)
	case l.names[added.Name] || l.addresses[address]:
		return fmt.Errorf("node %q is there twice", added.Name)
	case len(l.nodes) >= maxListNodes:
		return fmt.Errorf("over %d nodes", maxListNodes)
	}
	l.names[added.Name] = true
	l.addresses[address] = true
	switch endpoint.GetHealthStatus() {
	case corev3.HealthStatus_DRAINING:
		added.State = planner.Draining
	case corev3.HealthStatus_UNHEALTHY, corev3.HealthStatus_TIMEOUT:
		return nil
	default:
		l.ready++
	}
	l.nodes = append(l.nodes, added)
	return nil
}

// parseEndpoint reads an endpoint, which is named by its address if it has no name.
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
