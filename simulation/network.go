package simulation

import (
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// link is the way from one member to another.
type link struct{ from, to uint64 }

// cutLink has no message pass over a link for some ticks.
func (w *world) cutLink(from, to uint64, ticks int) {
	l := link{from, to}
	w.cutUntil[l] = max(w.cutUntil[l], w.now+ticks)
}

// isCut tells whether no message passes over a link now.
func (w *world) isCut(from, to uint64) bool { return w.now < w.cutUntil[link{from, to}] }

// send puts a message on its way: it is lost, or arrives once or twice after a delay.
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

// delivery is a message on its way.
type delivery struct {
	to       *member
	identity string // of the sender's disk
	known    string // the identity that the sender knows the receiver by
	message  *raftpb.Message
}

// deliver has a message arrive: a member that is held takes it later, one that is down never.
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

// receive has a member take a message and act on it.
func (w *world) receive(d delivery) {
	if !d.to.up {
		return
	}
	w.trace("%s %d %d", d.message.GetType(), d.message.GetFrom(), d.to.id)
	d.to.Step(d.identity, d.known, proto.CloneOf(d.message))
	w.advance(d.to)
}
