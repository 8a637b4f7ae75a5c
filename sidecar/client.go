package sidecar

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/protobuf/types/known/durationpb"

	"harehook.dev/harehook/xds"
)

// Timeouts of the link. The conductor that fell silent is left after pingAfter and pingWithin.
const (
	dialTimeout           = 3 * time.Second
	keepaliveTime         = 10 * time.Second
	keepaliveTimeout      = 2 * time.Second
	initialBackoff        = 200 * time.Millisecond // before the next conductor is asked; twice that each time
	maxBackoff            = 5 * time.Second
	maxResponseBytes      = 8 << 20 // bytes of a response
	defaultReportInterval = time.Second
)

// Client keeps a stream to one of some conductors and has a holder take what it brings.
type Client struct {
	Cache       *ResourceCache
	Controllers []string
	Store       *Store // nil: nothing outlives the process
	Load        *LoadRecorder
	Credentials credentials.TransportCredentials // nil: none
	Log         *zap.Logger

	Connected atomic.Bool
	Streams   atomic.Uint64 // begun so far

	table atomic.Pointer[RoutingTable]
}

// Table is what calls are routed by now; it never waits.
func (l *Client) Table() *RoutingTable {
	if t := l.table.Load(); t != nil {
		return t
	}
	return &RoutingTable{}
}

// Run loads what was held last and keeps a stream until ctx ends. Conductors are asked in turn, each sidecar beginning
// at another one, with pauses that grow and differ.
func (l *Client) Run(ctx context.Context) {
	if l.Store != nil {
		if err := l.Store.Load(l.Cache); err != nil {
			l.Log.Error("what was held last is not used", zap.Error(err))
		}
	}
	l.table.Store(l.Cache.Table())
	h := fnv.New64a()
	h.Write([]byte(l.Cache.ID))
	chance, pause := Random{Seed: h.Sum64()}, initialBackoff
	for next := int(h.Sum64() % uint64(len(l.Controllers))); ctx.Err() == nil; next = (next + 1) % len(l.Controllers) {
		began := time.Now()
		err := l.runStream(ctx, l.Controllers[next])
		l.Connected.Store(false)
		if ctx.Err() != nil {
			return
		}
		l.Log.Warn("stream ended", zap.String("conductor", l.Controllers[next]), zap.Error(err))
		if time.Since(began) > maxBackoff {
			pause = initialBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration((0.5 + chance.Next()) * float64(pause))):
		}
		pause = min(2*pause, maxBackoff)
	}
}

func (l *Client) runStream(ctx context.Context, address string) error {
	secure := l.Credentials
	if secure == nil {
		secure = insecure.NewCredentials()
	}
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(secure),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: false}),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: dialTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes)))
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	client := discoveryv3.NewAggregatedDiscoveryServiceClient(conn)
	var reports sync.WaitGroup
	defer reports.Wait()
	defer stop()
	begun := func() {
		l.Streams.Add(1)
		l.Connected.Store(true)
		l.Log.Info("stream begun", zap.String("conductor", address))
		reports.Go(func() { l.sendLoadReports(ctx, loadv3.NewLoadReportingServiceClient(conn)) })
	}
	if l.Cache.Delta {
		s, err := client.DeltaAggregatedResources(ctx)
		if err != nil {
			return err
		}
		return Exchange(s, l.Cache.BeginDelta(), begun, l.Cache.HandleDelta, l.publishAccepted)
	}
	s, err := client.StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	return Exchange(s, l.Cache.BeginStateOfTheWorld(), begun, l.Cache.HandleStateOfTheWorld, l.publishAccepted)
}

// Transport is a stream of either variant: requests go, responses come.
type Transport[Request, Response any] interface {
	Send(Request) error
	Recv() (Response, error)
}

// Exchange sends the first requests and then answers each response until the stream ends. What take accepted is done
// with by accepted, before the conductor is told.
func Exchange[Request, Response any](s Transport[Request, Response], first []Request, begun func(),
	take func(Response) ([]Request, error), accepted func()) error {
	for out := first; ; {
		for _, r := range out {
			if err := s.Send(r); err != nil {
				return err
			}
		}
		if begun != nil {
			begun()
			begun = nil
		}
		got, err := s.Recv()
		if err != nil {
			return err
		}
		if out, err = take(got); err != nil {
			return err
		}
		accepted()
	}
}

// publishAccepted routes by what is accepted and keeps it, before the conductor is told: what a sidecar acknowledged it still
// holds after a crash.
func (l *Client) publishAccepted() {
	l.table.Store(l.Cache.Table())
	if l.Store == nil {
		return
	}
	if err := l.Store.Save(l.Cache); err != nil {
		// A full disk must not stop the calls: it only costs the restart.
		l.Log.Error("what is held could not be kept", zap.Error(err))
	}
}

// sendLoadReports sends what was met as load reports until its stream ends.
func (l *Client) sendLoadReports(ctx context.Context, client loadv3.LoadReportingServiceClient) {
	if l.Load == nil {
		return
	}
	s, err := client.StreamLoadStats(ctx)
	if err != nil {
		return
	}
	if err := s.Send(&loadv3.LoadStatsRequest{Node: l.Cache.node()}); err != nil {
		return
	}
	every := defaultReportInterval
	if got, err := s.Recv(); err != nil {
		return
	} else if d := got.GetLoadReportingInterval().AsDuration(); d > 0 {
		every = d
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		nodes, routes, span := l.Load.Take(time.Now())
		if err := s.Send(&loadv3.LoadStatsRequest{ClusterStats: clusterStats(nodes, routes, span)}); err != nil {
			return
		}
	}
}

// clusterStats tells what was met, a cluster's nodes by zone; routes are metrics of a cluster of their own.
func clusterStats(nodes map[NodeKey]*NodeLoad, routes map[string]int, span time.Duration) (out []*endpointv3.ClusterStats) {
	clusters := map[string]*endpointv3.ClusterStats{}
	localities := map[string]*endpointv3.UpstreamLocalityStats{}
	cluster := func(name string) *endpointv3.ClusterStats {
		c := clusters[name]
		if c == nil {
			c = &endpointv3.ClusterStats{ClusterName: name, LoadReportInterval: durationpb.New(span)}
			clusters[name] = c
			out = append(out, c)
		}
		return c
	}
	for key, sum := range nodes {
		at := key.Cluster + " " + key.Zone
		local := localities[at]
		if local == nil {
			local = &endpointv3.UpstreamLocalityStats{Locality: &corev3.Locality{Zone: key.Zone}}
			localities[at] = local
			c := cluster(key.Cluster)
			c.UpstreamLocalityStats = append(c.UpstreamLocalityStats, local)
		}
		good := uint64(sum.Completed - sum.Failed)
		local.TotalSuccessfulRequests += good
		local.TotalErrorRequests += uint64(sum.Failed)
		local.UpstreamEndpointStats = append(local.UpstreamEndpointStats, &endpointv3.UpstreamEndpointStats{
			Address:                 key.Address.Message(),
			TotalSuccessfulRequests: good, TotalErrorRequests: uint64(sum.Failed), TotalIssuedRequests: uint64(sum.Completed),
			LoadMetricStats: []*endpointv3.EndpointLoadMetricStats{{MetricName: xds.LatencySumMetric, NumRequestsFinishedWithMetric: good,
				TotalMetricValue: sum.LatencySum.Seconds()}}})
	}
	if len(routes) > 0 {
		local := &endpointv3.UpstreamLocalityStats{}
		for name, calls := range routes {
			local.LoadMetricStats = append(local.LoadMetricStats, &endpointv3.EndpointLoadMetricStats{
				MetricName: xds.RouteMetric + name, NumRequestsFinishedWithMetric: uint64(calls)})
		}
		c := cluster(xds.ListenerName)
		c.UpstreamLocalityStats = append(c.UpstreamLocalityStats, local)
	}
	return out
}

// Describe says what is held, for a log line.
func (l *Client) Describe() string {
	t := l.Table()
	lines := 0
	for _, c := range t.Clusters {
		lines += len(c)
	}
	return fmt.Sprintf("%d routes, %d clusters, %d nodes", len(t.Routes), len(t.Clusters), lines)
}
