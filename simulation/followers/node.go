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

// node is a controller that follows.
type node struct {
	world    *world
	name     string
	scope    records.Scope
	process  int // counts its restarts
	machine  *configsync.Follower
	backoff  *configsync.Backoff
	session  *session // nil while it has none
	heardAt  time.Duration
	away     bool
	refuses  bool // some of what it is offered
	highest  uint64
	troubled time.Duration // when it was last disturbed, by a fault or else
}

// errDrawn is why a node refuses what it can't find wrong.
var errDrawn = errors.New("refused at random")

// start begins a process, which holds nothing.
func (n *node) start() {
	n.process++
	n.highest = 0
	n.begin()
	n.backoff = configsync.NewBackoff(n.world.memberNames(), n.world.random.Uint64())
	n.away = false
	n.tick(n.process)
	n.connectAfter(n.world.drawUpTo(500 * time.Millisecond))
}

// begin makes the machine, which holds nothing.
func (n *node) begin() {
	refuse := rand.New(rand.NewPCG(n.world.random.Uint64(), 0))
	n.machine = configsync.NewFollower(n.name, n.scope, n.lease(), func(uint64, map[records.Key]*records.Record) error {
		if n.refuses && refuse.IntN(2) == 0 {
			return errDrawn
		}
		return nil
	})
}

func (n *node) lease() time.Duration {
	lease := limits(n.world.setup.Planted).Lease
	if n.world.setup.Planted == PlantedLongLease {
		lease *= 3
	}
	return lease
}

// stop ends the process.
func (n *node) stop() {
	n.disturbed()
	n.leave()
	n.process++
	n.away = true
}

func (n *node) disturbed() { n.troubled = n.world.clock.elapsed }

// leave ends the connection; the member learns of it if the network lets it.
func (n *node) leave() {
	one := n.session
	if one == nil {
		return
	}
	n.disturbed()
	n.session = nil
	one.toMember.send(one.endAtMember)
}

// lost is told that the member has ended the connection.
func (n *node) lost(one *session) {
	if n.session == one {
		n.moveOn()
	}
}

// moveOn leaves the member and tries another one after a pause.
func (n *node) moveOn() {
	n.leave()
	n.disturbed()
	if n.world.setup.Planted == PlantedOlderRevision {
		n.begin()
	}
	n.connectAfter(n.backoff.Failed())
}

func (n *node) connectAfter(pause time.Duration) {
	process := n.process
	n.world.clock.after(pause, func() {
		if n.process == process && n.session == nil {
			n.connect()
		}
	})
}

// connect opens a connection to the member whose turn it is.
func (n *node) connect() {
	one := newSession(n, n.world.memberNamed(n.backoff.Member()))
	n.session, n.heardAt = one, n.world.clock.elapsed
	n.disturbed()
	hello := n.machine.Begin(n.world.clock.now())
	one.toMember.send(func() {
		if one.member.server == nil || !one.member.accept(one) {
			one.toFollower.send(func() { n.lost(one) })
		}
	})
	one.request(hello)
	n.world.clock.after(connectTimeout, func() {
		if n.session == one && !one.atMember {
			n.moveOn()
		}
	})
}

// receive takes a message of a member.
func (n *node) receive(one *session, response *discoveryv3.DeltaDiscoveryResponse) {
	if n.session != one {
		return
	}
	n.heardAt = n.world.clock.elapsed
	n.backoff.Succeeded()
	refused := n.machine.Rejected
	reply, accepted, err := n.machine.Receive(response)
	if err != nil {
		n.moveOn()
		return
	}
	if n.machine.Rejected > refused {
		n.disturbed()
		n.world.out.Rejected++
	}
	if accepted {
		n.world.check.accepted(n)
	}
	if reply != nil {
		one.request(reply)
	}
}

// tick renews the lease and notices a member that is not heard any more.
func (n *node) tick(process int) {
	n.world.clock.after(n.machine.RenewInterval(), func() {
		if n.process != process {
			return
		}
		if n.session != nil {
			if n.world.clock.elapsed-n.heardAt >= limits(PlantedNone).Lease {
				n.moveOn()
			} else {
				n.session.request(n.machine.Renew(n.world.clock.now()))
			}
		}
		n.tick(process)
	})
}

// inStep tells whether it holds a revision and is connected to a member that serves it.
func (n *node) inStep(revision uint64) bool {
	return !n.away && n.session != nil && n.session.atMember && n.machine.Revision() == revision
}

// String names the node for reports.
func (n *node) String() string { return fmt.Sprintf("%s (process %d)", n.name, n.process) }

// stopListening keeps the process without a network for a while, after which it goes on with what it holds.
func (n *node) stopListening(pause time.Duration) {
	process := n.process
	n.leave()
	n.session = &session{follower: n, member: n.world.members[0]} // leads nowhere
	n.session.toMember = direction{session: n.session, broken: true}
	n.heardAt = n.world.clock.elapsed + pause
	n.world.clock.after(pause, func() {
		if n.process == process {
			n.session = nil
			n.connectAfter(n.backoff.Failed())
		}
	})
}
