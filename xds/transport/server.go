package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	statusv3 "github.com/envoyproxy/go-control-plane/envoy/service/status/v3"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/xds"
)

const (
	firstRequestTimeout = 2 * time.Second // of a stream; its first request names its node
	// A sidecar that fell silent is noticed after keepaliveTime and keepaliveTimeout.
	keepaliveTime           = 10 * time.Second
	keepaliveTimeout        = 2 * time.Second
	maxConnectionIdle       = 5 * time.Minute // of a connection without a stream
	maxRequestBytes         = 1 << 20
	maxStreamsPerConnection = 16

	defaultReportInterval = time.Second
	taskQueueSize         = 1024                            // then streams wait
	responseQueueSize     = 2*int(xds.NumResourceTypes) + 2 // more are never out for a stream
)

// Server serves sidecars. It is the controller's command sink.
type Server struct {
	// Controller has to be set before Run.
	Controller *controller.Controller
	// Streams has the sidecars' state. The hub owns it once Run is called.
	Streams        *xds.Server
	Credentials    credentials.TransportCredentials // nil: plain text
	ReportInterval time.Duration                    // between two load reports of a sidecar

	RegisterServices func(grpc.ServiceRegistrar) // registers further services for operators; nil: none
	Log              *zap.Logger

	// MalformedRequests counts requests and entries of load reports that were invalid, UnknownReports reports of a sidecar
	// or node that is not known.
	MalformedRequests, UnknownReports atomic.Uint64

	startedAt    time.Time
	lastStreamID atomic.Uint64
	streams      map[uint64]*stream // by id; owned by the hub
	tasks        chan func()        // run by the hub
	done         chan struct{}      // closed at the hub's end

	batchesMutex sync.Mutex
	batches      [][]controller.Command // that the hub has not taken yet
	batchesReady chan struct{}          // with room for one
}

// NewServer returns a server for at most maxSidecars.
func NewServer(compiler *xds.Compiler, maxSidecars int, log *zap.Logger) *Server {
	s := &Server{
		Log:            log,
		ReportInterval: defaultReportInterval,
		startedAt:      time.Now(),
		streams:        map[uint64]*stream{},
		tasks:          make(chan func(), taskQueueSize),
		done:           make(chan struct{}),
		batchesReady:   make(chan struct{}, 1),
	}
	s.Streams = xds.NewServer(compiler, hubSink{server: s}, maxSidecars)
	return s
}

// now is the time for the state machines: seconds since the server was made.
func (s *Server) now() float64 { return time.Since(s.startedAt).Seconds() }

// Enqueue implements controller.CommandSink. Commands are retained until sidecars have accepted them, so the hub reports
// them as accepted at once.
func (s *Server) Enqueue(batch []controller.Command) {
	s.batchesMutex.Lock()
	s.batches = append(s.batches, batch)
	s.batchesMutex.Unlock()
	select {
	case s.batchesReady <- struct{}{}:
	default: // the hub is to take them already
	}
}

// takeBatches returns the batches that were enqueued since the last time.
func (s *Server) takeBatches() [][]controller.Command {
	s.batchesMutex.Lock()
	defer s.batchesMutex.Unlock()
	batches := s.batches
	s.batches = nil
	return batches
}

// Run serves on a listener until ctx ends. It returns the listener's error if that fails before.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	server := grpc.NewServer(s.options()...)
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(server, adsService{server: s})
	loadv3.RegisterLoadReportingServiceServer(server, loadService{server: s})
	statusv3.RegisterClientStatusDiscoveryServiceServer(server, statusService{server: s})
	if s.RegisterServices != nil {
		s.RegisterServices(server)
	}
	var hub sync.WaitGroup
	hub.Go(func() { s.runHub(ctx) })
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil {
		err = nil
	}
	hub.Wait()
	return err
}

func (s *Server) options() []grpc.ServerOption {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxRequestBytes),
		grpc.MaxConcurrentStreams(maxStreamsPerConnection),
		grpc.ConnectionTimeout(firstRequestTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:              keepaliveTime,
			Timeout:           keepaliveTimeout,
			MaxConnectionIdle: maxConnectionIdle,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             keepaliveTime / 2,
			PermitWithoutStream: true,
		}),
	}
	if s.Credentials != nil {
		options = append(options, grpc.Creds(s.Credentials))
	}
	return options
}
