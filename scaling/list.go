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
	frontxds "harehook.dev/harehook/xds/transport"
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
	s := newSample(nodes)
	body, err := platformList(nodes)
	if err != nil {
		return s, err
	}
	s.Values[Wire] = float64(len(body))
	take := func() (wire.EndpointList, error) {
		responses := wire.PollResponseReader{MaxBytes: maxListBytes}
		for rest := body; len(rest) > 0; rest = rest[min(len(rest), readBytes):] {
			responses.Feed(rest[:min(len(rest), readBytes)])
			response, err := responses.Next(false)
			if err != nil || response.Complete {
				return response.List, err
			}
		}
		return wire.EndpointList{}, errors.New("the response is incomplete")
	}
	heap, list, err := measureHeap(take)
	if err != nil {
		return s, err
	}
	if len(list.Endpoints) != nodes {
		return s, fmt.Errorf("read %d nodes, want %d", len(list.Endpoints), nodes)
	}
	s.Values[Heap] = heap
	return s, repeat(&s, effort, func() error { _, err := take(); return err })
}

// fileSample measures a read of harehook-xds's node file.
func fileSample(nodes int, effort Effort) (Sample, error) {
	s := newSample(nodes)
	folder, err := os.MkdirTemp("", "harehook-list-")
	if err != nil {
		return s, err
	}
	defer os.RemoveAll(folder)
	var b strings.Builder
	for n := range nodes {
		address := nodeAddress(n)
		fmt.Fprintf(&b, "node %q zone=\"zone-%d\" kind=\"large\" address=\"%s:%d\"\n", nodeName(n), n%listZones, address.Host, address.Port)
	}
	c := &config.Controller{
		NodesFile:    filepath.Join(folder, "nodes.kdl"),
		Deployment:   settings.Deployment{MachineTypes: []string{"large"}},
		MachineTypes: map[string]bool{"large": true},
		Zones:        map[string]bool{},
	}
	for z := range listZones {
		c.Zones[fmt.Sprint("zone-", z)] = true
	}
	if err := os.WriteFile(c.NodesFile, []byte(b.String()), 0o600); err != nil {
		return s, err
	}
	s.Values[Stored] = float64(b.Len())
	heap, list, err := measureHeap(c.ReadNodes)
	if err != nil {
		return s, err
	}
	if len(list) != nodes {
		return s, fmt.Errorf("read %d nodes, want %d", len(list), nodes)
	}
	s.Values[Heap] = heap
	return s, repeat(&s, effort, func() error { _, err := c.ReadNodes(); return err })
}

// endpointService lists nodes as the endpoints of a cluster. It sends each version that it receives from versions.
type endpointService struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	versions chan *discoveryv3.DiscoveryResponse
}

// StreamAggregatedResources implements the service for one client that requests one cluster.
func (l *endpointService) StreamAggregatedResources(s discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	for {
		if _, err := s.Recv(); err != nil {
			return err
		}
		select {
		case <-s.Context().Done():
			return s.Context().Err()
		case r := <-l.versions:
			if err := s.Send(r); err != nil {
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
			locality.LbEndpoints = append(locality.LbEndpoints, &endpointv3.LbEndpoint{HealthStatus: corev3.HealthStatus_HEALTHY,
				LoadBalancingWeight: wrapperspb.UInt32(uint32(1 + version%2)),
				HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Hostname: nodeName(n),
					Address: nodeAddress(n).Message()}}})
		}
		list.Endpoints = append(list.Endpoints, locality)
	}
	body, err := proto.Marshal(list)
	return &discoveryv3.DiscoveryResponse{VersionInfo: fmt.Sprint(version), Nonce: fmt.Sprint("n", version), TypeUrl: xds.Endpoints.TypeURL(),
		Resources: []*anypb.Any{{TypeUrl: xds.Endpoints.TypeURL(), Value: body}}}, err
}

// endpointsSample measures versions of the list sent over a loopback stream, with both ends in this process.
func endpointsSample(nodes int, effort Effort) (Sample, error) {
	s := newSample(nodes)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return s, err
	}
	service := &endpointService{versions: make(chan *discoveryv3.DiscoveryResponse, 1)}
	server := grpc.NewServer()
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(server, service)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	taken := make(chan int, 1)
	members := &frontxds.EndpointWatcher{Address: listener.Addr().String(), Cluster: clusterName, Name: "conductor", Log: zap.NewNop(),
		KnowsZone: func(string) bool { return true }, Accepted: func(_ string, list []frontxds.Endpoint) { taken <- len(list) }}
	ctx, stop := context.WithCancel(context.Background())
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		members.Run(ctx)
	}()
	defer func() {
		stop()
		<-followed
		server.Stop()
		<-served
	}()
	version := 0
	bodies := [2]*discoveryv3.DiscoveryResponse{}
	for k := range bodies {
		if bodies[k], err = endpointsResponse(nodes, k); err != nil {
			return s, err
		}
	}
	s.Values[Wire] = float64(proto.Size(bodies[0]))
	return s, repeat(&s, effort, func() error {
		version++
		service.versions <- bodies[version%2]
		select {
		case n := <-taken:
			if n != nodes {
				return fmt.Errorf("read %d nodes, want %d", n, nodes)
			}
			return nil
		case <-time.After(listTimeout):
			return fmt.Errorf("version %d of the list was not accepted within %s", version, listTimeout)
		}
	})
}

// changeSample measures the planner's update for one node's state change, which makes it plan immediately.
func changeSample(nodes int, effort Effort) (Sample, error) {
	s := newSample(nodes)
	f := newPlannerFleet(nodes, typicalProxies, 2)
	f.settle()
	draining := false
	var m meter
	n := 0
	for ; !effort.isEnough(&m, n, fullMinOperations); n++ {
		draining = !draining
		row := planner.Endpoint{Node: 1, State: planner.Ready}
		if draining {
			row.State = planner.Draining
		}
		m.start()
		f.planner.UpdateEndpoints(f.now, []planner.Endpoint{row})
		m.stop()
		f.acknowledge()
		for range stepsPerReport {
			f.step(nil) // the commands are acknowledged, and the clock advances
		}
	}
	m.recordPerOperation(&s, n)
	return s, nil
}

// startSample measures the start of a planner with a full list. The first full list costs the same.
func startSample(nodes int, effort Effort) (Sample, error) {
	s := newSample(nodes)
	return s, repeat(&s, effort, func() error {
		newPlannerFleet(nodes, typicalProxies, 2)
		return nil
	})
}

func listSlopes() []Slope {
	sizes := []int{130, 400, 1300, 4000, OperatorsNodes}
	return []Slope{
		{Name: "list-watch", Operation: "one read of the full list by the platform's watch", Size: "nodes", Method: Measured, Sizes: sizes, Run: watchSample},
		{Name: "list-file", Operation: "one read of harehookd's node file", Size: "nodes", Method: Measured, Sizes: sizes, Run: fileSample},
		{Name: "list-members", Operation: "one version of the list over a loopback stream, both ends", Size: "nodes", Method: Measured, Sizes: sizes, Run: endpointsSample},
		{Name: "list-start", Operation: "start of a planner with the list and 110 proxies", Size: "nodes", Method: Isolated, Sizes: sizes, Run: startSample},
		{Name: "list-change", Operation: "update of one node at the planner, 110 proxies", Size: "nodes", Method: Isolated, Sizes: sizes, Run: changeSample},
	}
}
