package xds

import (
	"fmt"
	"maps"
	"slices"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/controller"
)

const marksMost = 64 // that wait for one sidecar: a later one stands for those before it

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
	Rejected(sidecar string, kind Kind, why string)
}

// Server holds the sidecars, their streams and the tables that they are bound to.
type Server struct {
	Compiler *Compiler

	out      Sink
	most     int
	number   map[string]int // of a sidecar, given at its first stream
	sidecars []*sidecar
	streams  map[uint64]*sidecar
}

type sidecar struct {
	id, zone string
	number   int
	stream   *Stream // nil while none stands
	table    int
	bound    bool
	marks    []mark
	ended    float64 // when its last stream did
	last     []ResourceStatus
	refused  uint64 // of the stream, told so far
}

// mark is a number that the module waits for, and what has to be held for it.
type mark struct {
	number int
	need   [Kinds]uint64
}

// NewServer makes one for at most so many sidecars.
func NewServer(compiler *Compiler, out Sink, most int) *Server {
	return &Server{Compiler: compiler, out: out, most: most, number: map[string]int{}, streams: map[uint64]*sidecar{}}
}

// Open begins a stream with the sidecar that its first request names. An earlier stream of the same one ends: what it
// still brings counts for nothing.
func (s *Server) Open(now float64, stream uint64, delta bool, id, zone string) error {
	if id == "" {
		return fmt.Errorf("the first request names no node id")
	}
	if len(id) > reasonShown {
		return fmt.Errorf("a node id of %d bytes", len(id))
	}
	number, known := s.number[id]
	if !known {
		var free bool
		if number, free = s.free(); !free {
			return fmt.Errorf("%d sidecars are known, and no more may join", s.most)
		}
		s.number[id] = number
		s.sidecars[number] = &sidecar{id: id, number: number}
	}
	c := s.sidecars[number]
	if c.stream != nil {
		old := c.stream.ID
		s.Close(now, old)
		s.out.CloseStream(old, "another stream of the same node began")
	}
	c.zone, c.stream, c.bound, c.marks, c.refused = zone, NewStream(stream, delta), false, nil, 0
	s.streams[stream] = c
	s.out.Joined(number, zone)
	return nil
}

// free gives a number for one more sidecar: a new one, or where there are no more, that of the one that has been without
// a stream for longest. Sidecars that get another id at each start would use all numbers up.
func (s *Server) free() (number int, ok bool) {
	if len(s.sidecars) < s.most {
		s.sidecars = append(s.sidecars, nil)
		return len(s.sidecars) - 1, true
	}
	for n, c := range s.sidecars {
		if c.stream == nil && (!ok || c.ended < s.sidecars[number].ended) {
			number, ok = n, true
		}
	}
	if ok {
		delete(s.number, s.sidecars[number].id)
	}
	return number, ok
}

// Close says that a stream ended.
func (s *Server) Close(now float64, stream uint64) {
	if c := s.streams[stream]; c != nil {
		delete(s.streams, stream)
		c.last, c.ended, c.stream = c.stream.Resources(now), now, nil
		s.out.Left(c.number)
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
	s.answered(now, c, r.GetTypeUrl(), r.GetErrorDetail().GetMessage())
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
	s.answered(now, c, r.GetTypeUrl(), r.GetErrorDetail().GetMessage())
	return nil
}

func (s *Server) answered(now float64, c *sidecar, url, why string) {
	if c.stream.Rejected > c.refused {
		c.refused = c.stream.Rejected
		kind, _ := KindOf(url)
		s.out.Rejected(c.id, kind, shorten(why))
	}
	s.push(now, c)
}

// push sends what is due and confirms the marks whose versions are held: an ACK stands for the mark that its version
// carries, a refusal for none.
func (s *Server) push(now float64, c *sidecar) {
	state, delta := c.stream.Next(now)
	for _, r := range state {
		s.out.Send(c.stream.ID, r)
	}
	for _, r := range delta {
		s.out.SendDelta(c.stream.ID, r)
	}
	held := -1
	for k, m := range c.marks {
		all := true
		for kind, seq := range m.need {
			all = all && c.stream.Holds(Kind(kind), seq)
		}
		if all {
			held = k
		}
	}
	if held >= 0 {
		// Who holds what a later mark stands for holds all before it.
		s.out.Acknowledged(c.number, c.marks[held].number)
		c.marks = slices.Delete(c.marks, 0, held+1)
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
			if c := s.at(o.Proxy); c != nil {
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
	return s.aim(now, number, concerned, moved)
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
	return s.aim(now, -1, concerned, nil)
}

// aim has sidecars get what their tables are now, and wait for a mark's version if there is one.
func (s *Server) aim(now float64, number int, concerned, moved map[int]bool) error {
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
			for k := range c.marks {
				c.marks[k].need = target.seq // who holds the new table whole needs nothing of the old one
			}
		}
		if number >= 0 {
			if c.marks = append(c.marks, mark{number, target.seq}); len(c.marks) > marksMost {
				c.marks = slices.Delete(c.marks, 0, 1) // the next one stands for it
			}
		}
		s.push(now, c)
	}
	return nil
}

func (s *Server) at(proxy int) *sidecar {
	if proxy < 0 || proxy >= len(s.sidecars) || s.sidecars[proxy].stream == nil {
		return nil
	}
	return s.sidecars[proxy]
}

// Sidecar is what an operator sees of one.
type Sidecar struct {
	ID, Zone                  string
	Number, Table             int
	Bound, Joined, Delta      bool
	DisconnectedSeconds       float64 // s since its last stream ended
	Stale, Rejected, Accepted uint64
	Unconfirmed               int // marks
	Resources                 []ResourceStatus
}

// Sidecars lists all that are known, by id.
func (s *Server) Sidecars(now float64) (all []Sidecar) {
	for _, id := range sortedNames(s.number) {
		c := s.sidecars[s.number[id]]
		one := Sidecar{ID: id, Zone: c.zone, Number: c.number, Table: c.table, Bound: c.bound, Joined: c.stream != nil,
			Unconfirmed: len(c.marks), Resources: c.last}
		if c.stream != nil {
			one.Delta, one.Stale, one.Rejected, one.Accepted = c.stream.Delta, c.stream.Stale, c.stream.Rejected, c.stream.Accepted
			one.Resources = c.stream.Resources(now)
		} else {
			one.DisconnectedSeconds = now - c.ended
		}
		all = append(all, one)
	}
	return all
}

// Number finds a sidecar's number by its id.
func (s *Server) Number(id string) (int, bool) {
	n, ok := s.number[id]
	return n, ok
}

// Connected tells whether a stream stands.
func (s *Server) Connected(id uint64) bool { return s.streams[id] != nil }
