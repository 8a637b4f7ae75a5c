package followers

import (
	"slices"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/configsync"
)

// minSendDelay is the least time until a member looks again for what to send.
const minSendDelay = time.Millisecond

// session is a connection of a follower to a member.
type session struct {
	follower     *follower
	member       *member
	server       *configsync.Server // of the member's process that accepted it
	stream       *configsync.Stream
	openAtMember bool // the member takes it for open
	toMember     direction
	toFollower   direction
	nextSendAt   time.Duration // when the member looks for what to send; 0: not scheduled
}

func newSession(f *follower, m *member) *session {
	s := &session{follower: f, member: m}
	s.toMember.session = s
	s.toFollower.session = s
	return s
}

// newBrokenSession returns a session that leads nowhere, as of a follower without a network.
func newBrokenSession(f *follower) *session {
	s := newSession(f, f.world.members[0])
	s.toMember.broken = true
	return s
}

// direction carries the messages of a session one way: late and in order. After a loss none passes any more.
type direction struct {
	session     *session
	lastArrival time.Duration // of the last message that was sent
	broken      bool
}

// send has a message arrive after a delay, unless the direction is broken by then.
func (d *direction) send(arrive func()) {
	world := d.session.member.world
	if d.session.member.partitioned {
		d.broken = true
	}
	if d.broken {
		return
	}
	d.lastArrival = max(d.lastArrival, world.clock.elapsed+world.drawDelay())
	world.clock.schedule(d.lastArrival, func() {
		if !d.broken {
			arrive()
		}
	})
}

// request sends a message to the member.
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

// sendPending sends what the member has for the follower, and schedules the next look.
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
		plantInResponse(world.setup.Planted, response)
		world.checker.checkSent(s, response)
		s.respond(response)
	}
}

// respond sends a message to the follower.
func (s *session) respond(response *discoveryv3.DeltaDiscoveryResponse) {
	world := s.member.world
	deliver := func() { s.follower.receive(s, response) }
	if world.setup.Planted == PlantedSlowChanges && response.GetNonce() != "" {
		world.clock.after(plantedSlowChangeDelay, func() { s.toFollower.send(deliver) })
		return
	}
	s.toFollower.send(deliver)
}

// sendPendingAfter schedules the next look for what to send, unless an earlier one is scheduled.
func (s *session) sendPendingAfter(wait time.Duration) {
	clock := &s.member.world.clock
	at := clock.elapsed + max(wait, minSendDelay)
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

// healthy tells whether nothing is in the way of a change to the follower.
func (s *session) healthy() bool {
	return !s.toMember.broken && !s.toFollower.broken && !s.member.partitioned && !s.member.lagging
}
