package scaling

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"harehook.dev/harehook/config"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/platform/wire"
	"harehook.dev/harehook/settings"
	"harehook.dev/harehook/xds"
	"harehook.dev/harehook/xds/transport"
)

const (
	readBytes    = 64 << 10 // bytes of one read from a socket
	maxListBytes = 64 << 20 // limit on a list's bytes, far above the sizes measured
	listZones    = OperatorsZones
	listTimeout  = time.Minute // for one list over a loopback stream; reached only in case of a fault
	clusterName  = "nodes"
)

// platformList returns the HTTP response of discovery with the full list, in the platform's format.
func platformList(nodes int) ([]byte, error) {
	type endpoint struct {
		Name    string  `json:"name"`
		Address string  `json:"address"`
		Zone    string  `json:"zone"`
		Type    string  `json:"type"`
		Group   int     `json:"group"`
		Status  string  `json:"status"`
		Weight  float64 `json:"weight"`
		SinceMS float64 `json:"since_ms"`
	}
	list := struct {
		Index     uint64     `json:"index"`
		Snapshot  bool       `json:"snapshot"`
		Endpoints []endpoint `json:"endpoints"`
	}{Index: 17, Snapshot: true}
	for n := range nodes {
		address := nodeAddress(n)
		list.Endpoints = append(list.Endpoints, endpoint{
			Name:    nodeName(n),
			Address: fmt.Sprint(address.Host, ":", address.Port),
			Zone:    fmt.Sprint("zone-", n%listZones),
			Type:    "large",
			Group:   n % OperatorsServices,
			Status:  "in_service",
			Weight:  1,
			SinceMS: 1764650000000,
		})
	}
	body, err := json.Marshal(list)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
	return append([]byte(head), body...), err
}

// watchSample measures the platform's watch as it reads the full list.
func watchSample(nodes int, effort Effort) (Sample, error) {
	sample := newSample(nodes)
	body, err := platformList(nodes)
	if err != nil {
		return sample, err
	}
	sample.Values[Wire] = float64(len(body))
	readList := func() (wire.EndpointList, error) {
		responses := wire.PollResponseReader{MaxBytes: maxListBytes}
		for remaining := body; len(remaining) > 0; remaining = remaining[min(len(remaining), readBytes):] {
			responses.Feed(remaining[:min(len(remaining), readBytes)])
			response, err := responses.Next(false)
			if err != nil || response.Complete {
				return response.List, err
			}
		}
		return wire.EndpointList{}, errors.New("the response is incomplete")
	}
	heap, list, err := measureHeap(readList)
	if err != nil {
		return sample, err
	}
	if len(list.Endpoints) != nodes {
		return sample, fmt.Errorf("read %d nodes, want %d", len(list.Endpoints), nodes)
	}
	sample.Values[Heap] = heap
	return sample, repeat(&sample, effort, func() error { _, err := readList(); return err })
}

// fileSample measures a read of harehook-xds's node file.
func fileSample(nodes int, effort Effort) (Sample, error) {
	sample := newSample(nodes)
	folder, err := os.MkdirTemp("", "harehook-list-")
	if err != nil {
		return sample, err
	}
	defer os.RemoveAll(folder)
	var text strings.Builder
	for n := range nodes {
		address := nodeAddress(n)
		fmt.Fprintf(&text, "node %q zone=\"zone-%d\" kind=\"large\" address=\"%s:%d\"\n", nodeName(n), n%listZones, address.Host, address.Port)
	}
	controllerConfig := &config.Controller{
		NodesFile:    filepath.Join(folder, "nodes.kdl"),
		Deployment:   settings.Deployment{MachineTypes: []string{"large"}},
		MachineTypes: map[string]bool{"large": true},
		Zones:        map[string]bool{},
	}
	for z := range listZones {
		controllerConfig.Zones[fmt.Sprint("zone-", z)] = true
	}
	if err := os.WriteFile(controllerConfig.NodesFile, []byte(text.String()), 0o600); err != nil {
		return sample, err
	}
	sample.Values[Stored] = float64(text.Len())
	heap, list, err := measureHeap(controllerConfig.ReadNodes)
	if err != nil {
		return sample, err
	}
	if len(list) != nodes {
		return sample, fmt.Errorf("read %d nodes, want %d", len(list), nodes)
	}
	sample.Values[Heap] = heap
	return sample, repeat(&sample, effort, func() error { _, err := controllerConfig.ReadNodes(); return err })
}

// endpointService lists nodes as the endpoints of a cluster. It sends each version that it receives from versions.
type endpointService struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	versions chan *discoveryv3.DiscoveryResponse
}

// StreamAggregatedResources implements the service for one client that requests one cluster.
func (e *endpointService) StreamAggregatedResources(stream discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	for {
		if _, err := stream.Recv(); err != nil {
			return err
		}
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case response := <-e.versions:
			if err := stream.Send(response); err != nil {
				return err
			}
		}
	}
}

// endpointsResponse returns a version of the list as the endpoints of a cluster.
func endpointsResponse(nodes, version int) (*discoveryv3.DiscoveryResponse, error) {
	list := &endpointv3.ClusterLoadAssignment{ClusterName: clusterName}
	for zone := range min(listZones, nodes) {
		locality := &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: fmt.Sprint("zone-", zone)}}
		for n := zone; n < nodes; n += listZones {
			locality.LbEndpoints = append(locality.LbEndpoints, &endpointv3.LbEndpoint{
				HealthStatus:        corev3.HealthStatus_HEALTHY,
				LoadBalancingWeight: wrapperspb.UInt32(uint32(1 + version%2)),
				HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
					Hostname: nodeName(n),
					Address:  nodeAddress(n).Message(),
				}},
			})
		}
		list.Endpoints = append(list.Endpoints, locality)
	}
	body, err := proto.Marshal(list)
	return &discoveryv3.DiscoveryResponse{
		VersionInfo: fmt.Sprint(version),
		Nonce:       fmt.Sprint("n", version),
		TypeUrl:     xds.Endpoints.TypeURL(),
		Resources:   []*anypb.Any{{TypeUrl: xds.Endpoints.TypeURL(), Value: body}},
	}, err
}

// endpointsSample measures versions of the list sent over a loopback stream, with both ends in this process.
func endpointsSample(nodes int, effort Effort) (Sample, error) {
	sample := newSample(nodes)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return sample, err
	}
	service := &endpointService{versions: make(chan *discoveryv3.DiscoveryResponse, 1)}
	server := grpc.NewServer()
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(server, service)
	serverDone := make(chan error, 1)
	go func() { serverDone <- server.Serve(listener) }()
	accepted := make(chan int, 1)
	watcher := &transport.EndpointWatcher{
		Address:   listener.Addr().String(),
		Cluster:   clusterName,
		Name:      "conductor",
		Log:       zap.NewNop(),
		KnowsZone: func(string) bool { return true },
		Accepted:  func(_ string, list []transport.Endpoint) { accepted <- len(list) },
	}
	ctx, stop := context.WithCancel(context.Background())
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		watcher.Run(ctx)
	}()
	defer func() {
		stop()
		<-watcherDone
		server.Stop()
		<-serverDone
	}()
	version := 0
	responses := [2]*discoveryv3.DiscoveryResponse{}
	for index := range responses {
		if responses[index], err = endpointsResponse(nodes, index); err != nil {
			return sample, err
		}
	}
	sample.Values[Wire] = float64(proto.Size(responses[0]))
	return sample, repeat(&sample, effort, func() error {
		version++
		service.versions <- responses[version%2]
		select {
		case count := <-accepted:
			if count != nodes {
				return fmt.Errorf("read %d nodes, want %d", count, nodes)
			}
			return nil
		case <-time.After(listTimeout):
			return fmt.Errorf("version %d of the list was not accepted within %s", version, listTimeout)
		}
	})
}

// changeSample measures the planner's update for one node's state change, which makes it plan immediately.
func changeSample(nodes int, effort Effort) (Sample, error) {
	sample := newSample(nodes)
	fleet := newPlannerFleet(nodes, typicalProxies, 2)
	fleet.settle()
	draining := false
	var cost meter
	changes := 0
	for ; !effort.isEnough(&cost, changes, fullMinOperations); changes++ {
		draining = !draining
		row := planner.Endpoint{Node: 1, State: planner.Ready}
		if draining {
			row.State = planner.Draining
		}
		cost.start()
		fleet.planner.UpdateEndpoints(fleet.now, []planner.Endpoint{row})
		cost.stop()
		fleet.acknowledge()
		for range stepsPerReport {
			fleet.step(nil) // the commands are acknowledged, and the clock advances
		}
	}
	cost.recordPerOperation(&sample, changes)
	return sample, nil
}

// startSample measures the start of a planner with a full list. A planner that receives its first full list later
// does the same work.
func startSample(nodes int, effort Effort) (Sample, error) {
	sample := newSample(nodes)
	return sample, repeat(&sample, effort, func() error {
		newPlannerFleet(nodes, typicalProxies, 2)
		return nil
	})
}

func listSlopes() []Slope {
	sizes := []int{130, 400, 1300, 4000, OperatorsNodes}
	return []Slope{
		{
			Name:      "list-watch",
			Operation: "one read of the full list by the platform's watch",
			Size:      "nodes",
			Method:    Measured,
			Sizes:     sizes,
			Run:       watchSample,
		},
		{
			Name:      "list-file",
			Operation: "one read of harehook-xds's node file",
			Size:      "nodes",
			Method:    Measured,
			Sizes:     sizes,
			Run:       fileSample,
		},
		{
			Name:      "list-members",
			Operation: "one version of the list over a loopback stream, both ends",
			Size:      "nodes",
			Method:    Measured,
			Sizes:     sizes,
			Run:       endpointsSample,
		},
		{
			Name:      "list-start",
			Operation: "start of a planner with the list and 110 proxies",
			Size:      "nodes",
			Method:    Isolated,
			Sizes:     sizes,
			Run:       startSample,
		},
		{
			Name:      "list-change",
			Operation: "update of one node at the planner, 110 proxies",
			Size:      "nodes",
			Method:    Isolated,
			Sizes:     sizes,
			Run:       changeSample,
		},
	}
}
