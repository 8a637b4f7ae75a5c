package configsync

import (
	"errors"
	"strings"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/records"
)

// MaxMessage is the maximum size of a response in bytes, which both sides must accept. A full scope or a delta is
// always a single response, so it bounds the size of a scope. A record takes about 90 bytes in addition to its name and
// body.
const MaxMessage = 64 << 20

const (
	// maxLeasesPerStream bounds the number of leases of a member, including expired ones, in proportion to its maximum
	// number of streams. A bound is needed because follower names come from the wire.
	maxLeasesPerStream = 2
	// maxReasonBytes is the maximum length of the reason of a NACK; a longer one is truncated.
	maxReasonBytes = 500
)

// Limits contains the limits of a member's service to its followers.
type Limits struct {
	Lease                   time.Duration // duration of a follower's lease, from its last request
	MaxStreams              int
	FullScopeBytesPerSecond float64       // maximum rate of full scopes
	FullScopeBurstBytes     float64       // full scopes that may be sent in a burst
	RejectedBackoff         time.Duration // delay before a rejected revision is sent again
	MaxMessage              int           // maximum bytes of a response; 0 means the constant MaxMessage
}

// DefaultLimits are the limits that members use.
var DefaultLimits = Limits{
	Lease:                   3 * time.Second,
	MaxStreams:              4096,
	FullScopeBytesPerSecond: 8 << 20,
	FullScopeBurstBytes:     1 << 20,
	RejectedBackoff:         10 * time.Second,
	MaxMessage:              MaxMessage,
}

// ErrTooManyStreams is returned by [Server.Open] and [Server.Receive] when a member has reached its maximum number of
// streams or leases.
var ErrTooManyStreams = errors.New("member has reached its maximum number of followers; connect to another member")

// Server is a member's side of configuration sync: it sends the records of a source to followers. It is not safe for
// concurrent use.
type Server struct {
	member  string
	source  records.Source
	limits  Limits
	started time.Time
	limiter fullScopeLimiter
	leases  *leaseTable
	streams map[*Stream]bool   // all open streams
	byName  map[string]*Stream // the latest stream of each follower whose handshake is done

	// Counts counts the messages and answers since the server was created.
	Counts Counts
}

// Counts contains the number of messages and bytes that a server has sent and of the answers to them. The tools use its
// JSON names.
type Counts struct {
	FullScopes     uint64 `json:"Whole"`      // messages with a full scope
	Changes        uint64 `json:"Changes"`    // messages with a delta that changes records
	EmptyUpdates   uint64 `json:"Progress"`   // messages for revisions that change nothing in the scope
	Heartbeats     uint64 `json:"Heartbeats"` // messages
	FullScopeBytes uint64 `json:"WholeBytes"`
	ChangeBytes    uint64 `json:"ChangeBytes"`
	Accepted       uint64 `json:"Accepted"` // ACKs
	Rejected       uint64 `json:"Refused"`  // NACKs
}

// addSent counts a sent update.
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

// NewServer returns the server of a member, which starts at the source's current revision.
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

// Open adds a stream. Its follower is unknown until the first request. Open returns [ErrTooManyStreams] if the maximum
// number of streams is open.
func (s *Server) Open(now time.Time) (*Stream, error) {
	if len(s.streams) >= s.limits.MaxStreams {
		return nil, ErrTooManyStreams
	}
	stream := &Stream{server: s, lastRequestAt: now}
	s.streams[stream] = true
	return stream, nil
}

// Close removes a stream. Its follower's lease remains until it expires.
func (s *Server) Close(stream *Stream) {
	delete(s.streams, stream)
	s.limiter.dequeue(stream)
	if s.byName[stream.handshake.Name] == stream {
		delete(s.byName, stream.handshake.Name)
	}
}

// Committed must be called when the source has a new revision; the caller must then call Send on every stream. Its cost
// is some tens of nanoseconds for each lease.
func (s *Server) Committed(now time.Time, revision uint64) {
	s.leases.addCommit(now, revision)
	s.leases.removeExpired(now)
}

// Receive handles a request on a stream: a handshake, a lease renewal, an ACK or a NACK. After an error the caller must
// end the stream. The error is [ErrReplaced], [ErrTooManyStreams], an [UnsupportedTypeError], an [UnknownNonceError],
// or the reason why a handshake is invalid.
func (s *Server) Receive(now time.Time, stream *Stream, request *discoveryv3.DeltaDiscoveryRequest) error {
	if stream.replaced {
		return ErrReplaced // the follower uses a later stream, so the answers on this one are out of date
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

// handleHandshake handles the first request of a stream. It replaces an earlier stream of the same follower, which may
// still be open at this member although the follower has closed it.
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
	stream.heartbeatDue = true // immediately, so that the follower's lease starts
	return nil
}

// handleNACK handles the rejection of the last sent update.
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

// Status returns the revision of this member and the leases of its followers.
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
