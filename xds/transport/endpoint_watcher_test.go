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

// listService is an xDS service that sends the queued versions of an endpoint list and records the requests.
type listService struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	send chan *discoveryv3.DiscoveryResponse // nil ends the stream
	lock sync.Mutex
	said []string
}

func (l *listService) StreamAggregatedResources(s discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	for {
		r, err := s.Recv()
		if err != nil {
			return err
		}
		l.lock.Lock()
		l.said = append(l.said, fmt.Sprintf("%v has %q: %s", r.GetResourceNames(), r.GetVersionInfo(), r.GetErrorDetail().GetMessage()))
		l.lock.Unlock()
		next := <-l.send
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
	l := &listService{send: make(chan *discoveryv3.DiscoveryResponse, 16)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(server, l)
	go server.Serve(listener)
	defer server.Stop()
	var accepted []string
	ctx, stop := context.WithCancel(context.Background())
	m := &EndpointWatcher{Address: listener.Addr().String(), Cluster: "tickets", Name: "c", Log: zap.NewNop(), KnowsZone: func(zone string) bool { return zone == "north" },
		Accepted: func(version string, nodes []Endpoint) {
			answer := version
			for _, n := range nodes {
				answer += fmt.Sprint(" ", n.Name, n.State)
			}
			l.lock.Lock()
			defer l.lock.Unlock()
			accepted = append(accepted, answer)
		}}
	var run sync.WaitGroup
	run.Go(func() { m.Run(ctx) })
	defer run.Wait()
	defer stop()
	up, drains, down := corev3.HealthStatus_HEALTHY, corev3.HealthStatus_DRAINING, corev3.HealthStatus_UNHEALTHY
	broken := endpointsVersion(6, "tickets")
	broken.Resources[0].Value = []byte{0xff}
	for _, r := range []*discoveryv3.DiscoveryResponse{
		endpointsVersion(1, "tickets", testEndpoint{"a", "north", 1, up}, testEndpoint{"b", "north", 2, drains}, testEndpoint{"c", "north", 3, down}),
		endpointsVersion(2, "tickets", testEndpoint{"a", "moon", 1, up}),
		endpointsVersion(3, "tickets", testEndpoint{"a", "north", 1, up}, testEndpoint{"a", "north", 2, up}),
		endpointsVersion(4, "tickets"),
		endpointsVersion(5, "other", testEndpoint{"a", "north", 1, up}),
		broken,
		nil,
		endpointsVersion(7, "tickets", testEndpoint{"", "north", 9, up}),
	} {
		l.send <- r
	}
	waitFor(t, "all responses are answered", func() bool {
		l.lock.Lock()
		defer l.lock.Unlock()
		return len(l.said) >= 9
	})
	l.lock.Lock()
	if diff := cmp.Diff([]string{fmt.Sprintf("v1 a%d b%d", planner.Ready, planner.Draining), fmt.Sprintf("v7 127.0.0.1:9%d", planner.Ready)}, accepted); diff != "" {
		t.Errorf("accepted versions (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{`[tickets] has "": `, `[tickets] has "v1": `, `[tickets] has "v1": zone "moon" is not known`,
		`[tickets] has "v1": name or address of node "a" is listed twice`, `[tickets] has "v1": endpoint list has no ready node`,
		`[tickets] has "v1": resource is not the ClusterLoadAssignment of "tickets"`, `[tickets] has "v1": resource is not the ClusterLoadAssignment of "tickets"`, `[tickets] has "v1": `,
		`[tickets] has "v7": `}, l.said); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
	l.lock.Unlock()
	stop()
	l.send <- nil
}
