package configsync

import (
	"errors"
	"fmt"
	"strings"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/records"
)

// Limits are the figures of a member's part.
type Limits struct {
	Lease                   time.Duration // that a follower holds after it was heard
	MaxStreams              int
	FullScopeBytesPerSecond float64       // bytes a second that go out as whole scopes
	FullScopeBurstBytes     float64       // bytes of them that may go at once
	RejectedBackoff         time.Duration // until a revision that was refused is offered again
	MaxMessage              int           // bytes of a response; 0: MaxMessage
}

// MaxMessage is the size of a response, in bytes, that both sides have to let pass. A whole scope and the changes since
// a revision are told in one response: it bounds what a follower may hold. A record costs some 90 bytes beside its name
// and body, so all records of 280,000 tenants fit.
const MaxMessage = 64 << 20

// maxLeasesPerStream bounds the leases that a member keeps, those that ran out included, by the streams that it serves:
// their names come from the wire.
const maxLeasesPerStream = 2

// DefaultLimits are those of members.
var DefaultLimits = Limits{
	Lease:                   3 * time.Second,
	MaxStreams:              4096,
	FullScopeBytesPerSecond: 8 << 20,
	FullScopeBurstBytes:     1 << 20,
	RejectedBackoff:         10 * time.Second,
	MaxMessage:              MaxMessage,
}

// ErrTooManyStreams says that a member serves as many followers as it may.
var ErrTooManyStreams = errors.New("this member serves as many followers as it may: try another one")

// Server tells followers of the records of one member. It is not safe for concurrent use.
type Server struct {
	member  string
	source  records.Source
	limits  Limits
	started time.Time
	limiter fullScopeLimiter
	leases  *leaseTable
	streams map[*Stream]bool
	byName  map[string]*Stream

	Counts Counts
}

// Counts are what a server has sent since it started.
type Counts struct {
	FullScopes     uint64 `json:"Whole"`      // messages with a whole scope
	Changes        uint64 `json:"Changes"`    // messages with changes
	Progress       uint64 `json:"Progress"`   // messages of revisions that touch nothing of the scope
	Heartbeats     uint64 `json:"Heartbeats"` // messages
	FullScopeBytes uint64 `json:"WholeBytes"`
	ChangeBytes    uint64 `json:"ChangeBytes"`
	Accepted       uint64 `json:"Accepted"`
	Rejected       uint64 `json:"Refused"`
}

// addSent books a response.
func (c *Counts) addSent(offer *Update, bytes int) {
	switch {
	case offer.FullScope:
		c.FullScopes++
		c.FullScopeBytes += uint64(bytes)
	case !offer.empty():
		c.Changes++
		c.ChangeBytes += uint64(bytes)
	default:
		c.Progress++
	}
}

// NewServer makes the part of a member whose records are those of a source.
func NewServer(member string, source records.Source, limits Limits, now time.Time) *Server {
	if limits.MaxMessage == 0 {
		limits.MaxMessage = MaxMessage
	}
	return &Server{
		member: member, source: source, limits: limits, started: now,
		limiter: newFullScopeLimiter(limits.FullScopeBytesPerSecond, limits.FullScopeBurstBytes),
		leases:  newLeaseTable(limits.Lease, maxLeasesPerStream*limits.MaxStreams, commit{source.Revision(), now}),
		streams: map[*Stream]bool{}, byName: map[string]*Stream{},
	}
}

// Open begins a stream.
func (s *Server) Open(now time.Time) (*Stream, error) {
	if len(s.streams) >= s.limits.MaxStreams {
		return nil, ErrTooManyStreams
	}
	stream := &Stream{server: s, lastRequestAt: now}
	s.streams[stream] = true
	return stream, nil
}

// Close ends a stream. Its follower's lease runs on.
func (s *Server) Close(stream *Stream) {
	delete(s.streams, stream)
	s.limiter.dequeue(stream)
	if s.byName[stream.handshake.Name] == stream {
		delete(s.byName, stream.handshake.Name)
	}
}

// Committed notes that the source has changed. The caller then asks Send of every stream. Its work grows with the
// number of leases, by some tens of nanoseconds each.
func (s *Server) Committed(now time.Time, change records.Change) {
	s.leases.addCommit(now, change.Revision)
	s.leases.removeExpired(now)
}

// Receive takes a request. After an error the stream is to be ended.
func (s *Server) Receive(now time.Time, stream *Stream, request *discoveryv3.DeltaDiscoveryRequest) error {
	if stream.replaced {
		return ErrReplaced // what it says of the follower is out of date
	}
	stream.lastRequestAt = now
	if !stream.handshakeDone {
		return s.handleHandshake(now, stream, request)
	}
	if request.GetTypeUrl() != TypeURL {
		return fmt.Errorf("type %.100q is not served here", request.GetTypeUrl())
	}
	switch {
	case request.GetResponseNonce() == "":
		stream.heartbeatDue = true
	case request.GetResponseNonce() != stream.nonce || !stream.awaitingAnswer:
		return fmt.Errorf("nonce %.100q answers nothing that was sent", request.GetResponseNonce())
	case request.GetErrorDetail() != nil:
		return s.handleNACK(now, stream, request.GetErrorDetail().GetMessage())
	default:
		stream.awaitingAnswer = false
		stream.acceptedRevision = stream.sentRevision
		s.Counts.Accepted++
	}
	_, err := s.leases.renew(now, stream.handshake.Name, stream.acceptedRevision)
	return err
}

// handleHandshake takes a stream's first request. A follower that comes again leaves its earlier stream behind.
func (s *Server) handleHandshake(now time.Time, stream *Stream, request *discoveryv3.DeltaDiscoveryRequest) error {
	hello, err := parseHandshake(request)
	if err != nil {
		return err
	}
	if _, err := s.leases.renew(now, hello.Name, hello.Revision); err != nil {
		return err
	}
	if earlier := s.byName[hello.Name]; earlier != nil {
		earlier.replaced = true
		s.limiter.dequeue(earlier)
	}
	s.byName[hello.Name] = stream
	stream.handshakeDone, stream.handshake, stream.acceptedRevision = true, hello, hello.Revision
	stream.heartbeatDue = true // answered at once, so that the follower knows its lease
	return nil
}

// maxReasonBytes is how much of a refusal's reason is kept, in bytes.
const maxReasonBytes = 500

func (s *Server) handleNACK(now time.Time, stream *Stream, reason string) error {
	stream.awaitingAnswer = false
	stream.rejectedRevision, stream.retryAt = stream.sentRevision, now.Add(s.limits.RejectedBackoff)
	s.Counts.Rejected++
	held, err := s.leases.renew(now, stream.handshake.Name, stream.acceptedRevision)
	if err != nil {
		return err
	}
	held.rejectedRevision, held.rejectionReason = stream.sentRevision, strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], "")
	return nil
}

// Status tells what the followers of this member hold.
func (s *Server) Status(now time.Time) MemberStatus {
	s.leases.removeExpired(now)
	status := MemberStatus{Member: s.member, At: now, Revision: s.source.Revision(), Settled: now.Sub(s.started) >= s.limits.Lease}
	status.Recent = s.leases.recentCommits(now)
	status.ConvergedRevision, status.Live, status.Leases = s.leases.status(now, status.Revision)
	return status
}
