package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/sidecar"
	"harehook.dev/harehook/xds"
)

const testTimeout = 20 * time.Second // for conditions that are met within milliseconds on an idle machine

func waitFor(t *testing.T, condition string, isMet func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !isMet(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", testTimeout, condition)
		}
	}
}

func dial(t *testing.T, address string) *grpc.ClientConn {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// convergedSidecars returns the number of sidecars that have accepted the target versions of all resources.
func convergedSidecars(server *Server) (n int) {
	server.call(func() {
		for _, s := range server.Streams.Sidecars(server.now()) {
			converged := s.Connected && s.Bound && s.Unacknowledged == 0 && len(s.Resources) >= int(xds.NumResourceTypes)
			for _, resource := range s.Resources {
				converged = converged && resource.Accepted == resource.Target
			}
			if converged {
				n++
			}
		}
	})
	return n
}

// knownSidecars returns the number of sidecars that have ever joined.
func knownSidecars(server *Server) (n int) {
	server.call(func() { n = len(server.Streams.Sidecars(server.now())) })
	return n
}

// connectedSidecars returns the number of sidecars with an open stream.
func connectedSidecars(server *Server) (n int) {
	server.call(func() {
		for _, s := range server.Streams.Sidecars(server.now()) {
			if s.Connected {
				n++
			}
		}
	})
	return n
}

// publishTable publishes a routing table with the given number of nodes and binds all sidecars to it.
func publishTable(server *Server, sidecars, nodes int) {
	batch := []controller.Command{{Kind: controller.SetAdmission, Table: planner.AllTables, Route: "quote", Value: 1}}
	for n := range nodes {
		name := fmt.Sprint("node-", n)
		server.AddAddresses([]Node{{Name: name, Zone: "north", Address: xds.Address{Host: "127.0.0.1", Port: uint32(1000 + n)}}})
		batch = append(batch, controller.Command{Kind: controller.SetWeight, Node: name, Value: 1})
	}
	server.Enqueue(batch)
	bindAll(server, sidecars, 1)
}

// bindAll binds sidecars, as the planner does when they join.
func bindAll(server *Server, sidecars, nonce int) {
	var batch []controller.Command
	for proxy := range sidecars {
		batch = append(batch, controller.Command{Kind: controller.BindProxy, Proxy: proxy})
	}
	server.Enqueue(append(batch, controller.Command{Kind: controller.RequestAck, Nonce: nonce}))
}

// Hundreds of sidecars of both variants lose their streams at the same time, repeatedly, while tables change. All must
// converge to the newest versions, and a sidecar that already has them must not receive a response.
func TestReconnectStormsConverge(t *testing.T) {
	const sidecars = 300
	server, address := startServer(t, sidecars)
	caches := make([]*sidecar.ResourceCache, sidecars)
	for k := range caches {
		caches[k] = &sidecar.ResourceCache{ID: fmt.Sprint("till-", k), Zone: "north", Delta: k%2 == 0}
	}
	for round := range 4 {
		ctx, stop := context.WithCancel(context.Background())
		var streams sync.WaitGroup
		c := &sidecarClients{}
		var conn *grpc.ClientConn
		for k, cache := range caches {
			if k%maxStreamsPerConnection == 0 {
				conn = dial(t, address)
			}
			clientConn := conn
			streams.Go(func() { c.runStream(ctx, clientConn, cache) })
		}
		waitFor(t, "all sidecars are connected", func() bool { return connectedSidecars(server) == sidecars })
		if round == 0 {
			publishTable(server, sidecars, 20)
		} else {
			if round%2 == 0 {
				server.Enqueue([]controller.Command{{Kind: controller.SetWeight, Node: "node-1", Value: float64(round)}})
			}
			bindAll(server, sidecars, round+1)
		}
		waitFor(t, fmt.Sprintf("all sidecars converged in round %d", round), func() bool { return convergedSidecars(server) == sidecars })
		if responses := c.responses.Load(); round%2 == 1 && responses != 0 {
			t.Errorf("round %d without changes: got %d responses, want 0", round, responses)
		}
		stop()
		streams.Wait()
		waitFor(t, "all sidecars are disconnected", func() bool { return connectedSidecars(server) == 0 })
	}
}

// Requests that violate the protocol must end their stream with a status and a reason, and must be counted. Other
// sidecars must not be affected.
func TestMisbehavingClientsAreDisconnected(t *testing.T) {
	server, address := startServer(t, 3)
	valid := &sidecar.ResourceCache{ID: "till", Zone: "north", Delta: true}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go (&sidecarClients{}).runStream(ctx, dial(t, address), valid)
	waitFor(t, "the sidecar is known", func() bool { return knownSidecars(server) == 1 })
	publishTable(server, 1, 3)
	waitFor(t, "the sidecar has accepted its table", func() bool { return convergedSidecars(server) == 1 })

	client := discoveryv3.NewAggregatedDiscoveryServiceClient(dial(t, address))
	node := func(id, zone string) *corev3.Node {
		return &corev3.Node{Id: id, Locality: &corev3.Locality{Zone: zone}}
	}
	for name, c := range map[string]struct {
		requests    []*discoveryv3.DiscoveryRequest
		wantCode    codes.Code
		wantMessage string
	}{
		"no node id":   {[]*discoveryv3.DiscoveryRequest{{Node: node("", "north"), TypeUrl: xds.Clusters.TypeURL()}}, codes.InvalidArgument, "no node id"},
		"unknown zone": {[]*discoveryv3.DiscoveryRequest{{Node: node("x", "moon"), TypeUrl: xds.Clusters.TypeURL()}}, codes.InvalidArgument, `zone "moon"`},
		"unknown type": {[]*discoveryv3.DiscoveryRequest{{Node: node("x", "north"), TypeUrl: "type.googleapis.com/what"}}, codes.InvalidArgument, "resource type \"type.googleapis.com/what\" is not served"},
		"too many names": {[]*discoveryv3.DiscoveryRequest{{Node: node("x", "north"), TypeUrl: xds.Endpoints.TypeURL(),
			ResourceNames: make([]string, 5000)}}, codes.InvalidArgument, "subscription must have at most 4096 resource names, got 5000"},
		"too large": {[]*discoveryv3.DiscoveryRequest{{Node: node("x", "north"), TypeUrl: strings.Repeat("x", maxRequestBytes+1)}}, codes.ResourceExhausted, "larger than max"},
		"silent":    {nil, codes.DeadlineExceeded, "no first request within 2s"},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := client.StreamAggregatedResources(ctx)
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range c.requests {
				s.Send(r)
			}
			if _, err = s.Recv(); status.Code(err) != c.wantCode || !strings.Contains(status.Convert(err).Message(), c.wantMessage) {
				t.Errorf("%s: got error %v, want code %s with message %q", name, err, c.wantCode, c.wantMessage)
			}
		})
	}
	for _, id := range []string{"x", "y", "z"} {
		s, _ := client.StreamAggregatedResources(ctx)
		s.Send(&discoveryv3.DiscoveryRequest{Node: node(id, "north"), TypeUrl: xds.Clusters.TypeURL()})
	}
	waitFor(t, "three sidecars are known", func() bool { return knownSidecars(server) == 3 })
	s, _ := client.StreamAggregatedResources(ctx)
	s.Send(&discoveryv3.DiscoveryRequest{Node: node("one too many", "north"), TypeUrl: xds.Clusters.TypeURL()})
	if _, err := s.Recv(); status.Code(err) != codes.InvalidArgument || !strings.Contains(err.Error(), "maximum of 3 sidecars is connected; connect to another controller") {
		t.Errorf("one sidecar too many: got error %v, want code %s with message %q", err, codes.InvalidArgument, "maximum of 3 sidecars is connected; connect to another controller")
	}
	if server.MalformedRequests.Load() < 5 {
		t.Errorf("got %d malformed requests, want at least 5", server.MalformedRequests.Load())
	}
	if convergedSidecars(server) < 1 {
		t.Error("got no converged sidecar, want the valid one to keep its table")
	}
}

// A second stream with the same node id replaces the first one, which is aborted and whose messages are then ignored.
func TestSecondStreamReplacesFirst(t *testing.T) {
	server, address := startServer(t, 3)
	client := discoveryv3.NewAggregatedDiscoveryServiceClient(dial(t, address))
	open := func() discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesClient {
		s, err := client.StreamAggregatedResources(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		s.Send(&discoveryv3.DiscoveryRequest{Node: &corev3.Node{Id: "till", Locality: &corev3.Locality{Zone: "north"}}, TypeUrl: xds.Clusters.TypeURL()})
		return s
	}
	first := open()
	waitFor(t, "the sidecar is known", func() bool { return knownSidecars(server) == 1 })
	second := open()
	if _, err := first.Recv(); status.Code(err) != codes.Aborted {
		t.Errorf("first stream: got error %v, want code %s", err, codes.Aborted)
	}
	publishTable(server, 1, 2)
	if r, err := second.Recv(); err != nil || len(r.GetResources()) != 1 {
		t.Errorf("second stream: got response %v and error %v, want 1 resource", r, err)
	}
}

// Load reports must reach the controller. Of a report with an impossible entry only that entry is omitted.
func TestLoadReportsReachController(t *testing.T) {
	server, address := startServer(t, 3)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	conn := dial(t, address)
	go (&sidecarClients{}).runStream(ctx, conn, &sidecar.ResourceCache{ID: "till", Zone: "north", Delta: true})
	waitFor(t, "the sidecar is known", func() bool { return knownSidecars(server) == 1 })
	publishTable(server, 1, 1)
	s, err := loadv3.NewLoadReportingServiceClient(conn).StreamLoadStats(ctx)
	if err != nil {
		t.Fatal(err)
	}
	s.Send(&loadv3.LoadStatsRequest{Node: &corev3.Node{Id: "till"}})
	if r, err := s.Recv(); err != nil || r.GetLoadReportingInterval().AsDuration() != server.ReportInterval {
		t.Fatalf("got response %v and error %v, want reporting interval %s", r, err, server.ReportInterval)
	}
	endpoint := func(port uint32, issued, failed uint64) *endpointv3.UpstreamEndpointStats {
		return &endpointv3.UpstreamEndpointStats{TotalIssuedRequests: issued, TotalErrorRequests: failed,
			Address: xds.Address{Host: "127.0.0.1", Port: port}.Message()}
	}
	sendReport := func(interval time.Duration, endpoints ...*endpointv3.UpstreamEndpointStats) {
		s.Send(&loadv3.LoadStatsRequest{ClusterStats: []*endpointv3.ClusterStats{{ClusterName: "pool-0", LoadReportInterval: durationpb.New(interval),
			UpstreamLocalityStats: []*endpointv3.UpstreamLocalityStats{{UpstreamEndpointStats: endpoints}}}}})
	}
	sendReport(time.Second, endpoint(1000, 10, 2), endpoint(1000, 1, 2), endpoint(9999, 5, 0))
	waitFor(t, "the invalid entry and the unknown node are counted", func() bool { return server.MalformedRequests.Load() == 1 && server.UnknownReports.Load() == 1 })
	sendReport(0, endpoint(1000, 10, 2))
	sendReport(-time.Second, endpoint(1000, 10, 2))
	waitFor(t, "impossible intervals are counted", func() bool { return server.MalformedRequests.Load() == 3 })
	s.CloseSend()
	if _, err := s.Recv(); !errors.Is(err, io.EOF) {
		t.Errorf("after the end of the stream: got error %v, want %v", err, io.EOF)
	}
}
