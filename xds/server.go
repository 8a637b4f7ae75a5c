package xds

import (
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
)

// maxPendingAcks is the maximum number of the planner's nonces that are pending for one sidecar. The oldest one can be
// dropped, because the acknowledgement of a nonce covers all earlier ones.
const maxPendingAcks = 64

// Sink receives the responses and events of a [Server]. All methods are called on the goroutine that calls the server.
// They must neither block nor call methods of the server.
type Sink interface {
	// Send and SendDelta are called with each response of a state-of-the-world or delta stream, in the order in which
	// the responses must be sent. At most one response of each type is unanswered.
	Send(stream uint64, r *discoveryv3.DiscoveryResponse)
	SendDelta(stream uint64, r *discoveryv3.DeltaDiscoveryResponse)
	// CloseStream is called when a stream must be closed, with the reason. The server has already removed the
	// stream.
	CloseStream(stream uint64, reason string)
	// Joined is called when a sidecar opens a stream; proxy is the sidecar's number.
	Joined(proxy int, zone string)
	// Left is called when the stream of a sidecar ends.
	Left(proxy int)
	// Acknowledged is called when a sidecar has accepted the resources of all types that result from the commands up to
	// a nonce of the planner.
	Acknowledged(proxy, nonce int)
	// Rejected is called for each NACK of a sidecar, with its reason.
	Rejected(sidecar string, t ResourceType, reason string)
}

// Server manages the sidecars, their streams and the routing tables that they are bound to. It is not safe for
// concurrent use.
type Server struct {
	Compiler *Compiler

	sink        Sink
	maxSidecars int
	numbers     map[string]int      // by sidecar id
	sidecars    []*sidecar          // by number
	streams     map[uint64]*sidecar // by stream id
}

// sidecar is the server's state of one sidecar. A sidecar keeps its number when it opens another stream.
type sidecar struct {
	id, zone string
	number   int
	stream   *Stream // nil if not connected
	table    int
	bound    bool // whether the sidecar is bound to table

	pendingAcks        []pendingAck
	reportedRejections uint64 // number of NACKs on the stream that were reported to the sink

	disconnectedAt float64          // when the last stream ended, in seconds
	lastResources  []ResourceStatus // their status when the last stream ended
}

// pendingAck is a nonce of the planner that a sidecar has not acknowledged yet. It is acknowledged when the sidecar has
// accepted the target at these sequences.
type pendingAck struct {
	nonce    int
	sequence [NumResourceTypes]uint64
}

// NewServer returns a server for at most maxSidecars sidecars.
func NewServer(compiler *Compiler, sink Sink, maxSidecars int) *Server {
	return &Server{
		Compiler:    compiler,
		sink:        sink,
		maxSidecars: maxSidecars,
		numbers:     map[string]int{},
		streams:     map[uint64]*sidecar{},
	}
}

// Open opens a stream for the sidecar with the node id and zone of the stream's first request. An earlier stream of the
// same sidecar is closed, and requests that still arrive on it are ignored. Open may return [ErrNoNodeID], a
// [NodeIDTooLongError] or a [TooManySidecarsError].
func (s *Server) Open(now float64, stream uint64, delta bool, id, zone string) error {
	if id == "" {
		return ErrNoNodeID
	}
	if len(id) > maxNodeIDBytes {
		return &NodeIDTooLongError{Bytes: len(id)}
	}
	joining, err := s.findOrAddSidecar(id)
	if err != nil {
		return err
	}
	if joining.stream != nil {
		earlier := joining.stream.ID
		s.Close(now, earlier)
		s.sink.CloseStream(earlier, "replaced by another stream of the same node")
	}
	joining.zone = zone
	joining.stream = NewStream(stream, delta)
	joining.bound = false
	joining.pendingAcks = nil
	joining.reportedRejections = 0
	s.streams[stream] = joining
	s.sink.Joined(joining.number, zone)
	return nil
}

// findOrAddSidecar returns the sidecar with the given id. It adds the sidecar and allocates a number if the id is
// unknown.
func (s *Server) findOrAddSidecar(id string) (*sidecar, error) {
	if number, known := s.numbers[id]; known {
		return s.sidecars[number], nil
	}
	number, ok := s.allocateNumber()
	if !ok {
		return nil, &TooManySidecarsError{Max: s.maxSidecars}
	}
	added := &sidecar{id: id, number: number}
	s.numbers[id] = number
	s.sidecars[number] = added
	return added, nil
}

// allocateNumber returns a number for a new sidecar: an unused one, or, if there is none, that of the sidecar that has
// been disconnected for the longest time. Otherwise sidecars that use another id after each restart would exhaust the
// numbers.
func (s *Server) allocateNumber() (number int, ok bool) {
	if len(s.sidecars) < s.maxSidecars {
		s.sidecars = append(s.sidecars, nil)
		return len(s.sidecars) - 1, true
	}
	for candidate, c := range s.sidecars {
		if c.stream != nil {
			continue
		}
		if !ok || c.disconnectedAt < s.sidecars[number].disconnectedAt {
			number = candidate
			ok = true
		}
	}
	if ok {
		delete(s.numbers, s.sidecars[number].id)
	}
	return number, ok
}

// Close removes a stream. It does nothing if the stream is unknown or has been replaced.
func (s *Server) Close(now float64, stream uint64) {
	leaving := s.streams[stream]
	if leaving == nil {
		return
	}
	delete(s.streams, stream)
	leaving.lastResources = leaving.stream.Resources(now)
	leaving.disconnectedAt = now
	leaving.stream = nil
	s.sink.Left(leaving.number)
}

// Connected reports whether a stream is open.
func (s *Server) Connected(stream uint64) bool { return s.streams[stream] != nil }

// Number returns the number of the sidecar with the given id.
func (s *Server) Number(id string) (number int, known bool) {
	number, known = s.numbers[id]
	return number, known
}

// HandleStateOfTheWorld handles a request of the state-of-the-world variant. Requests on a closed stream are ignored.
// The errors are those of [Stream.HandleStateOfTheWorld].
func (s *Server) HandleStateOfTheWorld(now float64, stream uint64, r *discoveryv3.DiscoveryRequest) error {
	sender := s.streams[stream]
	if sender == nil {
		return nil
	}
	if err := sender.stream.HandleStateOfTheWorld(now, r); err != nil {
		return err
	}
	s.completeRequest(now, sender, r.GetTypeUrl(), r.GetErrorDetail().GetMessage())
	return nil
}

// HandleDelta handles a request of the delta variant. Requests on a closed stream are ignored. The errors are those of
// [Stream.HandleDelta].
func (s *Server) HandleDelta(now float64, stream uint64, r *discoveryv3.DeltaDiscoveryRequest) error {
	sender := s.streams[stream]
	if sender == nil {
		return nil
	}
	if err := sender.stream.HandleDelta(now, r); err != nil {
		return err
	}
	s.completeRequest(now, sender, r.GetTypeUrl(), r.GetErrorDetail().GetMessage())
	return nil
}

// completeRequest reports a NACK to the sink and sends the next response if one is due after a request.
func (s *Server) completeRequest(now float64, sender *sidecar, typeURL, reason string) {
	if sender.stream.Rejected > sender.reportedRejections {
		sender.reportedRejections = sender.stream.Rejected
		t, _ := ParseTypeURL(typeURL) // known, since the stream has handled the request
		s.sink.Rejected(sender.id, t, truncateText(reason))
	}
	s.sendDue(now, sender)
}
