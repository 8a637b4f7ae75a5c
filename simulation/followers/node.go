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

// follower is a controller that follows.
type follower struct {
	world           *world
	name            string
	scope           records.Scope
	incarnation     int // counts its restarts
	machine         *configsync.Follower
	backoff         *configsync.Backoff
	session         *session // nil while it has none
	lastMessageAt   time.Duration
	absent          bool
	rejecting       bool // some of what it is offered
	highestRevision uint64
	disturbedAt     time.Duration // when it was last disturbed, by a fault or else
}

// errRejectedAtRandom is why a node refuses what it can't find wrong.
var errRejectedAtRandom = errors.New("refused at random")

// start begins a process, which holds nothing.
func (n *follower) start() {
	n.incarnation++
	n.highestRevision = 0
	n.newMachine()
	n.backoff = configsync.NewBackoff(n.world.memberNames(), n.world.rng.Uint64())
	n.absent = false
	n.renewLease(n.incarnation)
	n.connectAfter(n.world.drawUpTo(500 * time.Millisecond))
}

// newMachine makes the machine, which holds nothing.
func (n *follower) newMachine() {
	refuse := rand.New(rand.NewPCG(n.world.rng.Uint64(), 0))
	n.machine = configsync.NewFollower(n.name, n.scope, n.lease(), func(uint64, map[records.Key]*records.Record) error {
		if n.rejecting && refuse.IntN(2) == 0 {
			return errRejectedAtRandom
		}
		return nil
	})
}

func (n *follower) lease() time.Duration {
	lease := limits(n.world.setup.Planted).Lease
	if n.world.setup.Planted == PlantedLongLease {
		lease *= 3
	}
	return lease
}

// stop ends the process.
func (n *follower) stop() {
	n.markDisturbed()
	n.disconnect()
	n.incarnation++
	n.absent = true
}

func (n *follower) markDisturbed() { n.disturbedAt = n.world.clock.elapsed }

// disconnect ends the connection; the member learns of it if the network lets it.
func (n *follower) disconnect() {
	one := n.session
	if one == nil {
		return
	}
	n.markDisturbed()
	n.session = nil
	one.toMember.send(one.endAtMember)
}

// connectionLost is told that the member has ended the connection.
func (n *follower) connectionLost(one *session) {
	if n.session == one {
		n.changeMember()
	}
}

// changeMember leaves the member and tries another one after a pause.
func (n *follower) changeMember() {
	n.disconnect()
	n.markDisturbed()
	if n.world.setup.Planted == PlantedOlderRevision {
		n.newMachine()
	}
	n.connectAfter(n.backoff.Failed())
}

func (n *follower) connectAfter(pause time.Duration) {
	process := n.incarnation
	n.world.clock.after(pause, func() {
		if n.incarnation == process && n.session == nil {
			n.connect()
		}
	})
}

// connect opens a connection to the member whose turn it is.
func (n *follower) connect() {
	one := newSession(n, n.world.memberNamed(n.backoff.Member()))
	n.session, n.lastMessageAt = one, n.world.clock.elapsed
	n.markDisturbed()
	hello := n.machine.Begin(n.world.clock.now())
	one.toMember.send(func() {
		if one.member.server == nil || !one.member.accept(one) {
			one.toFollower.send(func() { n.connectionLost(one) })
		}
	})
	one.request(hello)
	n.world.clock.after(connectTimeout, func() {
		if n.session == one && !one.openAtMember {
			n.changeMember()
		}
	})
}

// receive takes a message of a member.
func (n *follower) receive(one *session, response *discoveryv3.DeltaDiscoveryResponse) {
	if n.session != one {
		return
	}
	now := n.world.clock.now()
	n.lastMessageAt = n.world.clock.elapsed
	n.backoff.Succeeded()
	refused := n.machine.Rejected
	reply, accepted, err := n.machine.Receive(now, response)
	if err != nil {
		n.changeMember()
		return
	}
	if n.machine.Rejected > refused {
		n.markDisturbed()
		n.world.outcome.Rejected++
	}
	if accepted {
		n.world.checker.checkAccepted(n)
	}
	if reply != nil {
		one.request(reply)
	}
}

// renewLease renews the lease and notices a member that is not heard any more.
func (n *follower) renewLease(process int) {
	n.world.clock.after(n.machine.RenewEvery(), func() {
		if n.incarnation != process {
			return
		}
		if n.session != nil {
			if n.world.clock.elapsed-n.lastMessageAt >= limits(PlantedNone).Lease {
				n.changeMember()
			} else {
				n.session.request(n.machine.Renew(n.world.clock.now()))
			}
		}
		n.renewLease(process)
	})
}

// inStep tells whether it holds a revision and is connected to a member that serves it.
func (n *follower) inStep(revision uint64) bool {
	return !n.absent && n.session != nil && n.session.openAtMember && n.machine.Revision() == revision
}

// String names the node for reports.
func (n *follower) String() string { return fmt.Sprintf("%s (process %d)", n.name, n.incarnation) }

// stopListening keeps the process without a network for a while, after which it goes on with what it holds.
func (n *follower) stopListening(pause time.Duration) {
	process := n.incarnation
	n.disconnect()
	n.session = &session{follower: n, member: n.world.members[0]} // leads nowhere
	n.session.toMember = direction{session: n.session, broken: true}
	n.lastMessageAt = n.world.clock.elapsed + pause
	n.world.clock.after(pause, func() {
		if n.incarnation == process {
			n.session = nil
			n.connectAfter(n.backoff.Failed())
		}
	})
}
