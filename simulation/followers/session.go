package followers

import (
	"slices"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/configsync"
)

// minSendDelay is the minimum time until a member checks again for pending responses.
const minSendDelay = time.Millisecond

// session is a connection from a follower to a member.
type session struct {
	follower     *follower
	member       *member
	server       *configsync.Server // of the member's process that accepted it
	stream       *configsync.Stream
	openAtMember bool // the member considers it open
	toMember     direction
	toFollower   direction
	nextSendAt   time.Duration // time of the next check for pending responses; 0: not scheduled
}

func newSession(f *follower, m *member) *session {
	s := &session{follower: f, member: m}
	s.toMember.session = s
	s.toFollower.session = s
	return s
}

// newBrokenSession returns a session that delivers no messages to a member, for a follower without a network.
func newBrokenSession(f *follower) *session {
	s := newSession(f, f.world.members[0])
	s.toMember.broken = true
	return s
}

// direction delivers the messages of a session in one direction, with a delay and in order. Once it is broken, it
// delivers no further messages.
type direction struct {
	session     *session
	lastArrival time.Duration // arrival time of the last message that was sent
	broken      bool
}

// send schedules the arrival of a message after a random delay. The message is lost if the direction is broken by then.
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

// sendPending sends the pending responses for the follower, and schedules the next check.
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

// sendPendingAfter schedules the next check for pending responses, unless an earlier one is scheduled.
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

// endAtMember closes the member's end. The follower is notified if the network delivers the message.
func (s *session) endAtMember() {
	if !s.openAtMember {
		return
	}
	s.openAtMember = false
	s.server.Close(s.stream)
	s.member.sessions = slices.DeleteFunc(s.member.sessions, func(other *session) bool { return other == s })
	s.toFollower.send(func() { s.follower.connectionLost(s) })
}

// healthy reports whether no fault of the session or its member prevents a change from reaching the follower.
func (s *session) healthy() bool {
	return !s.toMember.broken && !s.toFollower.broken && !s.member.partitioned && !s.member.lagging
}
