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
	// handshakeTimeout is the maximum time between the opening of a stream and its first request.
	handshakeTimeout = 2 * time.Second
	// maxPendingCommits is the maximum number of commits queued while no stream processes them. The lease table keeps as
	// many.
	maxPendingCommits = 4096
)

// Service serves the followers of one member. Its methods are safe for concurrent use.
type Service struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer

	log   *zap.Logger
	lease time.Duration

	serverMutex sync.Mutex // guards server and all configsync.Streams; never held during a send
	server      *configsync.Server

	// pendingMutex guards the fields below. It is the only mutex that the goroutine that applies the group's log acquires,
	// and is held only for as long as waking all streams takes.
	pendingMutex   sync.Mutex
	pendingCommits []pendingCommit
	streams        map[*stream]struct{}
	unavailable    error // why streams are rejected; nil if they are served
}

// pendingCommit is a committed revision that has not been passed to the server yet.
type pendingCommit struct {
	revision    uint64
	committedAt time.Time
}

// NewService returns the service of a member. Followers receive the records of source.
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
	registrar.RegisterService(statusServiceDesc(followersService, s.Status), s)
}

// Committed must be called after the source has changed. It wakes all streams, which then query the source. It does not
// wait for any stream, so the goroutine that applies the group's log may call it.
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

// SetUnavailable ends all streams and rejects new ones with the given reason until it is called with nil. It is meant
// for a member that may be out of date, which must not extend leases.
func (s *Service) SetUnavailable(reason error) {
	s.pendingMutex.Lock()
	defer s.pendingMutex.Unlock()
	s.unavailable = reason
	if reason != nil {
		s.wakeStreams()
	}
}

// wakeStreams wakes all streams. The caller must hold pendingMutex.
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

// withServer passes all pending commits to the server, then calls use with serverMutex held.
func (s *Service) withServer(use func(now time.Time)) {
	s.serverMutex.Lock()
	defer s.serverMutex.Unlock()
	for _, pending := range s.drainPendingCommits() {
		s.server.Committed(pending.committedAt, pending.revision)
	}
	use(time.Now())
}

func (s *Service) drainPendingCommits() []pendingCommit {
	s.pendingMutex.Lock()
	defer s.pendingMutex.Unlock()
	commits := s.pendingCommits
	s.pendingCommits = nil
	return commits
}

// Status returns the state of this member's followers.
func (s *Service) Status() (memberStatus configsync.MemberStatus) {
	s.withServer(func(now time.Time) { memberStatus = s.server.Status(now) })
	return memberStatus
}

// Counts returns the numbers of messages sent since the service was created.
func (s *Service) Counts() (counts configsync.Counts) {
	s.withServer(func(time.Time) { counts = s.server.Counts })
	return counts
}

// StreamAggregatedResources returns Unimplemented: followers do not use state-of-the-world xDS.
func (s *Service) StreamAggregatedResources(discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	return status.Error(codes.Unimplemented, "only delta xDS is supported")
}

// DeltaAggregatedResources serves one follower until it ends the stream, or until it sends nothing or reads nothing for
// the lease duration. It starts two goroutines that end with the stream: one receives and one sends, and either may
// block.
func (s *Service) DeltaAggregatedResources(grpcStream deltaServer) error {
	st, err := s.open()
	if err != nil {
		return grpcStatus(err)
	}
	defer s.close(st)
	ctx, cancel := context.WithCancel(grpcStream.Context())
	defer cancel()
	receiverErr := make(chan error, 1)
	go func() { receiverErr <- s.receive(grpcStream, st) }()
	sender := &sender{outbox: make(chan *response), sent: make(chan error, 1)}
	go sender.run(ctx, grpcStream)
	return grpcStatus(s.supervise(ctx, st, receiverErr, sender))
}
