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
	// firstRequestTimeout limits the time until the first request of a stream, which identifies its node, and the
	// handshake of a connection.
	firstRequestTimeout = 2 * time.Second
	// A connection on which nothing is received is closed after keepaliveTime plus keepaliveTimeout.
	keepaliveTime           = 10 * time.Second
	keepaliveTimeout        = 2 * time.Second
	maxConnectionIdle       = 5 * time.Minute // of a connection without streams
	maxRequestBytes         = 1 << 20
	maxStreamsPerConnection = 16

	defaultReportInterval = time.Second
	taskQueueSize         = 1024                            // streams block when the queue is full
	responseQueueSize     = 2*int(xds.NumResourceTypes) + 2 // a stream has fewer unanswered responses: one of each type
)

// Server serves xDS to sidecars. It implements controller.CommandSink.
type Server struct {
	// Controller must be set before Run is called.
	Controller *controller.Controller
	// Streams manages the sidecars and their streams. The hub owns it once Run is called.
	Streams        *xds.Server
	Credentials    credentials.TransportCredentials // nil: plaintext
	ReportInterval time.Duration                    // interval between load reports of a sidecar

	RegisterServices func(grpc.ServiceRegistrar) // registers additional services for operators; nil: none
	Log              *zap.Logger

	// MalformedRequests counts invalid requests, and invalid entries of load reports. UnknownReports counts load
	// reports of unknown sidecars, and entries for unknown nodes.
	MalformedRequests, UnknownReports atomic.Uint64

	startedAt    time.Time
	lastStreamID atomic.Uint64
	streams      map[uint64]*stream // by id; owned by the hub
	tasks        chan func()        // to run on the hub
	done         chan struct{}      // closed when the hub stops

	batchesMutex sync.Mutex
	batches      [][]controller.Command // enqueued and not yet applied by the hub
	batchesReady chan struct{}          // signals the hub that batches were enqueued; capacity 1
}

// NewServer returns a server for at most maxSidecars sidecars.
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

// now returns the time for the state machines: seconds since the server was created.
func (s *Server) now() float64 { return time.Since(s.startedAt).Seconds() }

// Enqueue implements controller.CommandSink. The state machines retain the commands until the sidecars have accepted
// them, so the hub reports them to the controller as accepted immediately.
func (s *Server) Enqueue(batch []controller.Command) {
	s.batchesMutex.Lock()
	s.batches = append(s.batches, batch)
	s.batchesMutex.Unlock()
	select {
	case s.batchesReady <- struct{}{}:
	default: // the hub is already notified
	}
}

// dequeueBatches removes and returns the batches that were enqueued since the previous call.
func (s *Server) dequeueBatches() [][]controller.Command {
	s.batchesMutex.Lock()
	defer s.batchesMutex.Unlock()
	batches := s.batches
	s.batches = nil
	return batches
}

// Run serves on a listener until ctx is done, and then returns nil. If serving fails earlier, it returns the error.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	grpcServer := grpc.NewServer(s.options()...)
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(grpcServer, adsService{server: s})
	loadv3.RegisterLoadReportingServiceServer(grpcServer, loadService{server: s})
	statusv3.RegisterClientStatusDiscoveryServiceServer(grpcServer, statusService{server: s})
	if s.RegisterServices != nil {
		s.RegisterServices(grpcServer)
	}
	var hub sync.WaitGroup
	hub.Go(func() { s.runHub(ctx) })
	stop := context.AfterFunc(ctx, grpcServer.Stop)
	defer stop()
	err := grpcServer.Serve(listener)
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
