// Package follow connects the machines of package follow to the network. A Service is the part of a group's member: it
// serves followers on the group's gRPC server. A Client is the part of a conductor that is not a member: it follows one
// member at a time and moves to another one where that fails.
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
	// handshakeTimeout is how long a stream may be open without a word of its follower.
	handshakeTimeout = 2 * time.Second
	// maxPendingCommits is how many commits wait to be noted while no stream is awake: as many as the machine remembers.
	maxPendingCommits = 4096
)

// Service serves the followers of one member. Its methods may be called from any goroutine.
type Service struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer

	log   *zap.Logger
	lease time.Duration

	serverMutex sync.Mutex // guards the machine and its streams; never held while something is sent
	server      *configsync.Server

	// The group's goroutine takes only this lock, which is never held for longer than it takes to poke each stream.
	pendingMutex   sync.Mutex
	pendingCommits []commit
	streams        map[*stream]struct{}
	unavailable    error
}

// commit is a change that the machine has not been told of yet.
type commit struct {
	change records.Change
	at     time.Time
}

// NewService makes the part of a member whose records are those of a source.
func NewService(member string, source records.Source, limits configsync.Limits, log *zap.Logger) *Service {
	return &Service{
		log: log, lease: limits.Lease,
		server:  configsync.NewServer(member, source, limits, time.Now()),
		streams: map[*stream]struct{}{},
	}
}

// Register serves followers and operators on a gRPC server.
func (s *Service) Register(server grpc.ServiceRegistrar) {
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(server, s)
	server.RegisterService(statusDescription(followersService, s.Status), s)
}

// Committed notes that the source has changed and wakes all streams. It waits for no stream, so the goroutine that
// applies the group's log may call it.
func (s *Service) Committed(change records.Change) {
	change.Updates = nil // streams ask the source
	now := time.Now()
	s.pendingMutex.Lock()
	defer s.pendingMutex.Unlock()
	if len(s.pendingCommits) >= maxPendingCommits {
		s.pendingCommits = append(s.pendingCommits[:0], s.pendingCommits[maxPendingCommits/2:]...)
	}
	s.pendingCommits = append(s.pendingCommits, commit{change, now})
	for one := range s.streams {
		one.wake()
	}
}

// SetUnavailable ends all streams and refuses new ones with a reason until it is called with nil: a member that may be out of
// date must not extend leases.
func (s *Service) SetUnavailable(reason error) {
	s.pendingMutex.Lock()
	defer s.pendingMutex.Unlock()
	s.unavailable = reason
	if reason == nil {
		return
	}
	for one := range s.streams {
		one.wake()
	}
}

func (s *Service) unavailableReason() error {
	s.pendingMutex.Lock()
	defer s.pendingMutex.Unlock()
	return s.unavailable
}

// withServer runs something with the machine, which has been told of all commits.
func (s *Service) withServer(do func(now time.Time)) {
	s.serverMutex.Lock()
	defer s.serverMutex.Unlock()
	s.pendingMutex.Lock()
	pending := s.pendingCommits
	s.pendingCommits = nil
	s.pendingMutex.Unlock()
	for _, one := range pending {
		s.server.Committed(one.at, one.change)
	}
	do(time.Now())
}

// Status tells what the followers of this member hold.
func (s *Service) Status() (out configsync.MemberStatus) {
	s.withServer(func(now time.Time) { out = s.server.Status(now) })
	return out
}

// Counts tells what was sent since the service was made.
func (s *Service) Counts() (out configsync.Counts) {
	s.withServer(func(time.Time) { out = s.server.Counts })
	return out
}

// StreamAggregatedResources is the variant that followers don't speak.
func (s *Service) StreamAggregatedResources(discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	return status.Error(codes.Unimplemented, "followers are served by delta xDS only")
}

// DeltaAggregatedResources serves one follower until it goes, is silent for a lease's time, or does not read for as
// long. It supervises two goroutines, which end with the stream: one receives and one sends, and either may block.
func (s *Service) DeltaAggregatedResources(wire discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	one, err := s.open()
	if err != nil {
		return grpcStatus(err)
	}
	defer s.close(one)
	ctx, cancel := context.WithCancel(wire.Context())
	defer cancel()
	received := make(chan error, 1)
	go func() { received <- s.receive(wire, one) }()
	sender := &sender{outbox: make(chan *discoveryv3.DeltaDiscoveryResponse), sent: make(chan error, 1)}
	go sender.run(ctx, wire)
	return grpcStatus(s.supervise(ctx, one, received, sender))
}
