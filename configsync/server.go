package configsync

import (
	"errors"
	"strings"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/records"
)

// MaxMessage is the size of a response, in bytes, that both sides have to accept. A full scope and the changes since a
// revision are one response each, so it bounds the size of a scope. A record costs some 90 bytes beside its name and body.
const MaxMessage = 64 << 20

const (
	// maxLeasesPerStream bounds the leases that a member has, those that ran out included, by the streams that it serves:
	// their names come from the wire.
	maxLeasesPerStream = 2
	// maxReasonBytes is the part of a NACK's reason that is retained.
	maxReasonBytes = 500
)

// Limits bound what a member does for its followers.
type Limits struct {
	Lease                   time.Duration // of a follower, from its last request on
	MaxStreams              int
	FullScopeBytesPerSecond float64       // that are sent as full scopes
	FullScopeBurstBytes     float64       // of full scopes that may be sent at once
	RejectedBackoff         time.Duration // until a rejected revision is sent again
	MaxMessage              int           // bytes of a response; 0: the constant MaxMessage
}

// DefaultLimits are those of members.
var DefaultLimits = Limits{
	Lease:                   3 * time.Second,
	MaxStreams:              4096,
	FullScopeBytesPerSecond: 8 << 20,
	FullScopeBurstBytes:     1 << 20,
	RejectedBackoff:         10 * time.Second,
	MaxMessage:              MaxMessage,
}

// ErrTooManyStreams says that a member serves as many followers as it may; [Server.Open] and [Server.Receive] return it.
var ErrTooManyStreams = errors.New("this member serves as many followers as it may: try another one")

// Server is a member's half of configuration sync: it sends the records of a source to followers. It is not safe for
// concurrent use.
type Server struct {
	member  string
	source  records.Source
	limits  Limits
	started time.Time
	limiter fullScopeLimiter
	leases  *leaseTable
	streams map[*Stream]bool   // all that are open
	byName  map[string]*Stream // the latest of each follower, from its handshake on

	// Counts is what was sent and answered since the server was made.
	Counts Counts
}

// Counts are the messages and bytes that a server has sent, and the answers to them. Its JSON names are those of the
// tools.
type Counts struct {
	FullScopes     uint64 `json:"Whole"`      // messages with a full scope
	Changes        uint64 `json:"Changes"`    // messages with a delta that changes records
	EmptyUpdates   uint64 `json:"Progress"`   // messages for revisions that change nothing of the scope
	Heartbeats     uint64 `json:"Heartbeats"` // messages
	FullScopeBytes uint64 `json:"WholeBytes"`
	ChangeBytes    uint64 `json:"ChangeBytes"`
	Accepted       uint64 `json:"Accepted"` // ACKs
	Rejected       uint64 `json:"Refused"`  // NACKs
}

// addSent counts an update that was sent.
func (c *Counts) addSent(update *Update, bytes int) {
	switch {
	case update.FullScope:
		c.FullScopes++
		c.FullScopeBytes += uint64(bytes)
	case !update.isEmpty():
		c.Changes++
		c.ChangeBytes += uint64(bytes)
	default:
		c.EmptyUpdates++
	}
}

// NewServer returns the server of a member. It reads the source's current revision.
func NewServer(member string, source records.Source, limits Limits, now time.Time) *Server {
	if limits.MaxMessage == 0 {
		limits.MaxMessage = MaxMessage
	}
	first := commit{revision: source.Revision(), committedAt: now}
	return &Server{
		member:  member,
		source:  source,
		limits:  limits,
		started: now,
		limiter: newFullScopeLimiter(limits.FullScopeBytesPerSecond, limits.FullScopeBurstBytes),
		leases:  newLeaseTable(limits.Lease, maxLeasesPerStream*limits.MaxStreams, first),
		streams: map[*Stream]bool{},
		byName:  map[string]*Stream{},
	}
}

// Open adds a stream, whose follower is known with its first request. It returns [ErrTooManyStreams] if there are as many
// as there may be.
func (s *Server) Open(now time.Time) (*Stream, error) {
	if len(s.streams) >= s.limits.MaxStreams {
		return nil, ErrTooManyStreams
	}
	stream := &Stream{server: s, lastRequestAt: now}
	s.streams[stream] = true
	return stream, nil
}

// Close removes a stream. Its follower's lease runs on.
func (s *Server) Close(stream *Stream) {
	delete(s.streams, stream)
	s.limiter.dequeue(stream)
	if s.byName[stream.handshake.Name] == stream {
		delete(s.byName, stream.handshake.Name)
	}
}

// Committed has to be called when the source has a new revision; the caller then calls Send of every stream. Its work grows
// with the number of leases, by some tens of nanoseconds each.
func (s *Server) Committed(now time.Time, revision uint64) {
	s.leases.addCommit(now, revision)
	s.leases.removeExpired(now)
}

// Receive handles a request of a stream: its handshake, a lease renewal, an ACK or a NACK. After an error the stream has to
// be ended: [ErrReplaced], [ErrTooManyStreams], an [UnsupportedTypeError], an [UnknownNonceError], or what makes a
// handshake invalid.
func (s *Server) Receive(now time.Time, stream *Stream, request *discoveryv3.DeltaDiscoveryRequest) error {
	if stream.replaced {
		return ErrReplaced // its follower has moved on, and its answers are out of date
	}
	stream.lastRequestAt = now
	if !stream.handshakeDone {
		return s.handleHandshake(now, stream, request)
	}
	if request.GetTypeUrl() != TypeURL {
		return &UnsupportedTypeError{TypeURL: request.GetTypeUrl()}
	}
	nonce := request.GetResponseNonce()
	switch {
	case nonce == "":
		stream.heartbeatDue = true
	case nonce != stream.nonce || !stream.awaitingAnswer:
		return &UnknownNonceError{Nonce: nonce}
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

// handleHandshake handles a stream's first request. An earlier stream of the same follower is replaced: it may not have
// ended yet here although the follower has left it.
func (s *Server) handleHandshake(now time.Time, stream *Stream, request *discoveryv3.DeltaDiscoveryRequest) error {
	handshake, err := parseHandshake(request)
	if err != nil {
		return err
	}
	if _, err := s.leases.renew(now, handshake.Name, handshake.Revision); err != nil {
		return err
	}
	if earlier := s.byName[handshake.Name]; earlier != nil {
		earlier.replaced = true
		s.limiter.dequeue(earlier)
	}
	s.byName[handshake.Name] = stream
	stream.handshakeDone = true
	stream.handshake = handshake
	stream.acceptedRevision = handshake.Revision
	stream.heartbeatDue = true // at once, so that the follower knows its lease
	return nil
}

// handleNACK handles the rejection of the update that was sent last.
func (s *Server) handleNACK(now time.Time, stream *Stream, reason string) error {
	stream.awaitingAnswer = false
	stream.rejectedRevision = stream.sentRevision
	stream.retryAt = now.Add(s.limits.RejectedBackoff)
	s.Counts.Rejected++
	renewed, err := s.leases.renew(now, stream.handshake.Name, stream.acceptedRevision)
	if err != nil {
		return err
	}
	renewed.rejectedRevision = stream.sentRevision
	renewed.rejectionReason = strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], "")
	return nil
}

// Status tells what the followers of this member have accepted.
func (s *Server) Status(now time.Time) MemberStatus {
	s.leases.removeExpired(now)
	status := MemberStatus{
		Member:   s.member,
		At:       now,
		Revision: s.source.Revision(),
		Settled:  now.Sub(s.started) >= s.limits.Lease,
		Recent:   s.leases.recentCommits(now),
	}
	s.leases.addTo(&status, now)
	return status
}
