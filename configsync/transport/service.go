package transport

import (
	"context"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/records"
)

const (
	// handshakeTimeout is how long a stream may be open without its first request.
	handshakeTimeout = 2 * time.Second
	// maxPendingCommits is the number of commits that wait while no stream runs: as many as a lease table remembers.
	maxPendingCommits = 4096
)

// Service serves the followers of one member. Its methods may be called from any goroutine.
type Service struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer

	log   *zap.Logger
	lease time.Duration

	serverMutex sync.Mutex // guards server and all configsync.Streams; never held during a send
	server      *configsync.Server

	// pendingMutex is the only one that the goroutine that applies the group's log takes. It is never held for longer than
	// it takes to wake each stream.
	pendingMutex   sync.Mutex
	pendingCommits []pendingCommit
	streams        map[*stream]struct{}
	unavailable    error // why no stream is served, nil: they are
}

// pendingCommit is a revision that the server has not been told of yet.
type pendingCommit struct {
	revision    uint64
	committedAt time.Time
}

// NewService returns the service of a member that sends the records of a source.
func NewService(member string, source records.Source, limits configsync.Limits, log *zap.Logger) *Service {
	return &Service{
		log:     log,
		lease:   limits.Lease,
		server:  configsync.NewServer(member, source, limits, time.Now()),
		streams: map[*stream]struct{}{},
	}
}

// Register adds the followers' and the operators' services to a gRPC server.
func (s *Service) Register(registrar grpc.ServiceRegistrar) {
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(registrar, s)
	registrar.RegisterService(statusDescription(followersService, s.Status), s)
}

// Committed has to be called when the source has changed; it wakes all streams, which query the source. It waits for no
// stream, so the goroutine that applies the group's log may call it.
func (s *Service) Committed(change records.Change) {
	now := time.Now()
	s.pendingMutex.Lock()
	defer s.pendingMutex.Unlock()
	if len(s.pendingCommits) >= maxPendingCommits {
		s.pendingCommits = append(s.pendingCommits[:0], s.pendingCommits[maxPendingCommits/2:]...)
	}
	s.pendingCommits = append(s.pendingCommits, pendingCommit{revision: change.Revision, committedAt: now})
	s.wakeStreams()
}

// SetUnavailable ends all streams and rejects new ones with a reason until it is called with nil: a member that may be out
// of date must not extend leases.
func (s *Service) SetUnavailable(reason error) {
	s.pendingMutex.Lock()
	defer s.pendingMutex.Unlock()
	s.unavailable = reason
	if reason != nil {
		s.wakeStreams()
	}
}

// wakeStreams needs pendingMutex.
func (s *Service) wakeStreams() {
	for stream := range s.streams {
		stream.wake()
	}
}

func (s *Service) unavailableReason() error {
	s.pendingMutex.Lock()
	defer s.pendingMutex.Unlock()
	return s.unavailable
}

// withServer calls a function that uses the server, which has been told of all commits before.
func (s *Service) withServer(use func(now time.Time)) {
	s.serverMutex.Lock()
	defer s.serverMutex.Unlock()
	for _, pending := range s.takePendingCommits() {
		s.server.Committed(pending.committedAt, pending.revision)
	}
	use(time.Now())
}

func (s *Service) takePendingCommits() []pendingCommit {
	s.pendingMutex.Lock()
	defer s.pendingMutex.Unlock()
	taken := s.pendingCommits
	s.pendingCommits = nil
	return taken
}

// Status tells what the followers of this member have accepted.
func (s *Service) Status() (memberStatus configsync.MemberStatus) {
	s.withServer(func(now time.Time) { memberStatus = s.server.Status(now) })
	return memberStatus
}

// Counts tells what was sent since the service was made.
func (s *Service) Counts() (counts configsync.Counts) {
	s.withServer(func(time.Time) { counts = s.server.Counts })
	return counts
}

// StreamAggregatedResources returns Unimplemented: it is the variant of xDS that followers don't use.
func (s *Service) StreamAggregatedResources(discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	return status.Error(codes.Unimplemented, "followers are served by delta xDS only")
}

// DeltaAggregatedResources serves one follower until it ends the stream, sends nothing for a lease's time, or does not read
// for as long. It runs two goroutines that end with the stream: one receives and one sends, and either may block.
func (s *Service) DeltaAggregatedResources(grpcStream deltaServer) error {
	opened, err := s.open()
	if err != nil {
		return grpcStatus(err)
	}
	defer s.close(opened)
	ctx, cancel := context.WithCancel(grpcStream.Context())
	defer cancel()
	received := make(chan error, 1)
	go func() { received <- s.receive(grpcStream, opened) }()
	sender := &sender{outbox: make(chan *response), sent: make(chan error, 1)}
	go sender.run(ctx, grpcStream)
	return grpcStatus(s.supervise(ctx, opened, received, sender))
}
