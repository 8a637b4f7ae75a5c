package simulation

import (
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// link is the directed connection from one member to another.
type link struct{ from, to uint64 }

// cutLink blocks the messages on a link for a number of ticks.
func (w *world) cutLink(from, to uint64, ticks int) {
	l := link{from, to}
	w.cutUntil[l] = max(w.cutUntil[l], w.now+ticks)
}

// isCut reports whether a link is currently cut.
func (w *world) isCut(from, to uint64) bool { return w.now < w.cutUntil[link{from, to}] }

// send sends a message over the simulated network: it is lost, or delivered once or twice, each time after a random
// delay.
func (w *world) send(from *member, message *raftpb.Message) {
	to := message.GetTo()
	if to == 0 || to > uint64(len(w.members)) || w.isCut(from.id, to) {
		return
	}
	if w.rng.Float64() < w.setup.Loss {
		return
	}
	copies := 1
	if w.rng.Float64() < w.setup.Duplication {
		copies = 2
	}
	sent := delivery{
		to:       w.members[to-1],
		identity: from.disk.identity,
		known:    from.State.Identities[to],
		message:  proto.CloneOf(message),
	}
	for range copies {
		delay := 1 + w.setup.MinDelay + w.rng.IntN(w.setup.MaxDelay-w.setup.MinDelay+1)
		w.schedule(delay, func() { w.deliver(sent) })
	}
}

// delivery is a message in transit.
type delivery struct {
	to       *member
	identity string // of the sender's disk
	known    string // the receiver's identity as known to the sender
	message  *raftpb.Message
}

// deliver delivers a message. A member that is blocked receives it later; if the member is down, the message is lost.
func (w *world) deliver(d delivery) {
	if !d.to.up {
		return
	}
	if w.now < d.to.busyUntil {
		w.schedule(d.to.busyUntil-w.now, func() { w.receive(d) })
		return
	}
	w.receive(d)
}

// receive passes a message to a member, which processes it, unless the member is down.
func (w *world) receive(d delivery) {
	if !d.to.up {
		return
	}
	w.trace("%s %d %d", d.message.GetType(), d.message.GetFrom(), d.to.id)
	d.to.Step(d.identity, d.known, proto.CloneOf(d.message))
	w.advance(d.to)
}
