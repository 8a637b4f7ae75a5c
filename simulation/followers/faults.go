package followers

import (
	"time"

	"harehook.dev/harehook/records"
)

// faultKind says what goes wrong.
type faultKind int

// The kinds of fault.
const (
	faultCutStream   faultKind = iota // a connection is lost without a word, in both directions
	faultCutOneWay                    // nothing passes in one direction
	faultCutMember                    // no message passes between a member and any follower
	faultCrashMember                  // a member's process ends and starts again
	faultLag                          // a member gets no entries for a while
	faultForget                       // a member's history is dropped
	faultRestart                      // a follower's process ends and starts again, with another scope at times
	faultAbsent                       // a follower is away until all members have dropped their histories
	faultRefuse                       // a follower refuses some of what it is offered
	faultMove                         // a follower leaves its member
	faultCrowd                        // all followers but a few restart at once
	faultAll                          // all followers restart at once
	faultKinds                        // how many there are
)

// inject draws a fault and brings it about. What it does ends by itself.
func (w *world) inject() {
	w.out.Faults++
	kind := faultKind(w.random.IntN(int(faultKinds)))
	n := w.nodes[w.random.IntN(len(w.nodes))]
	m := w.members[w.random.IntN(len(w.members))]
	lasts := time.Second + w.drawUpTo(9*time.Second)
	switch kind {
	case faultCutStream, faultCutOneWay, faultRestart, faultAbsent, faultRefuse, faultMove:
		w.troubleNode(kind, n, lasts)
	case faultCutMember, faultCrashMember, faultLag, faultForget:
		w.troubleMember(kind, m, lasts)
	case faultCrowd:
		for _, one := range w.nodes[len(w.nodes)/4:] {
			w.restart(one, w.drawUpTo(time.Second))
		}
	case faultAll:
		for _, one := range w.nodes {
			w.restart(one, w.drawUpTo(time.Second))
		}
	}
}

// troubleNode brings a fault of one follower about.
func (w *world) troubleNode(kind faultKind, n *node, lasts time.Duration) {
	if n.away {
		return
	}
	n.disturbed()
	one := n.session
	switch kind {
	case faultCutStream:
		if one != nil {
			one.toMember.broken, one.toFollower.broken = true, true
		}
	case faultCutOneWay:
		if one != nil && w.random.IntN(2) == 0 {
			one.toMember.broken = true
		} else if one != nil {
			one.toFollower.broken = true
		}
	case faultRestart:
		if w.random.IntN(2) == 0 {
			n.scope = w.drawScope()
		}
		w.restart(n, lasts)
	case faultAbsent:
		n.stopListening(lasts)
		w.clock.after(lasts/2, func() {
			for _, m := range w.members {
				m.forget()
			}
		})
	case faultRefuse:
		n.refuses = true
		w.clock.after(lasts, func() { n.refuses = false })
	case faultMove:
		n.moveOn()
	}
}

// troubleMember brings a fault of a member about.
func (w *world) troubleMember(kind faultKind, m *member, lasts time.Duration) {
	m.disturbed()
	switch kind {
	case faultCutMember:
		if !m.cut {
			m.cut = true
			w.clock.after(lasts, func() { m.cut = false; m.disturbed() })
		}
	case faultCrashMember:
		if m.server != nil {
			m.crash(w.random.IntN(2) == 0)
			w.clock.after(lasts, m.start)
		}
	case faultLag:
		if !m.lagging {
			m.lagging = true
			w.clock.after(lasts, func() { w.endLag(m) })
		}
	case faultForget:
		m.forget()
	}
}

// endLag lets a member catch up: by the log's entries, or by another member's snapshot.
func (w *world) endLag(m *member) {
	m.lagging = false
	m.disturbed()
	if w.random.IntN(2) == 0 {
		m.takeSnapshot(w.members[w.random.IntN(len(w.members))])
	}
	m.catchUp(len(w.log.entries))
}

// restart ends a follower's process and starts it again after a pause.
func (w *world) restart(n *node, pause time.Duration) {
	if n.away {
		return
	}
	n.stop()
	w.clock.after(pause, n.start)
}

// drawScope is what a follower needs: some services and zones, seldom all.
func (w *world) drawScope() records.Scope {
	if w.random.IntN(12) == 0 {
		return records.Scope{All: true}
	}
	var scope records.Scope
	for range 1 + w.random.IntN(3) {
		scope.Services = append(scope.Services, w.log.service())
	}
	for range 1 + w.random.IntN(2) {
		scope.Zones = append(scope.Zones, w.log.zone())
	}
	return scope.Normalized()
}
