package scaling

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	statusv3 "github.com/envoyproxy/go-control-plane/envoy/service/status/v3"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/platform/wire"
	"harehook.dev/harehook/settings"
	"harehook.dev/harehook/sidecar"
	"harehook.dev/harehook/xds"
	"harehook.dev/harehook/xds/transport"
)

// loadReport returns a collector's message on one node, with its frame header.
func loadReport(node int) ([]byte, error) {
	body, err := json.Marshal(map[string]any{
		"@type":  "LOAD",
		"site":   fmt.Sprint("zone-", node%listZones),
		"target": nodeName(node),
		"count":  12,
		"fail":   1,
		"mean":   183.5,
		"over":   500,
		"util":   map[string]float64{"inflight": 3, "util": 0.61},
	})
	return append(wire.FrameHeader(len(body)), body...), err
}

// reportSample measures half a second of reports, one on each node, from a collector's bytes to the planner. Values are
// per reported node.
func reportSample(nodes int, effort Effort) (Sample, error) {
	sample := newSample(nodes)
	var bytes []byte
	for n := range nodes {
		report, err := loadReport(n)
		if err != nil {
			return sample, err
		}
		bytes = append(bytes, report...)
	}
	fleet := newPlannerFleet(nodes, typicalProxies, 2)
	numbers := make(map[string]uint32, nodes)
	for n := range nodes {
		numbers[nodeName(n)] = uint32(n + 1)
	}
	frames := wire.FrameReader{MaxBytes: wire.MaxFrameBytes}
	err := repeat(&sample, effort, func() error {
		fleet.now += 0.5
		processed := 0
		for remaining := bytes; len(remaining) > 0; remaining = remaining[min(len(remaining), readBytes):] {
			frames.Feed(remaining[:min(len(remaining), readBytes)])
			n, err := processReports(&frames, fleet, numbers)
			if processed += n; err != nil {
				return err
			}
		}
		if processed != nodes {
			return fmt.Errorf("read %d reports, want %d", processed, nodes)
		}
		return nil
	})
	for _, quantity := range []Quantity{CPU, Allocated, Allocations} {
		sample.Values[quantity] /= float64(nodes)
	}
	sample.Values[Wire] = float64(len(bytes)) / float64(nodes)
	return sample, err
}

// processReports passes all complete messages to the planner, as the transport and the controller do.
func processReports(frames *wire.FrameReader, fleet *plannerFleet, numbers map[string]uint32) (processed int, err error) {
	for {
		body, err := frames.Next()
		if err != nil || body == nil {
			return processed, err
		}
		message, err := wire.Decode(body)
		if err != nil {
			return processed, err
		}
		number, known := numbers[message.Node]
		if !known {
			return processed, fmt.Errorf("report on unknown node %q", message.Node)
		}
		fleet.planner.AddLoadReport(fleet.now, planner.LoadReport{
			Node:        number,
			Completed:   int(*message.Count),
			Failed:      int(*message.Failed),
			MeanLatency: *message.MeanLatencyMS / wire.MillisecondsPerSecond,
			Interval:    *message.IntervalMS / wire.MillisecondsPerSecond,
		})
		processed++
	}
}

// reportService is an xDS server on loopback with a controller, and one sidecar that reports to it.
type reportService struct {
	server *transport.Server
	stream loadv3.LoadReportingService_StreamLoadStatsClient
	stop   func()
}

const (
	sidecarID     = "sidecar-0"
	answerTimeout = time.Minute // for a response over loopback, which is immediate; reached only in case of a fault
	pollInterval  = 100 * time.Microsecond
)

// newReportService starts the server, registers the nodes' addresses, and opens the sidecar's two streams.
func newReportService(nodes int) (*reportService, error) {
	server := transport.NewServer(xds.NewCompiler(pushRoutes(1), time.Second), 1, zap.NewNop())
	var endpoints []controller.Endpoint
	var addresses []transport.Node
	for n := range nodes {
		endpoints = append(endpoints, controller.Endpoint{
			Node:        nodeName(n),
			Zone:        "zone-0",
			MachineType: "large",
			Weight:      1,
			State:       planner.Ready,
		})
		addresses = append(addresses, transport.Node{Name: nodeName(n), Zone: "zone-0", Address: nodeAddress(n)})
	}
	// Sharded: the planner accepts reports, and sends no commands by itself.
	server.Controller = controller.New(settings.Deployment{
		Planner: planner.Config{
			Zones:        1,
			MachineTypes: 1,
			Proxies:      1,
			Sharded:      true,
			Routes:       []planner.Route{{}},
		},
		Zones:         []string{"zone-0"},
		MachineTypes:  []string{"large"},
		Routes:        []string{"r0000"},
		EventInterval: 0.004,
	}, endpoints, server, zap.NewNop())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { server.Controller.Run(ctx) })
	tasks.Go(func() { server.Run(ctx, listener) })
	service := &reportService{server: server, stop: func() {
		stop()
		tasks.Wait()
	}}
	server.AddAddresses(addresses)
	if err := service.connect(ctx, listener.Addr().String()); err != nil {
		service.stop()
		return nil, err
	}
	return service, nil
}

// connect opens the discovery stream, which identifies the sidecar, and then the stream that carries its reports. A
// report that arrived before the sidecar is known would be counted as unknown, and the measurement would take that for
// the end of an operation: the first operation would include the rest of the warm-up.
func (r *reportService) connect(ctx context.Context, address string) error {
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	stopServer := r.stop
	r.stop = func() { connection.Close(); stopServer() }
	resources, err := discoveryv3.NewAggregatedDiscoveryServiceClient(connection).DeltaAggregatedResources(ctx)
	if err != nil {
		return err
	}
	cache := &sidecar.ResourceCache{ID: sidecarID, Zone: "zone-0", Delta: true}
	for _, request := range cache.BeginDelta() {
		if err := resources.Send(request); err != nil {
			return err
		}
	}
	if err := awaitSidecar(ctx, connection); err != nil {
		return err
	}
	if r.stream, err = loadv3.NewLoadReportingServiceClient(connection).StreamLoadStats(ctx); err != nil {
		return err
	}
	if err := r.stream.Send(&loadv3.LoadStatsRequest{Node: &corev3.Node{Id: sidecarID}}); err != nil {
		return err
	}
	_, err = r.stream.Recv()
	return err
}

// awaitSidecar waits until the server knows a sidecar.
func awaitSidecar(ctx context.Context, connection *grpc.ClientConn) error {
	client := statusv3.NewClientStatusDiscoveryServiceClient(connection)
	for startTime := time.Now(); time.Since(startTime) < answerTimeout; time.Sleep(pollInterval) {
		status, err := client.FetchClientStatus(ctx, &statusv3.ClientStatusRequest{})
		if err != nil {
			return err
		}
		if len(status.GetConfig()) > 0 {
			return nil
		}
	}
	return fmt.Errorf("the server did not know the sidecar within %s", answerTimeout)
}

// loadStats returns a report on the given number of nodes. Its last line has an address of no node: once the server
// counts that line as unknown, it has processed all lines before.
func loadStats(nodes int) *loadv3.LoadStatsRequest {
	locality := &endpointv3.UpstreamLocalityStats{Locality: &corev3.Locality{Zone: "zone-0"}}
	addEndpoint := func(address xds.Address) {
		locality.UpstreamEndpointStats = append(locality.UpstreamEndpointStats, &endpointv3.UpstreamEndpointStats{
			Address:                 address.Message(),
			TotalIssuedRequests:     12,
			TotalSuccessfulRequests: 11,
			TotalErrorRequests:      1,
			LoadMetricStats: []*endpointv3.EndpointLoadMetricStats{
				{MetricName: xds.LatencySumMetric, NumRequestsFinishedWithMetric: 11, TotalMetricValue: 2.1},
			},
		})
	}
	for n := range nodes {
		addEndpoint(nodeAddress(n))
	}
	addEndpoint(xds.Address{Host: "192.0.2.1", Port: 1})
	return &loadv3.LoadStatsRequest{ClusterStats: []*endpointv3.ClusterStats{{
		ClusterName:           "pool-0",
		LoadReportInterval:    durationpb.New(time.Second),
		UpstreamLocalityStats: []*endpointv3.UpstreamLocalityStats{locality},
	}}}
}

// sidecarReportSample measures a sidecar's reports over loopback, both ends. Values are per reported node.
func sidecarReportSample(nodes int, effort Effort) (Sample, error) {
	sample := newSample(nodes)
	service, err := newReportService(nodes)
	if err != nil {
		return sample, err
	}
	defer service.stop()
	report := loadStats(nodes)
	expected := service.server.UnknownReports.Load()
	if err := repeat(&sample, effort, func() error {
		if err := service.stream.Send(report); err != nil {
			return err
		}
		expected++
		for startTime := time.Now(); service.server.UnknownReports.Load() < expected; time.Sleep(pollInterval) {
			if time.Since(startTime) > answerTimeout {
				return fmt.Errorf("the server did not process a report within %s", answerTimeout)
			}
		}
		return nil
	}); err != nil {
		return sample, err
	}
	for _, quantity := range []Quantity{CPU, Allocated, Allocations} {
		sample.Values[quantity] /= float64(nodes)
	}
	sample.Values[Wire] = float64(proto.Size(report)) / float64(nodes)
	return sample, nil
}

func reportSlopes() []Slope {
	return []Slope{{
		Name:      "reports",
		Operation: "a collector's report on one node, read and passed to the planner",
		Size:      "nodes reported each half second",
		Method:    Isolated,
		Sizes:     []int{130, 400, 1300, 4000, OperatorsNodes},
		Run:       reportSample,
	},
		{
			Name:      "reports-sidecar",
			Operation: "a line on one node of a sidecar's load report, over loopback, both ends",
			Size:      "nodes of a report",
			Method:    Measured,
			Sizes:     []int{10, 40, 130, 400, 1300, 4000},
			Run:       sidecarReportSample,
		}}
}
