// Package xds drives the machines of xDS over gRPC for installations other than the platform: sidecars connect to it,
// it tells the core of them and of what they met, and has the core's orders reach them as versions.
package transport

import (
	"context"
	"io"
	"math"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	statusv3 "github.com/envoyproxy/go-control-plane/envoy/service/status/v3"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/xds"
)

const (
	firstRequestTimeout     = 2 * time.Second  // for a stream's first request, which names its node
	keepaliveTime           = 10 * time.Second // a sidecar that fell silent shows after that and the next
	keepaliveTimeout        = 2 * time.Second
	maxConnectionIdle       = 5 * time.Minute // that a connection without a stream stays
	maxRequestBytes         = 1 << 20         // bytes of a request
	taskQueueSize           = 1024            // happenings that may wait; then streams wait
	responseQueueSize       = 2*int(xds.NumResourceTypes) + 2
	maxStreamsPerConnection = 16 // streams of one connection
)

// Server serves sidecars. It is the core's carrier.
type Server struct {
	Controller     *controller.Controller
	Streams        *xds.Server
	Credentials    credentials.TransportCredentials // nil: none
	ReportInterval time.Duration                    // between two load reports of a sidecar

	RegisterServices func(grpc.ServiceRegistrar) // further services for operators; nil: none
	Log              *zap.Logger

	tasks        chan func()
	done         chan struct{}
	startedAt    time.Time
	streams      map[uint64]*stream // the hub's
	lastStreamID atomic.Uint64
	batchesMutex sync.Mutex
	batches      [][]controller.Command // batches that the hub has not taken yet
	batchesReady chan struct{}

	MalformedRequests, UnknownReports atomic.Uint64 // requests that were no such thing, reports of what is not known
}

// stream is one that stands; its goroutines end with its context.
type stream struct {
	id        uint64
	responses chan any
	cancel    context.CancelCauseFunc

	closed bool // the hub's: it has ended, and what was read of it before is void
}

// NewServer makes a front that serves nothing yet. The core is set before Run.
func NewServer(compiler *xds.Compiler, most int, log *zap.Logger) *Server {
	f := &Server{Log: log, tasks: make(chan func(), taskQueueSize), done: make(chan struct{}), startedAt: time.Now(),
		streams: map[uint64]*stream{}, batchesReady: make(chan struct{}, 1), ReportInterval: time.Second}
	f.Streams = xds.NewServer(compiler, hubSink{f}, most)
	return f
}

func (f *Server) now() float64 { return time.Since(f.startedAt).Seconds() }

// Enqueue implements conductor.Carrier. All that is ordered is kept until sidecars hold it, so a mark's call counts as
// taken at once.
func (f *Server) Enqueue(batch []controller.Command) {
	f.batchesMutex.Lock()
	f.batches = append(f.batches, batch)
	f.batchesMutex.Unlock()
	select {
	case f.batchesReady <- struct{}{}:
	default:
	}
}

// Run serves on a listener until ctx ends.
func (f *Server) Run(ctx context.Context, listener net.Listener) error {
	options := []grpc.ServerOption{grpc.MaxRecvMsgSize(maxRequestBytes), grpc.MaxConcurrentStreams(maxStreamsPerConnection),
		grpc.ConnectionTimeout(firstRequestTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout, MaxConnectionIdle: maxConnectionIdle}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true})}
	if f.Credentials != nil {
		options = append(options, grpc.Creds(f.Credentials))
	}
	server := grpc.NewServer(options...)
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(server, adsService{f: f})
	loadv3.RegisterLoadReportingServiceServer(server, loadService{f: f})
	statusv3.RegisterClientStatusDiscoveryServiceServer(server, statusService{f: f})
	if f.RegisterServices != nil {
		f.RegisterServices(server)
	}
	var hub sync.WaitGroup
	hub.Go(func() { f.runHub(ctx) })
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil {
		err = nil
	}
	hub.Wait()
	return err
}

// runHub owns the machines.
func (f *Server) runHub(ctx context.Context) {
	defer close(f.done)
	for {
		select {
		case <-ctx.Done():
			return
		case do := <-f.tasks:
			do()
		case <-f.batchesReady:
			f.batchesMutex.Lock()
			queue := f.batches
			f.batches = nil
			f.batchesMutex.Unlock()
			for _, batch := range queue {
				if err := f.Streams.ApplyCommands(f.now(), batch); err != nil {
					f.Log.Error("orders that make no resources", zap.Error(err))
				}
				for _, o := range batch {
					if o.Kind == controller.RequestAck {
						f.Controller.CommandsAccepted(o.Nonce)
					}
				}
			}
		}
	}
}

// post has the hub do something; it tells whether the hub still runs.
func (f *Server) post(do func()) bool {
	select {
	case f.tasks <- do:
		return true
	case <-f.done:
		return false
	}
}

// call is tell and waits until it is done.
func (f *Server) call(do func()) bool {
	ready := make(chan struct{})
	if !f.post(func() { do(); close(ready) }) {
		return false
	}
	select {
	case <-ready:
		return true
	case <-f.done:
		return false
	}
}

// hubSink is how the machines act; the hub calls it.
type hubSink struct{ f *Server }

func (o hubSink) Send(id uint64, r *discoveryv3.DiscoveryResponse)           { o.send(id, r) }
func (o hubSink) SendDelta(id uint64, r *discoveryv3.DeltaDiscoveryResponse) { o.send(id, r) }

func (o hubSink) send(id uint64, r any) {
	s := o.f.streams[id]
	if s == nil {
		return
	}
	select {
	case s.responses <- r:
	default:
		s.cancel(status.Error(codes.ResourceExhausted, "responses were not read"))
	}
}

func (o hubSink) CloseStream(id uint64, why string) {
	if s := o.f.streams[id]; s != nil {
		s.cancel(status.Error(codes.Aborted, why))
	}
}

func (o hubSink) Joined(proxy int, zone string) {
	o.f.Controller.ProxyJoined(proxy, zone, baselineRate)
}
func (o hubSink) Left(proxy int)               { o.f.Controller.ProxyLeft(proxy) }
func (o hubSink) Acknowledged(proxy, mark int) { o.f.Controller.Acknowledged(proxy, mark) }
func (o hubSink) Rejected(id string, kind xds.ResourceType, why string) {
	o.f.Log.Warn("version refused", zap.String("sidecar", id), zap.Stringer("kind", kind), zap.String("why", why))
}

// SetAddresses tells where nodes take calls; it is said before the core hears of them.
func (f *Server) SetAddresses(nodes []Node) {
	f.call(func() {
		for _, n := range nodes {
			f.Streams.Compiler.SetAddress(n.Name, n.Zone, n.Address)
		}
	})
}

// SetAgreedRoutes has the routes of an agreed version reach all sidecars.
func (f *Server) SetAgreedRoutes(version uint64, routes []xds.Route) {
	f.call(func() {
		if err := f.Streams.SetAgreedRoutes(f.now(), version, routes); err != nil {
			f.Log.Error("routes that make no resources", zap.Error(err))
		}
	})
}

// Node is a node and where it takes calls.
type Node struct {
	Name, Zone string
	Address    xds.Address
}

// adsService serves the aggregated discovery service.
type adsService struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	f *Server
}

func (a adsService) StreamAggregatedResources(wire discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	return a.f.serveStream(wire.Context(), false, func() (streamNode, func(uint64) error, error) {
		r, err := wire.Recv()
		if err != nil {
			return streamNode{}, nil, err
		}
		id, zone := xds.ParseNode(r.GetNode())
		return streamNode{id, zone}, func(stream uint64) error { return a.f.Streams.HandleStateOfTheWorld(a.f.now(), stream, r) }, nil
	}, func(m any) error { return wire.Send(m.(*discoveryv3.DiscoveryResponse)) })
}

func (a adsService) DeltaAggregatedResources(wire discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return a.f.serveStream(wire.Context(), true, func() (streamNode, func(uint64) error, error) {
		r, err := wire.Recv()
		if err != nil {
			return streamNode{}, nil, err
		}
		id, zone := xds.ParseNode(r.GetNode())
		return streamNode{id, zone}, func(stream uint64) error { return a.f.Streams.HandleDelta(a.f.now(), stream, r) }, nil
	}, func(m any) error { return wire.Send(m.(*discoveryv3.DeltaDiscoveryResponse)) })
}

type streamNode struct{ id, zone string }

// serveStream drives one stream: this goroutine sends, another one receives.
func (f *Server) serveStream(ctx context.Context, delta bool, recv func() (streamNode, func(uint64) error, error), send func(any) error) error {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	s := &stream{id: f.lastStreamID.Add(1), responses: make(chan any, responseQueueSize), cancel: end}
	first := time.AfterFunc(firstRequestTimeout, func() { end(status.Error(codes.DeadlineExceeded, "no first request")) })
	defer first.Stop()
	go func() { // ends with the stream: recv fails once serve has returned
		opened := false
		for {
			who, take, err := recv()
			if err != nil {
				end(err)
				return
			}
			if !opened {
				first.Stop()
				opened = true
				if !f.Controller.KnowsZone(who.zone) {
					f.MalformedRequests.Add(1)
					end(status.Errorf(codes.InvalidArgument, "zone %q is not known", who.zone))
					return
				}
				if !f.post(func() {
					if s.closed {
						return
					}
					f.streams[s.id] = s
					if err := f.Streams.Open(f.now(), s.id, delta, who.id, who.zone); err != nil {
						f.MalformedRequests.Add(1)
						end(status.Error(codes.InvalidArgument, err.Error()))
					}
				}) {
					return
				}
			}
			if !f.post(func() {
				if err := take(s.id); err != nil {
					f.MalformedRequests.Add(1)
					end(status.Error(codes.InvalidArgument, err.Error()))
				}
			}) {
				return
			}
		}
	}()
	defer f.post(func() {
		s.closed = true
		delete(f.streams, s.id)
		f.Streams.Close(f.now(), s.id)
	})
	for {
		select {
		case <-ctx.Done():
			return streamStatus(ctx)
		case <-f.done:
			return status.Error(codes.Unavailable, "the conductor stops")
		case m := <-s.responses:
			if err := send(m); err != nil {
				return err
			}
		}
	}
}

func streamStatus(ctx context.Context) error {
	err := context.Cause(ctx)
	if _, is := status.FromError(err); is {
		return err
	}
	return status.FromContextError(err).Err()
}

// loadService takes load reports in: sums of tries at nodes, and calls by route.
type loadService struct {
	loadv3.UnimplementedLoadReportingServiceServer
	f *Server
}

const (
	maxReportEndpoints = 4096    // of one report
	maxReportSeconds   = 600.0   // s that one report may be of
	maxReportCount     = 1 << 30 // more of anything in a report is no count
	baselineRate       = 1.0     // calls a second of a sidecar that joins, as a rough figure: it tells none
)

func (l loadService) StreamLoadStats(wire loadv3.LoadReportingService_StreamLoadStatsServer) error {
	f := l.f
	r, err := wire.Recv()
	if err != nil {
		return err
	}
	id, _ := xds.ParseNode(r.GetNode())
	if err := wire.Send(&loadv3.LoadStatsResponse{SendAllClusters: true, LoadReportingInterval: duration(f.ReportInterval),
		ReportEndpointGranularity: true}); err != nil {
		return err
	}
	for {
		f.handleLoadReport(id, r)
		if r, err = wire.Recv(); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// handleLoadReport tells the core what a sidecar met. A figure that can't be loses its own line only.
func (f *Server) handleLoadReport(id string, r *loadv3.LoadStatsRequest) {
	lines := 0
	var sums []controller.LoadReport
	type usage struct {
		route string
		calls int
		span  float64
	}
	var usages []usage
	var addresses []xds.Address
	for _, c := range r.GetClusterStats() {
		span := c.GetLoadReportInterval().AsDuration().Seconds()
		if !(span > 0) || span > maxReportSeconds {
			f.MalformedRequests.Add(1)
			continue
		}
		for _, local := range c.GetUpstreamLocalityStats() {
			for _, e := range local.GetUpstreamEndpointStats() {
				if lines++; lines > maxReportEndpoints {
					f.MalformedRequests.Add(1)
					return
				}
				s := controller.LoadReport{Completed: boundedCount(e.GetTotalIssuedRequests()), Failed: boundedCount(e.GetTotalErrorRequests()), Interval: span}
				for _, m := range e.GetLoadMetricStats() {
					if n := m.GetNumRequestsFinishedWithMetric(); m.GetMetricName() == xds.LatencySumMetric && n > 0 {
						s.MeanLatency = m.GetTotalMetricValue() / float64(n)
					}
				}
				if s.Completed < s.Failed || s.Completed == 0 || !(s.MeanLatency >= 0) || math.IsInf(s.MeanLatency, 0) || s.Completed == maxReportCount {
					f.MalformedRequests.Add(1)
					continue
				}
				sums, addresses = append(sums, s), append(addresses, xds.AddressOf(e.GetAddress()))
			}
			for _, m := range local.GetLoadMetricStats() {
				if route, is := strings.CutPrefix(m.GetMetricName(), xds.RouteMetric); is {
					usages = append(usages, usage{route, boundedCount(m.GetNumRequestsFinishedWithMetric()), span})
				}
			}
		}
	}
	f.post(func() {
		proxy, known := f.Streams.Number(id)
		if !known {
			f.UnknownReports.Add(1)
			return
		}
		for _, u := range usages {
			f.Controller.AddDemandReport(proxy, u.route, u.calls, u.span)
		}
		for k, s := range sums {
			if s.Node, known = f.Streams.Compiler.NodeAt(addresses[k]); !known {
				f.UnknownReports.Add(1)
				continue
			}
			f.Controller.AddLoadReport(s)
		}
	})
}

func boundedCount(n uint64) int { return int(min(n, maxReportCount)) }
