package followers

import (
	"time"

	"harehook.dev/harehook/records"
)

// faultKind says what goes wrong.
type faultKind int

// The kinds of fault.
const (
	faultCutStream    faultKind = iota // a connection is lost without a word, in both directions
	faultCutOneWay                     // nothing passes in one direction
	faultCutMember                     // no message passes between a member and any follower
	faultCrashMember                   // a member's process ends and starts again
	faultLag                           // a member gets no entries for a while
	faultDropHistory                   // a member's history is dropped
	faultRestart                       // a follower's process ends and starts again, with another scope at times
	faultAbsent                        // a follower is away until all members have dropped their histories
	faultReject                        // a follower refuses some of what it is offered
	faultChangeMember                  // a follower leaves its member
	faultCrowd                         // all followers but a few restart at once
	faultAll                           // all followers restart at once
	faultKinds                         // how many there are
)

// injectFault draws a fault and brings it about. What it does ends by itself.
func (w *world) injectFault() {
	w.outcome.Faults++
	kind := faultKind(w.rng.IntN(int(faultKinds)))
	n := w.followers[w.rng.IntN(len(w.followers))]
	m := w.members[w.rng.IntN(len(w.members))]
	lasts := time.Second + w.drawUpTo(9*time.Second)
	switch kind {
	case faultCutStream, faultCutOneWay, faultRestart, faultAbsent, faultReject, faultChangeMember:
		w.disturbFollower(kind, n, lasts)
	case faultCutMember, faultCrashMember, faultLag, faultDropHistory:
		w.disturbMember(kind, m, lasts)
	case faultCrowd:
		for _, one := range w.followers[len(w.followers)/4:] {
			w.restart(one, w.drawUpTo(time.Second))
		}
	case faultAll:
		for _, one := range w.followers {
			w.restart(one, w.drawUpTo(time.Second))
		}
	}
}

// disturbFollower brings a fault of one follower about.
func (w *world) disturbFollower(kind faultKind, n *follower, lasts time.Duration) {
	if n.absent {
		return
	}
	n.markDisturbed()
	one := n.session
	switch kind {
	case faultCutStream:
		if one != nil {
			one.toMember.broken, one.toFollower.broken = true, true
		}
	case faultCutOneWay:
		if one != nil && w.rng.IntN(2) == 0 {
			one.toMember.broken = true
		} else if one != nil {
			one.toFollower.broken = true
		}
	case faultRestart:
		if w.rng.IntN(2) == 0 {
			n.scope = w.drawScope()
		}
		w.restart(n, lasts)
	case faultAbsent:
		n.stopListening(lasts)
		w.clock.after(lasts/2, func() {
			for _, m := range w.members {
				m.dropHistory()
			}
		})
	case faultReject:
		n.rejecting = true
		w.clock.after(lasts, func() { n.rejecting = false })
	case faultChangeMember:
		n.changeMember()
	}
}

// disturbMember brings a fault of a member about.
func (w *world) disturbMember(kind faultKind, m *member, lasts time.Duration) {
	m.markDisturbed()
	switch kind {
	case faultCutMember:
		if !m.partitioned {
			m.partitioned = true
			w.clock.after(lasts, func() { m.partitioned = false; m.markDisturbed() })
		}
	case faultCrashMember:
		if m.server != nil {
			m.crash(w.rng.IntN(2) == 0)
			w.clock.after(lasts, m.start)
		}
	case faultLag:
		if !m.lagging {
			m.lagging = true
			w.clock.after(lasts, func() { w.endLag(m) })
		}
	case faultDropHistory:
		m.dropHistory()
	}
}

// endLag lets a member catch up: by the log's entries, or by another member's snapshot.
func (w *world) endLag(m *member) {
	m.lagging = false
	m.markDisturbed()
	if w.rng.IntN(2) == 0 {
		m.takeSnapshot(w.members[w.rng.IntN(len(w.members))])
	}
	m.catchUp(len(w.log.entries))
}

// restart ends a follower's process and starts it again after a pause.
func (w *world) restart(n *follower, pause time.Duration) {
	if n.absent {
		return
	}
	n.stop()
	w.clock.after(pause, n.start)
}

// drawScope is what a follower needs: some services and zones, seldom all.
func (w *world) drawScope() records.Scope {
	if w.rng.IntN(12) == 0 {
		return records.Scope{All: true}
	}
	var scope records.Scope
	for range 1 + w.rng.IntN(3) {
		scope.Services = append(scope.Services, w.log.service())
	}
	for range 1 + w.rng.IntN(2) {
		scope.Zones = append(scope.Zones, w.log.zone())
	}
	return scope.Normalized()
}
