package followers

import (
	"slices"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/configsync"
)

// direction carries the messages of a connection one way: late, in order, and after a loss none any more.
type direction struct {
	session *session
	last    time.Duration
	broken  bool
}

func (d *direction) send(arrive func()) {
	world := d.session.member.world
	if d.session.member.cut {
		d.broken = true
	}
	if d.broken {
		return
	}
	d.last = max(d.last, world.clock.elapsed+world.delay())
	world.clock.schedule(d.last, func() {
		if !d.broken {
			arrive()
		}
	})
}

// session is a connection of a follower to a member.
type session struct {
	follower   *node
	member     *member
	server     *configsync.Server // of the member's process that it is a connection to
	stream     *configsync.Stream
	atMember   bool // the member takes it for open
	toMember   direction
	toFollower direction
	pumpAt     time.Duration // when the member looks after it next; 0: not planned
}

func newSession(follower *node, to *member) *session {
	one := &session{follower: follower, member: to}
	one.toMember.session, one.toFollower.session = one, one
	return one
}

// request is one of the follower's on its way.
func (s *session) request(message *discoveryv3.DeltaDiscoveryRequest) {
	s.toMember.send(func() {
		if !s.atMember {
			return
		}
		if err := s.server.Receive(s.member.world.clock.now(), s.stream, message); err != nil {
			s.endAtMember()
			return
		}
		s.pump()
	})
}

// pump sends what the member has to say.
func (s *session) pump() {
	world := s.member.world
	for s.atMember {
		response, wait, err := s.stream.Send(world.clock.now())
		if err != nil {
			s.endAtMember()
			return
		}
		if response == nil {
			s.pumpAfter(wait)
			return
		}
		spoil(world.setup.Planted, response)
		world.check.sent(s, response)
		deliver := func() { s.follower.receive(s, response) }
		if world.setup.Planted == PlantedSlowChanges && response.GetNonce() != "" {
			world.clock.after(slowChange, func() { s.toFollower.send(deliver) })
			continue
		}
		s.toFollower.send(deliver)
	}
}

// pumpAfter plans the next look, unless an earlier one is planned.
func (s *session) pumpAfter(wait time.Duration) {
	clock := &s.member.world.clock
	at := clock.elapsed + max(wait, time.Millisecond)
	if s.pumpAt > clock.elapsed && s.pumpAt <= at {
		return
	}
	s.pumpAt = at
	clock.schedule(at, func() {
		if s.pumpAt == at {
			s.pumpAt = 0
			s.pump()
		}
	})
}

// endAtMember closes the member's end; the follower learns of it if the network lets it.
func (s *session) endAtMember() {
	if !s.atMember {
		return
	}
	s.atMember = false
	s.server.Close(s.stream)
	s.member.sessions = slices.DeleteFunc(s.member.sessions, func(other *session) bool { return other == s })
	s.toFollower.send(func() { s.follower.lost(s) })
}

// healthy tells whether nothing stands in the way of a change to the follower.
func (s *session) healthy() bool {
	return !s.toMember.broken && !s.toFollower.broken && !s.member.cut && !s.member.lagging
}

// slowChange is how long the planted fault has a member wait before it tells of a change.
const slowChange = 600 * time.Millisecond

// spoil adds a record to what tells of a revision only, as the planted fault has it.
func spoil(planted Planted, response *discoveryv3.DeltaDiscoveryResponse) {
	content := configsync.ContentOf(response)
	progress := response.GetNonce() != "" && !content.FullScope && content.Records == 0
	if planted == PlantedOutOfScope && progress {
		response.RemovedResources = append(response.RemovedResources, "route/of-others")
	}
}
