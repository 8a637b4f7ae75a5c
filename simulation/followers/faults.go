package followers

import (
	"fmt"
	"time"

	"harehook.dev/harehook/records"
)

// faultKind says what goes wrong.
type faultKind int

// The kinds of fault, in the order in which they are drawn.
const (
	faultCutStream    faultKind = iota // a connection is lost without notice, in both directions
	faultCutOneWay                     // nothing passes in one direction
	faultCutMember                     // no message passes between a member and any follower
	faultCrashMember                   // a member's process ends and starts again
	faultLag                           // a member gets no entries for a while
	faultDropHistory                   // a member's history is dropped
	faultRestart                       // a follower's process ends and starts again, with another scope at times
	faultAbsent                        // a follower is offline until all members have dropped their histories
	faultReject                        // a follower rejects some of what it receives
	faultChangeMember                  // a follower leaves its member
	faultCrowd                         // all followers but a few restart at once
	faultAll                           // all followers restart at once
	faultKinds                         // how many there are
)

// String names the kind.
func (k faultKind) String() string {
	names := [faultKinds]string{"cut stream", "cut one way", "cut member", "crash member", "lag", "drop history",
		"restart", "absent", "reject", "change member", "crowd", "all"}
	if k < 0 || k >= faultKinds {
		return fmt.Sprintf("faultKind(%d)", int(k))
	}
	return names[k]
}

const (
	minFaultDuration = time.Second
	maxFaultDuration = 10 * time.Second
	// maxCrowdDelay is the longest that a follower of a crowd takes to start again.
	maxCrowdDelay = time.Second
	// spared is the part of the followers that a crowd leaves alone: one in so many.
	spared = 4
)

// injectFault draws a fault and brings it about. What it does ends by itself.
func (w *world) injectFault() {
	w.outcome.Faults++
	kind := faultKind(w.rng.IntN(int(faultKinds)))
	f := w.followers[w.rng.IntN(len(w.followers))]
	m := w.members[w.rng.IntN(len(w.members))]
	duration := minFaultDuration + w.drawUpTo(maxFaultDuration-minFaultDuration)
	switch kind {
	case faultCutMember, faultCrashMember, faultLag, faultDropHistory:
		w.disturbMember(kind, m, duration)
	case faultCrowd:
		w.restartAll(w.followers[len(w.followers)/spared:])
	case faultAll:
		w.restartAll(w.followers)
	default:
		w.disturbFollower(kind, f, duration)
	}
}

// restartAll restarts followers at nearly the same time.
func (w *world) restartAll(followers []*follower) {
	for _, f := range followers {
		f.restart(w.drawUpTo(maxCrowdDelay))
	}
}

// disturbFollower brings about a fault of one follower, unless no process of it runs.
func (w *world) disturbFollower(kind faultKind, f *follower, duration time.Duration) {
	if f.absent {
		return
	}
	f.markDisturbed()
	switch kind {
	case faultCutStream:
		w.cutStream(f.session)
	case faultCutOneWay:
		w.cutOneWay(f.session)
	case faultRestart:
		if w.rng.IntN(2) == 0 {
			f.scope = w.drawScope()
		}
		f.restart(duration)
	case faultAbsent:
		f.goOffline(duration)
		w.clock.after(duration/2, w.dropHistories)
	case faultReject:
		f.rejecting = true
		w.clock.after(duration, func() { f.rejecting = false })
	case faultChangeMember:
		f.changeMember()
	}
}

// cutStream loses a connection, if there is one, without notice to either end.
func (w *world) cutStream(s *session) {
	if s == nil {
		return
	}
	s.toMember.broken = true
	s.toFollower.broken = true
}

// cutOneWay loses one direction of a connection, if there is one.
func (w *world) cutOneWay(s *session) {
	if s == nil {
		return
	}
	if w.rng.IntN(2) == 0 {
		s.toMember.broken = true
		return
	}
	s.toFollower.broken = true
}

// dropHistories has all members drop their histories: a follower that is back then needs its full scope.
func (w *world) dropHistories() {
	for _, m := range w.members {
		m.dropHistory()
	}
}

// disturbMember brings about a fault of a member. A fault under way is not begun again.
func (w *world) disturbMember(kind faultKind, m *member, duration time.Duration) {
	m.markDisturbed()
	switch {
	case kind == faultCutMember && !m.partitioned:
		m.partitioned = true
		w.clock.after(duration, func() { w.endPartition(m) })
	case kind == faultCrashMember && m.server != nil:
		silent := w.rng.IntN(2) == 0
		m.crash(silent)
		w.clock.after(duration, m.start)
	case kind == faultLag && !m.lagging:
		m.lagging = true
		w.clock.after(duration, func() { w.endLag(m) })
	case kind == faultDropHistory:
		m.dropHistory()
	}
}

// endPartition lets messages pass again. Streams that had one to send meanwhile stay broken.
func (w *world) endPartition(m *member) {
	m.partitioned = false
	m.markDisturbed()
}

// endLag lets a member catch up: by the log's entries, or by another member's snapshot.
func (w *world) endLag(m *member) {
	m.lagging = false
	m.markDisturbed()
	if w.rng.IntN(2) == 0 {
		m.restoreFrom(w.members[w.rng.IntN(len(w.members))])
	}
	m.catchUp(len(w.log.entries))
}

const (
	allScopeEvery = 12 // one scope in so many has everything
	maxServices   = 3  // of a scope
	maxZones      = 2  // of a scope
)

// drawScope is what a follower needs: some services and zones, seldom all.
func (w *world) drawScope() records.Scope {
	if w.rng.IntN(allScopeEvery) == 0 {
		return records.Scope{All: true}
	}
	var scope records.Scope
	for range 1 + w.rng.IntN(maxServices) {
		scope.Services = append(scope.Services, w.log.drawService())
	}
	for range 1 + w.rng.IntN(maxZones) {
		scope.Zones = append(scope.Zones, w.log.drawZone())
	}
	return scope.Normalized()
}
