package transport

import (
	"context"
	"errors"
	"fmt"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"go.uber.org/zap"
	rpc "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/xds"
)

const (
	maxListBytes   = 16 << 20 // bytes of a list
	maxListNodes   = 65536    // nodes of one
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// Endpoint is a node of a list that another service keeps.
type Endpoint struct {
	Node
	State  planner.EndpointState
	Weight float64
}

// EndpointWatcher follows the endpoints of a cluster that another service keeps, as the list of nodes. A version with a fault is
// refused with a reason and the last good one stays; so does it while the service is away.
type EndpointWatcher struct {
	Address, Cluster, Name string
	KnowsZone              func(name string) bool                 // whether it is known
	Credentials            credentials.TransportCredentials       // nil: none
	Accepted               func(version string, nodes []Endpoint) // called with each version that is accepted
	Log                    *zap.Logger
}

// Run follows until ctx ends.
func (m *EndpointWatcher) Run(ctx context.Context) {
	pause, version := initialBackoff, ""
	for ctx.Err() == nil {
		began := time.Now()
		err := m.watch(ctx, &version)
		if ctx.Err() != nil {
			return
		}
		m.Log.Warn("the service that lists nodes is away, the last list stays", zap.String("service", m.Address), zap.Error(err))
		if time.Since(began) > maxBackoff {
			pause = initialBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxBackoff)
	}
}

func (m *EndpointWatcher) watch(ctx context.Context, version *string) error {
	secure := m.Credentials
	if secure == nil {
		secure = insecure.NewCredentials()
	}
	conn, err := grpc.NewClient("passthrough:///"+m.Address, grpc.WithTransportCredentials(secure),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxListBytes)))
	if err != nil {
		return err
	}
	defer conn.Close()
	s, err := discoveryv3.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	ask := &discoveryv3.DiscoveryRequest{Node: &corev3.Node{Id: m.Name, UserAgentName: "harehookd"}, TypeUrl: xds.Endpoints.TypeURL(),
		ResourceNames: []string{m.Cluster}, VersionInfo: *version}
	for {
		if err := s.Send(ask); err != nil {
			return err
		}
		r, err := s.Recv()
		if err != nil {
			return err
		}
		nodes, fault := m.parseEndpoints(r)
		ask = &discoveryv3.DiscoveryRequest{TypeUrl: xds.Endpoints.TypeURL(), ResourceNames: []string{m.Cluster}, ResponseNonce: r.GetNonce()}
		if fault == nil {
			*version = r.GetVersionInfo()
			m.Accepted(*version, nodes)
		} else {
			m.Log.Error("list of nodes refused, the last one stays", zap.String("version", r.GetVersionInfo()), zap.Error(fault))
			ask.ErrorDetail = &rpc.Status{Code: int32(codes.InvalidArgument), Message: fault.Error()}
		}
		ask.VersionInfo = *version
	}
}

// parseEndpoints takes a version as a whole, or not at all: half a list would let nodes go that are there.
func (m *EndpointWatcher) parseEndpoints(r *discoveryv3.DiscoveryResponse) (nodes []Endpoint, err error) {
	if r.GetTypeUrl() != xds.Endpoints.TypeURL() || len(r.GetResources()) != 1 {
		return nil, fmt.Errorf("%d resources of type %q, asked for was one cluster's endpoints", len(r.GetResources()), r.GetTypeUrl())
	}
	var list endpointv3.ClusterLoadAssignment
	if err := proto.Unmarshal(r.GetResources()[0].GetValue(), &list); err != nil || list.GetClusterName() != m.Cluster {
		return nil, fmt.Errorf("not the endpoints of %q", m.Cluster)
	}
	names, addresses := map[string]bool{}, map[xds.Address]bool{}
	ready := 0
	for _, local := range list.GetEndpoints() {
		zone := local.GetLocality().GetZone()
		if !m.KnowsZone(zone) {
			return nil, fmt.Errorf("zone %q is not known", zone)
		}
		for _, e := range local.GetLbEndpoints() {
			one := Endpoint{Weight: 1, State: planner.Ready, Node: Node{Name: e.GetEndpoint().GetHostname(), Zone: zone,
				Address: xds.AddressOf(e.GetEndpoint().GetAddress())}}
			if one.Name == "" {
				one.Name = fmt.Sprintf("%s:%d", one.Address.Host, one.Address.Port)
			}
			switch {
			case one.Address.Host == "" || one.Address.Port == 0 || one.Address.Port > 65535:
				return nil, fmt.Errorf("node %q has no address of host and port", one.Name)
			case names[one.Name] || addresses[one.Address]:
				return nil, fmt.Errorf("node %q is there twice", one.Name)
			case len(nodes) >= maxListNodes:
				return nil, fmt.Errorf("over %d nodes", maxListNodes)
			}
			names[one.Name], addresses[one.Address] = true, true
			if w := e.GetLoadBalancingWeight(); w != nil {
				one.Weight = float64(w.GetValue())
			}
			switch e.GetHealthStatus() {
			case corev3.HealthStatus_DRAINING:
				one.State = planner.Draining
			case corev3.HealthStatus_UNHEALTHY, corev3.HealthStatus_TIMEOUT:
				continue // as though it were not listed: the service knows that it is down
			default:
				ready++
			}
			nodes = append(nodes, one)
		}
	}
	if ready == 0 {
		return nil, errors.New("it names no node that takes calls")
	}
	return nodes, nil
}
