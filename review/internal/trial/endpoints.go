package trial

import (
	"net"
	"strconv"
	"sync"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/anypb"
)

const endpointsType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

// Endpoint is an entry of the list of an EndpointService.
type Endpoint struct{ Name, Zone, Address string }

// EndpointService is a service that lists the nodes: it serves the endpoints of one cluster over xDS, in the variant
// state of the world of the aggregated stream. It sends each version to each client once, as soon as it is set.
type EndpointService struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer

	Address string
	cluster string
	server  *grpc.Server

	mutex   sync.Mutex // guards the fields below
	version int
	list    []Endpoint
	changed chan struct{} // closed when the list changes
}

// ServeEndpoints starts a service with a list.
func ServeEndpoints(cluster string, list []Endpoint) (*EndpointService, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &EndpointService{Address: listener.Addr().String(), cluster: cluster, server: grpc.NewServer(), version: 1, list: list, changed: make(chan struct{})}
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(s.server, s)
	go s.server.Serve(listener)
	return s, nil
}

// Set sets the list.
func (s *EndpointService) Set(list []Endpoint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.list = list
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *EndpointService) current() (version string, list []Endpoint, changed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return strconv.Itoa(s.version), s.list, s.changed
}

// StreamAggregatedResources implements the service. The client's answers are read and not needed: a version that it
// rejects is not sent again.
func (s *EndpointService) StreamAggregatedResources(stream discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetTypeUrl() != endpointsType {
		return status.Error(codes.InvalidArgument, "only endpoints are served")
	}
	ended := make(chan error, 1)
	go func() {
		for {
			if _, err := stream.Recv(); err != nil {
				ended <- err
				return
			}
		}
	}()
	sent := first.GetVersionInfo()
	for {
		version, list, changed := s.current()
		if version != sent {
			response, err := s.response(version, list)
			if err != nil {
				return err
			}
			if err := stream.Send(response); err != nil {
				return err
			}
			sent = version
		}
		select {
		case <-changed:
		case err := <-ended:
			return err
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

func (s *EndpointService) response(version string, list []Endpoint) (*discoveryv3.DiscoveryResponse, error) {
	assignment := &endpointv3.ClusterLoadAssignment{ClusterName: s.cluster}
	byZone := map[string]*endpointv3.LocalityLbEndpoints{}
	for _, listed := range list {
		locality := byZone[listed.Zone]
		if locality == nil {
			locality = &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: listed.Zone}}
			byZone[listed.Zone] = locality
			assignment.Endpoints = append(assignment.Endpoints, locality)
		}
		endpoint, err := lbEndpoint(listed)
		if err != nil {
			return nil, err
		}
		locality.LbEndpoints = append(locality.LbEndpoints, endpoint)
	}
	body, err := anypb.New(assignment)
	if err != nil {
		return nil, err
	}
	return &discoveryv3.DiscoveryResponse{TypeUrl: endpointsType, VersionInfo: version, Nonce: version, Resources: []*anypb.Any{body}}, nil
}

func lbEndpoint(listed Endpoint) (*endpointv3.LbEndpoint, error) {
	host, portText, err := net.SplitHostPort(listed.Address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, err
	}
	address := &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
		Address:       host,
		PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(port)},
	}}}
	return &endpointv3.LbEndpoint{
		HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Hostname: listed.Name, Address: address}},
		HealthStatus:   corev3.HealthStatus_HEALTHY,
	}, nil
}
