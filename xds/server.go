package xds

import (
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
)

// maxPendingAcks is the maximum of the planner's nonces that wait for one sidecar: a later one stands for those before it.
const maxPendingAcks = 64

// Sink is how a [Server] acts. All methods are called by the goroutine that calls the server, and must neither block nor call
// the server back.
type Sink interface {
	// Send and SendDelta are called with each response of a stream of their variant, in the order in which they have to be
	// sent. Of each type one response at most is not answered.
	Send(stream uint64, r *discoveryv3.DiscoveryResponse)
	SendDelta(stream uint64, r *discoveryv3.DeltaDiscoveryResponse)
	// CloseStream is called when a stream has to be closed, and why; the server has forgotten it by then.
	CloseStream(stream uint64, why string)
	// Joined is called when a sidecar's stream begins; proxy is the sidecar's number.
	Joined(proxy int, zone string)
	// Left is called when that stream ends.
	Left(proxy int)
	// Acknowledged is called when a sidecar has accepted, of all types, what the commands up to a nonce of the planner
	// made of its routing table.
	Acknowledged(proxy, nonce int)
	// Rejected is called with each NACK of a sidecar and its reason.
	Rejected(sidecar string, t ResourceType, why string)
}

// Server has the sidecars, their streams and the routing tables that they are bound to. It is not safe for concurrent use.
type Server struct {
	Compiler *Compiler

	sink        Sink
	maxSidecars int
	numbers     map[string]int      // by sidecar id
	sidecars    []*sidecar          // by number
	streams     map[uint64]*sidecar // by stream id
}

// sidecar is what a server knows of one. It keeps its number over streams.
type sidecar struct {
	id, zone string
	number   int
	stream   *Stream // nil: not connected
	table    int
	bound    bool // to table

	pendingAcks        []pendingAck
	reportedRejections uint64 // of the stream

	disconnectedAt float64          // seconds; the end of its last stream
	lastResources  []ResourceStatus // at that time
}

// pendingAck is a nonce of the planner that waits for a sidecar, and the sequences that have to be accepted for it.
type pendingAck struct {
	nonce    int
	sequence [NumResourceTypes]uint64
}

// NewServer returns a server without sidecars for at most maxSidecars.
func NewServer(compiler *Compiler, sink Sink, maxSidecars int) *Server {
	return &Server{
		Compiler:    compiler,
		sink:        sink,
		maxSidecars: maxSidecars,
		numbers:     map[string]int{},
		streams:     map[uint64]*sidecar{},
	}
}

// Open begins a stream with the sidecar that its first request names. An earlier stream of the same sidecar is closed:
// nothing that still comes by it counts. It returns [ErrNoNodeID], a [NodeIDTooLongError] or a [TooManySidecarsError].
func (s *Server) Open(now float64, stream uint64, delta bool, id, zone string) error {
	if id == "" {
		return ErrNoNodeID
	}
	if len(id) > maxNodeIDBytes {
		return &NodeIDTooLongError{Bytes: len(id)}
	}
	joining, err := s.sidecarOf(id)
	if err != nil {
		return err
	}
	if joining.stream != nil {
		earlier := joining.stream.ID
		s.Close(now, earlier)
		s.sink.CloseStream(earlier, "another stream of the same node began")
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

// sidecarOf returns the sidecar with an id, which gets a number if it is new.
func (s *Server) sidecarOf(id string) (*sidecar, error) {
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

// allocateNumber returns the number for one more sidecar: a new one, or if there is none left that of the sidecar that has
// been disconnected for longest. Sidecars with another id at each start would otherwise use up all numbers.
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

// Close ends a stream. One that is not known, or was replaced, is ignored.
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

// Connected tells whether a stream is open.
func (s *Server) Connected(stream uint64) bool { return s.streams[stream] != nil }

// Number returns a sidecar's number by its id.
func (s *Server) Number(id string) (number int, known bool) {
	number, known = s.numbers[id]
	return number, known
}

// HandleStateOfTheWorld handles a request of the state-of-the-world variant. One of a closed stream is ignored. The errors
// are those of [Stream.HandleStateOfTheWorld].
func (s *Server) HandleStateOfTheWorld(now float64, stream uint64, r *discoveryv3.DiscoveryRequest) error {
	from := s.streams[stream]
	if from == nil {
		return nil
	}
	if err := from.stream.HandleStateOfTheWorld(now, r); err != nil {
		return err
	}
	s.requestHandled(now, from, r.GetTypeUrl(), r.GetErrorDetail().GetMessage())
	return nil
}

// HandleDelta handles a request of the delta variant. One of a closed stream is ignored. The errors are those of
// [Stream.HandleDelta].
func (s *Server) HandleDelta(now float64, stream uint64, r *discoveryv3.DeltaDiscoveryRequest) error {
	from := s.streams[stream]
	if from == nil {
		return nil
	}
	if err := from.stream.HandleDelta(now, r); err != nil {
		return err
	}
	s.requestHandled(now, from, r.GetTypeUrl(), r.GetErrorDetail().GetMessage())
	return nil
}

// requestHandled reports a NACK and sends what a request has made due.
func (s *Server) requestHandled(now float64, from *sidecar, typeURL, reason string) {
	if from.stream.Rejected > from.reportedRejections {
		from.reportedRejections = from.stream.Rejected
		t, _ := ParseTypeURL(typeURL) // the stream has handled it, so it is known
		s.sink.Rejected(from.id, t, truncateReason(reason))
	}
	s.sendDue(now, from)
}
