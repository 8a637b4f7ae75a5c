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

// leasesPerStream bounds the leases that a member keeps, those that ran out included, by the streams that it serves:
// their names come from the wire.
const leasesPerStream = 2

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
	whole   allowance
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

// sent books a response.
func (c *Counts) sent(offer *Update, bytes int) {
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
		whole:   newAllowance(limits.FullScopeBytesPerSecond, limits.FullScopeBurstBytes),
		leases:  newLeaseTable(limits.Lease, leasesPerStream*limits.MaxStreams, commit{source.Revision(), now}),
		streams: map[*Stream]bool{}, byName: map[string]*Stream{},
	}
}

// Open begins a stream.
func (s *Server) Open(now time.Time) (*Stream, error) {
	if len(s.streams) >= s.limits.MaxStreams {
		return nil, ErrTooManyStreams
	}
	stream := &Stream{server: s, heardAt: now}
	s.streams[stream] = true
	return stream, nil
}

// Close ends a stream. Its follower's lease runs on.
func (s *Server) Close(stream *Stream) {
	delete(s.streams, stream)
	s.whole.leave(stream)
	if s.byName[stream.hello.Name] == stream {
		delete(s.byName, stream.hello.Name)
	}
}

// Committed notes that the source has changed. The caller then asks Send of every stream. Its work grows with the
// number of leases, by some tens of nanoseconds each.
func (s *Server) Committed(now time.Time, change records.Change) {
	s.leases.committed(now, change.Revision)
	s.leases.expire(now)
}

// Receive takes a request. After an error the stream is to be ended.
func (s *Server) Receive(now time.Time, stream *Stream, request *discoveryv3.DeltaDiscoveryRequest) error {
	if stream.replaced {
		return ErrReplaced // what it says of the follower is out of date
	}
	stream.heardAt = now
	if !stream.open {
		return s.begin(now, stream, request)
	}
	if request.GetTypeUrl() != TypeURL {
		return fmt.Errorf("type %.100q is not served here", request.GetTypeUrl())
	}
	switch {
	case request.GetResponseNonce() == "":
		stream.heartbeat = true
	case request.GetResponseNonce() != stream.nonce || !stream.waiting:
		return fmt.Errorf("nonce %.100q answers nothing that was sent", request.GetResponseNonce())
	case request.GetErrorDetail() != nil:
		return s.refused(now, stream, request.GetErrorDetail().GetMessage())
	default:
		stream.waiting = false
		stream.held = stream.offered
		s.Counts.Accepted++
	}
	_, err := s.leases.renew(now, stream.hello.Name, stream.held)
	return err
}

// begin takes a stream's first request. A follower that comes again leaves its earlier stream behind.
func (s *Server) begin(now time.Time, stream *Stream, request *discoveryv3.DeltaDiscoveryRequest) error {
	hello, err := parseHello(request)
	if err != nil {
		return err
	}
	if _, err := s.leases.renew(now, hello.Name, hello.Revision); err != nil {
		return err
	}
	if earlier := s.byName[hello.Name]; earlier != nil {
		earlier.replaced = true
		s.whole.leave(earlier)
	}
	s.byName[hello.Name] = stream
	stream.open, stream.hello, stream.held = true, hello, hello.Revision
	stream.heartbeat = true // answered at once, so that the follower knows its lease
	return nil
}

// maxReason is how much of a refusal's reason is kept, in bytes.
const maxReason = 500

func (s *Server) refused(now time.Time, stream *Stream, reason string) error {
	stream.waiting = false
	stream.refused, stream.retryAt = stream.offered, now.Add(s.limits.RejectedBackoff)
	s.Counts.Rejected++
	held, err := s.leases.renew(now, stream.hello.Name, stream.held)
	if err != nil {
		return err
	}
	held.refused, held.reason = stream.offered, strings.ToValidUTF8(reason[:min(len(reason), maxReason)], "")
	return nil
}

// Status tells what the followers of this member hold.
func (s *Server) Status(now time.Time) MemberStatus {
	s.leases.expire(now)
	status := MemberStatus{Member: s.member, At: now, Revision: s.source.Revision(), Settled: now.Sub(s.started) >= s.limits.Lease}
	status.Recent = s.leases.recent(now)
	status.ConvergedRevision, status.Live, status.Leases = s.leases.status(now, status.Revision)
	return status
}
