package transport

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/anypb"

	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/xds"
)

// endpointListService is an xDS service that sends the queued versions of an endpoint list and records the requests.
type endpointListService struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	responses chan *discoveryv3.DiscoveryResponse // nil ends the stream
	mutex     sync.Mutex
	requests  []string
}

func (service *endpointListService) StreamAggregatedResources(s discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	for {
		r, err := s.Recv()
		if err != nil {
			return err
		}
		service.mutex.Lock()
		service.requests = append(service.requests, fmt.Sprintf("%v has %q: %s", r.GetResourceNames(), r.GetVersionInfo(), r.GetErrorDetail().GetMessage()))
		service.mutex.Unlock()
		next := <-service.responses
		if next == nil {
			return fmt.Errorf("stream ended by the test")
		}
		if err := s.Send(next); err != nil {
			return err
		}
	}
}

type testEndpoint struct {
	name, zone string
	port       uint32
	health     corev3.HealthStatus
}

func endpointsVersion(number int, cluster string, nodes ...testEndpoint) *discoveryv3.DiscoveryResponse {
	list := &endpointv3.ClusterLoadAssignment{ClusterName: cluster}
	for _, n := range nodes {
		list.Endpoints = append(list.Endpoints, &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: n.zone},
			LbEndpoints: []*endpointv3.LbEndpoint{{HealthStatus: n.health, HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
				Hostname: n.name, Address: xds.Address{Host: "127.0.0.1", Port: n.port}.Message()}}}}})
	}
	body, _ := anypb.New(list)
	return &discoveryv3.DiscoveryResponse{TypeUrl: xds.Endpoints.TypeURL(), VersionInfo: fmt.Sprint("v", number), Nonce: fmt.Sprint("n", number),
		Resources: []*anypb.Any{body}}
}

// The service sends valid, invalid and undecodable versions in a row, ends the stream and accepts a new one. Each
// invalid version must be rejected with the reason, the last accepted list must stay in use, and the first request on
// the new stream must have its version.
func TestEndpointWatcherKeepsLastGoodList(t *testing.T) {
	service := &endpointListService{responses: make(chan *discoveryv3.DiscoveryResponse, 16)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(server, service)
	go server.Serve(listener)
	defer server.Stop()
	var accepted []string
	ctx, stop := context.WithCancel(context.Background())
	watcher := &EndpointWatcher{Address: listener.Addr().String(), Cluster: "tickets", Name: "c", Log: zap.NewNop(), KnowsZone: func(zone string) bool { return zone == "north" },
		Accepted: func(version string, nodes []Endpoint) {
			summary := version
			for _, n := range nodes {
				summary += fmt.Sprint(" ", n.Name, n.State)
			}
			service.mutex.Lock()
			defer service.mutex.Unlock()
			accepted = append(accepted, summary)
		}}
	var run sync.WaitGroup
	run.Go(func() { watcher.Run(ctx) })
	defer run.Wait()
	defer stop()
	healthy, draining, unhealthy := corev3.HealthStatus_HEALTHY, corev3.HealthStatus_DRAINING, corev3.HealthStatus_UNHEALTHY
	undecodable := endpointsVersion(6, "tickets")
	undecodable.Resources[0].Value = []byte{0xff}
	for _, r := range []*discoveryv3.DiscoveryResponse{
		endpointsVersion(1, "tickets", testEndpoint{"a", "north", 1, healthy}, testEndpoint{"b", "north", 2, draining}, testEndpoint{"c", "north", 3, unhealthy}),
		endpointsVersion(2, "tickets", testEndpoint{"a", "moon", 1, healthy}),
		endpointsVersion(3, "tickets", testEndpoint{"a", "north", 1, healthy}, testEndpoint{"a", "north", 2, healthy}),
		endpointsVersion(4, "tickets"),
		endpointsVersion(5, "other", testEndpoint{"a", "north", 1, healthy}),
		undecodable,
		nil,
		endpointsVersion(7, "tickets", testEndpoint{"", "north", 9, healthy}),
	} {
		service.responses <- r
	}
	waitFor(t, "all responses are answered", func() bool {
		service.mutex.Lock()
		defer service.mutex.Unlock()
		return len(service.requests) >= 9
	})
	service.mutex.Lock()
	if diff := cmp.Diff([]string{fmt.Sprintf("v1 a%d b%d", planner.Ready, planner.Draining), fmt.Sprintf("v7 127.0.0.1:9%d", planner.Ready)}, accepted); diff != "" {
		t.Errorf("accepted versions (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{`[tickets] has "": `, `[tickets] has "v1": `, `[tickets] has "v1": zone "moon" is not known`,
		`[tickets] has "v1": name or address of node "a" is listed twice`, `[tickets] has "v1": endpoint list has no ready node`,
		`[tickets] has "v1": resource is not the ClusterLoadAssignment of "tickets"`, `[tickets] has "v1": resource is not the ClusterLoadAssignment of "tickets"`, `[tickets] has "v1": `,
		`[tickets] has "v7": `}, service.requests); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
	service.mutex.Unlock()
	stop()
	service.responses <- nil
}
