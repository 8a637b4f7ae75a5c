package xds

import (
	"fmt"
	"maps"
	"slices"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/controller"
)

const maxPendingAcks = 64 // that wait for one sidecar: a later one stands for those before it

// Sink is how a Server acts. Send and SendDelta never block: of each kind one response is out at most.
type Sink interface {
	Send(stream uint64, r *discoveryv3.DiscoveryResponse)
	SendDelta(stream uint64, r *discoveryv3.DeltaDiscoveryResponse)
	// CloseStream closes a stream and says why.
	CloseStream(stream uint64, why string)
	// Joined, Left and Confirmed tell the conductor of a sidecar, as a proxy.
	Joined(proxy int, zone string)
	Left(proxy int)
	Acknowledged(proxy, mark int)
	// Rejected says that a sidecar turned a version down.
	Rejected(sidecar string, kind ResourceType, why string)
}

// Server holds the sidecars, their streams and the tables that they are bound to.
type Server struct {
	Compiler *Compiler

	sink        Sink
	maxSidecars int
	numbers     map[string]int // of a sidecar, given at its first stream
	sidecars    []*sidecar
	streams     map[uint64]*sidecar
}

type sidecar struct {
	id, zone           string
	number             int
	stream             *Stream // nil while none stands
	table              int
	bound              bool
	pendingAcks        []pendingAck
	disconnectedAt     float64 // when its last stream did
	lastResources      []ResourceStatus
	reportedRejections uint64 // of the stream, told so far
}

// pendingAck is a number that the module waits for, and what has to be held for it.
type pendingAck struct {
	nonce    int
	sequence [NumResourceTypes]uint64
}

// NewServer makes one for at most so many sidecars.
func NewServer(compiler *Compiler, out Sink, most int) *Server {
	return &Server{Compiler: compiler, sink: out, maxSidecars: most, numbers: map[string]int{}, streams: map[uint64]*sidecar{}}
}

// Open begins a stream with the sidecar that its first request names. An earlier stream of the same one ends: what it
// still brings counts for nothing.
func (s *Server) Open(now float64, stream uint64, delta bool, id, zone string) error {
	if id == "" {
		return fmt.Errorf("the first request names no node id")
	}
	if len(id) > maxReasonBytes {
		return fmt.Errorf("a node id of %d bytes", len(id))
	}
	number, known := s.numbers[id]
	if !known {
		var free bool
		if number, free = s.allocateNumber(); !free {
			return fmt.Errorf("%d sidecars are known, and no more may join", s.maxSidecars)
		}
		s.numbers[id] = number
		s.sidecars[number] = &sidecar{id: id, number: number}
	}
	c := s.sidecars[number]
	if c.stream != nil {
		old := c.stream.ID
		s.Close(now, old)
		s.sink.CloseStream(old, "another stream of the same node began")
	}
	c.zone, c.stream, c.bound, c.pendingAcks, c.reportedRejections = zone, NewStream(stream, delta), false, nil, 0
	s.streams[stream] = c
	s.sink.Joined(number, zone)
	return nil
}

// allocateNumber gives a number for one more sidecar: a new one, or where there are no more, that of the one that has been without
// a stream for longest. Sidecars that get another id at each start would use all numbers up.
func (s *Server) allocateNumber() (number int, ok bool) {
	if len(s.sidecars) < s.maxSidecars {
		s.sidecars = append(s.sidecars, nil)
		return len(s.sidecars) - 1, true
	}
	for n, c := range s.sidecars {
		if c.stream == nil && (!ok || c.disconnectedAt < s.sidecars[number].disconnectedAt) {
			number, ok = n, true
		}
	}
	if ok {
		delete(s.numbers, s.sidecars[number].id)
	}
	return number, ok
}

// Close says that a stream ended.
func (s *Server) Close(now float64, stream uint64) {
	if c := s.streams[stream]; c != nil {
		delete(s.streams, stream)
		c.lastResources, c.disconnectedAt, c.stream = c.stream.Resources(now), now, nil
		s.sink.Left(c.number)
	}
}

// HandleStateOfTheWorld takes a request of the state of the world variant.
func (s *Server) HandleStateOfTheWorld(now float64, stream uint64, r *discoveryv3.DiscoveryRequest) error {
	c := s.streams[stream]
	if c == nil {
		return nil
	}
	if err := c.stream.HandleStateOfTheWorld(now, r); err != nil {
		return err
	}
	s.handleAnswer(now, c, r.GetTypeUrl(), r.GetErrorDetail().GetMessage())
	return nil
}

// HandleDelta takes a request of the delta variant.
func (s *Server) HandleDelta(now float64, stream uint64, r *discoveryv3.DeltaDiscoveryRequest) error {
	c := s.streams[stream]
	if c == nil {
		return nil
	}
	if err := c.stream.HandleDelta(now, r); err != nil {
		return err
	}
	s.handleAnswer(now, c, r.GetTypeUrl(), r.GetErrorDetail().GetMessage())
	return nil
}

func (s *Server) handleAnswer(now float64, c *sidecar, url, why string) {
	if c.stream.Rejected > c.reportedRejections {
		c.reportedRejections = c.stream.Rejected
		kind, _ := ParseTypeURL(url)
		s.sink.Rejected(c.id, kind, truncateReason(why))
	}
	s.sendDue(now, c)
}

// sendDue sends what is due and confirms the marks whose versions are held: an ACK stands for the mark that its version
// carries, a refusal for none.
func (s *Server) sendDue(now float64, c *sidecar) {
	state, delta := c.stream.Next(now)
	for _, r := range state {
		s.sink.Send(c.stream.ID, r)
	}
	for _, r := range delta {
		s.sink.SendDelta(c.stream.ID, r)
	}
	held := -1
	for k, m := range c.pendingAcks {
		all := true
		for kind, seq := range m.sequence {
			all = all && c.stream.Holds(ResourceType(kind), seq)
		}
		if all {
			held = k
		}
	}
	if held >= 0 {
		// Who holds what a later mark stands for holds all before it.
		s.sink.Acknowledged(c.number, c.pendingAcks[held].nonce)
		c.pendingAcks = slices.Delete(c.pendingAcks, 0, held+1)
	}
}

// ApplyCommands takes a turn's orders: tables change, sidecars are bound, and all that this concerns get what is due.
func (s *Server) ApplyCommands(now float64, batch []controller.Command) error {
	number := -1
	concerned, moved := map[int]bool{}, map[int]bool{}
	for _, o := range batch {
		switch o.Kind {
		case controller.RequestAck:
			number = o.Nonce
		case controller.BindProxy:
			if c := s.connectedSidecar(o.Proxy); c != nil {
				moved[o.Proxy] = !c.bound || c.table != o.Table
				c.table, c.bound = o.Table, true
				concerned[o.Proxy] = true
			}
		}
	}
	touched := s.Compiler.ApplyCommands(batch)
	for _, c := range s.sidecars {
		if c.stream != nil && c.bound && touched[c.table] {
			concerned[c.number] = true
		}
	}
	return s.setTargets(now, number, concerned, moved)
}

// SetAgreedRoutes has the routes of an agreed version reach all sidecars.
func (s *Server) SetAgreedRoutes(now float64, version uint64, routes []Route) error {
	s.Compiler.SetAgreedRoutes(version, routes)
	concerned := map[int]bool{}
	for _, c := range s.sidecars {
		if c.stream != nil && c.bound {
			concerned[c.number] = true
		}
	}
	return s.setTargets(now, -1, concerned, nil)
}

// setTargets has sidecars get what their tables are now, and wait for a mark's version if there is one.
func (s *Server) setTargets(now float64, number int, concerned, moved map[int]bool) error {
	targets := map[int]*Snapshot{} // of each table: made once, however many are on it
	for _, proxy := range slices.Sorted(maps.Keys(concerned)) {
		c := s.sidecars[proxy]
		target := targets[c.table]
		if target == nil {
			var err error
			if target, err = s.Compiler.Snapshot(c.table); err != nil {
				return err
			}
			targets[c.table] = target
		}
		if c.stream.SetTarget(target, moved[proxy]); moved[proxy] {
			for k := range c.pendingAcks {
				c.pendingAcks[k].sequence = target.sequence // who holds the new table whole needs nothing of the old one
			}
		}
		if number >= 0 {
			if c.pendingAcks = append(c.pendingAcks, pendingAck{number, target.sequence}); len(c.pendingAcks) > maxPendingAcks {
				c.pendingAcks = slices.Delete(c.pendingAcks, 0, 1) // the next one stands for it
			}
		}
		s.sendDue(now, c)
	}
	return nil
}

func (s *Server) connectedSidecar(proxy int) *sidecar {
	if proxy < 0 || proxy >= len(s.sidecars) || s.sidecars[proxy].stream == nil {
		return nil
	}
	return s.sidecars[proxy]
}

// SidecarStatus is what an operator sees of one.
type SidecarStatus struct {
	ID, Zone                  string
	Number, Table             int
	Bound, Connected, Delta   bool
	DisconnectedSeconds       float64 // s since its last stream ended
	Stale, Rejected, Accepted uint64
	Unacknowledged            int // marks
	Resources                 []ResourceStatus
}

// Sidecars lists all that are known, by id.
func (s *Server) Sidecars(now float64) (all []SidecarStatus) {
	for _, id := range sortedKeys(s.numbers) {
		c := s.sidecars[s.numbers[id]]
		one := SidecarStatus{ID: id, Zone: c.zone, Number: c.number, Table: c.table, Bound: c.bound, Connected: c.stream != nil,
			Unacknowledged: len(c.pendingAcks), Resources: c.lastResources}
		if c.stream != nil {
			one.Delta, one.Stale, one.Rejected, one.Accepted = c.stream.Delta, c.stream.Stale, c.stream.Rejected, c.stream.Accepted
			one.Resources = c.stream.Resources(now)
		} else {
			one.DisconnectedSeconds = now - c.disconnectedAt
		}
		all = append(all, one)
	}
	return all
}

// Number finds a sidecar's number by its id.
func (s *Server) Number(id string) (int, bool) {
	n, ok := s.numbers[id]
	return n, ok
}

// Connected tells whether a stream stands.
func (s *Server) Connected(id uint64) bool { return s.streams[id] != nil }
