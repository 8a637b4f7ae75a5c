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
	if d.session.member.partitioned {
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
	follower     *follower
	member       *member
	server       *configsync.Server // of the member's process that it is a connection to
	stream       *configsync.Stream
	openAtMember bool // the member takes it for open
	toMember     direction
	toFollower   direction
	nextSendAt   time.Duration // when the member looks after it next; 0: not planned
}

func newSession(follower *follower, to *member) *session {
	one := &session{follower: follower, member: to}
	one.toMember.session, one.toFollower.session = one, one
	return one
}

// request is one of the follower's on its way.
func (s *session) request(message *discoveryv3.DeltaDiscoveryRequest) {
	s.toMember.send(func() {
		if !s.openAtMember {
			return
		}
		if err := s.server.Receive(s.member.world.clock.now(), s.stream, message); err != nil {
			s.endAtMember()
			return
		}
		s.sendPending()
	})
}

// sendPending sends what the member has to say.
func (s *session) sendPending() {
	world := s.member.world
	for s.openAtMember {
		response, wait, err := s.stream.Send(world.clock.now())
		if err != nil {
			s.endAtMember()
			return
		}
		if response == nil {
			s.sendPendingAfter(wait)
			return
		}
		spoil(world.setup.Planted, response)
		world.checker.checkSent(s, response)
		deliver := func() { s.follower.receive(s, response) }
		if world.setup.Planted == PlantedSlowChanges && response.GetNonce() != "" {
			world.clock.after(slowChangeDelay, func() { s.toFollower.send(deliver) })
			continue
		}
		s.toFollower.send(deliver)
	}
}

// sendPendingAfter plans the next look, unless an earlier one is planned.
func (s *session) sendPendingAfter(wait time.Duration) {
	clock := &s.member.world.clock
	at := clock.elapsed + max(wait, time.Millisecond)
	if s.nextSendAt > clock.elapsed && s.nextSendAt <= at {
		return
	}
	s.nextSendAt = at
	clock.schedule(at, func() {
		if s.nextSendAt == at {
			s.nextSendAt = 0
			s.sendPending()
		}
	})
}

// endAtMember closes the member's end; the follower learns of it if the network lets it.
func (s *session) endAtMember() {
	if !s.openAtMember {
		return
	}
	s.openAtMember = false
	s.server.Close(s.stream)
	s.member.sessions = slices.DeleteFunc(s.member.sessions, func(other *session) bool { return other == s })
	s.toFollower.send(func() { s.follower.connectionLost(s) })
}

// healthy tells whether nothing stands in the way of a change to the follower.
func (s *session) healthy() bool {
	return !s.toMember.broken && !s.toFollower.broken && !s.member.partitioned && !s.member.lagging
}

// slowChangeDelay is how long the planted fault has a member wait before it tells of a change.
const slowChangeDelay = 600 * time.Millisecond

// spoil adds a record to what tells of a revision only, as the planted fault has it.
func spoil(planted Planted, response *discoveryv3.DeltaDiscoveryResponse) {
	content := configsync.ContentOf(response)
	progress := response.GetNonce() != "" && !content.FullScope && content.Records == 0
	if planted == PlantedOutOfScope && progress {
		response.RemovedResources = append(response.RemovedResources, "route/of-others")
	}
}
