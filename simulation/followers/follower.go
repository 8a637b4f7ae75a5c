package followers

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/records"
)

// follower is a controller that receives the configuration. Its name and scope survive a restart of its process.
type follower struct {
	world       *world
	name        string
	scope       records.Scope
	incarnation int  // incremented when a process starts and when it ends
	stopped     bool // no process is running

	machine         *configsync.Follower // of the running process
	backoff         *configsync.Backoff
	session         *session      // nil while the follower is not connected
	lastMessageAt   time.Duration // time of the last message from a member
	rejecting       bool          // it rejects some of the revisions that it receives
	highestRevision uint64        // highest revision that the process has accepted
	disturbedAt     time.Duration // time of the last fault, change of connection or rejected revision
}

// errRejectedAtRandom is the error with which a follower rejects a valid revision.
var errRejectedAtRandom = errors.New("rejected at random")

// start starts a process, which has no records.
func (f *follower) start() {
	f.incarnation++
	f.highestRevision = 0
	f.newMachine()
	f.backoff = configsync.NewBackoff(f.world.memberNames(), f.world.rng.Uint64())
	f.stopped = false
	f.scheduleRenewals(f.incarnation)
	f.connectAfter(f.world.drawUpTo(maxStartDelay))
}

// newMachine replaces the state machine with a new one, which has no records.
func (f *follower) newMachine() {
	rng := rand.New(rand.NewPCG(f.world.rng.Uint64(), 0))
	lease := plantedLease(f.world.setup.Planted)
	f.machine = configsync.NewFollower(f.name, f.scope, lease, func(uint64, map[records.Key]*records.Record) error {
		if f.rejecting && rng.IntN(2) == 0 {
			return errRejectedAtRandom
		}
		return nil
	})
}

// stop ends the process.
func (f *follower) stop() {
	f.markDisturbed()
	f.disconnect()
	f.incarnation++
	f.stopped = true
}

// restart ends the process and starts another one after a delay.
func (f *follower) restart(delay time.Duration) {
	if f.stopped {
		return
	}
	f.stop()
	f.world.clock.after(delay, f.start)
}

// markDisturbed excludes the follower from the delay checks of earlier commits.
func (f *follower) markDisturbed() { f.disturbedAt = f.world.clock.elapsed }

// connectAfter connects after a delay, unless the process has ended or is connected by then.
func (f *follower) connectAfter(delay time.Duration) {
	incarnation := f.incarnation
	f.world.clock.after(delay, func() {
		if f.incarnation == incarnation && f.session == nil {
			f.connect()
		}
	})
}

// connect opens a session to the member that the backoff selects.
func (f *follower) connect() {
	s := newSession(f, f.world.memberNamed(f.backoff.Member()))
	f.session = s
	f.lastMessageAt = f.world.clock.elapsed
	f.markDisturbed()
	handshake := f.machine.Begin(f.world.clock.now())
	s.toMember.send(func() {
		if !s.member.accept(s) {
			s.toFollower.send(func() { f.connectionLost(s) })
		}
	})
	s.request(handshake)
	f.world.clock.after(connectTimeout, func() {
		if f.session == s && !s.openAtMember {
			f.changeMember()
		}
	})
}

// disconnect ends the session. The member is notified if the network delivers the message.
func (f *follower) disconnect() {
	s := f.session
	if s == nil {
		return
	}
	f.markDisturbed()
	f.session = nil
	s.toMember.send(s.endAtMember)
}

// connectionLost handles the end of a session by the member.
func (f *follower) connectionLost(s *session) {
	if f.session == s {
		f.changeMember()
	}
}

// changeMember disconnects from the member and connects to another one after a backoff.
func (f *follower) changeMember() {
	f.disconnect()
	f.markDisturbed()
	if f.world.setup.Planted == PlantedOlderRevision {
		f.newMachine()
	}
	f.connectAfter(f.backoff.Failed())
}

// goOffline cuts the process off from the network for a duration. The process keeps its records and reconnects
// afterwards.
func (f *follower) goOffline(duration time.Duration) {
	incarnation := f.incarnation
	f.disconnect()
	f.session = newBrokenSession(f)
	f.lastMessageAt = f.world.clock.elapsed + duration // prevents a change of member while it is offline
	f.world.clock.after(duration, func() {
		if f.incarnation == incarnation {
			f.session = nil
			f.connectAfter(f.backoff.Failed())
		}
	})
}

// receive handles a message from a member.
func (f *follower) receive(s *session, response *discoveryv3.DeltaDiscoveryResponse) {
	if f.session != s {
		return
	}
	f.lastMessageAt = f.world.clock.elapsed
	f.backoff.Succeeded()
	rejectedBefore := f.machine.Rejected
	reply, accepted, err := f.machine.Receive(response)
	if err != nil {
		f.changeMember()
		return
	}
	if f.machine.Rejected > rejectedBefore {
		f.markDisturbed()
		f.world.outcome.Rejected++
	}
	if accepted {
		f.world.checker.checkAccepted(f)
	}
	if reply != nil {
		s.request(reply)
	}
}

// scheduleRenewals renews the lease periodically while the process runs.
func (f *follower) scheduleRenewals(incarnation int) {
	f.world.clock.after(f.machine.RenewInterval(), func() {
		if f.incarnation != incarnation {
			return
		}
		f.renewLease()
		f.scheduleRenewals(incarnation)
	})
}

// renewLease renews the lease at the member. If no message from the member has arrived for the duration of a lease, it
// connects to another member instead.
func (f *follower) renewLease() {
	if f.session == nil {
		return
	}
	if f.world.clock.elapsed-f.lastMessageAt >= limits(PlantedNone).Lease {
		f.changeMember()
		return
	}
	f.session.request(f.machine.Renew(f.world.clock.now()))
}

// inStep reports whether the follower holds the revision and has a session that is open at its member.
func (f *follower) inStep(revision uint64) bool {
	return !f.stopped && f.session != nil && f.session.openAtMember && f.machine.Revision() == revision
}

// String returns the name and the incarnation, for violations.
func (f *follower) String() string { return fmt.Sprintf("%s (process %d)", f.name, f.incarnation) }
