package followers

import (
	"fmt"
	"time"

	"harehook.dev/harehook/records"
)

// faultKind describes a fault.
type faultKind int

// The kinds of fault, in the order in which they are drawn.
const (
	faultCutStream    faultKind = iota // a connection is lost without notice, in both directions
	faultCutOneWay                     // no messages pass in one direction of a connection
	faultCutMember                     // no messages pass between a member and any follower
	faultCrashMember                   // a member's process crashes and restarts
	faultLag                           // a member receives no entries for some time
	faultDropHistory                   // a member's history is dropped
	faultRestart                       // a follower's process restarts, sometimes with another scope
	faultAbsent                        // a follower is offline while all members drop their histories
	faultReject                        // a follower rejects some of the revisions that it receives
	faultChangeMember                  // a follower disconnects from its member and connects to another one
	faultCrowd                         // most followers restart at the same time
	faultAll                           // all followers restart at the same time
	faultKinds                         // number of kinds
)

// String returns the name of the kind.
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
	// maxCrowdDelay bounds the time until a follower of a crowd starts again.
	maxCrowdDelay = time.Second
	// crowdExcludedEvery: one in crowdExcludedEvery followers does not restart with a crowd.
	crowdExcludedEvery = 4
)

// injectFault injects a random fault, which ends without further action.
func (w *world) injectFault() {
	w.outcome.Faults++
	kind := faultKind(w.rng.IntN(int(faultKinds)))
	f := w.followers[w.rng.IntN(len(w.followers))]
	m := w.members[w.rng.IntN(len(w.members))]
	duration := minFaultDuration + w.drawUpTo(maxFaultDuration-minFaultDuration)
	switch kind {
	case faultCutMember, faultCrashMember, faultLag, faultDropHistory:
		w.injectMemberFault(kind, m, duration)
	case faultCrowd:
		w.restartAll(w.followers[len(w.followers)/crowdExcludedEvery:])
	case faultAll:
		w.restartAll(w.followers)
	default:
		w.injectFollowerFault(kind, f, duration)
	}
}

// restartAll restarts followers within maxCrowdDelay of each other.
func (w *world) restartAll(followers []*follower) {
	for _, f := range followers {
		f.restart(w.drawUpTo(maxCrowdDelay))
	}
}

// injectFollowerFault injects a fault of one follower, if its process is running.
func (w *world) injectFollowerFault(kind faultKind, f *follower, duration time.Duration) {
	if f.stopped {
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

// cutStream breaks a connection in both directions, if there is one. Neither end is notified.
func (w *world) cutStream(s *session) {
	if s == nil {
		return
	}
	s.toMember.broken = true
	s.toFollower.broken = true
}

// cutOneWay breaks one direction of a connection, if there is one.
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

// dropHistories drops the histories of all members, so that a follower that returns later needs its full scope.
func (w *world) dropHistories() {
	for _, m := range w.members {
		m.dropHistory()
	}
}

// injectMemberFault injects a fault of a member. A fault that is still active is not injected again.
func (w *world) injectMemberFault(kind faultKind, m *member, duration time.Duration) {
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

// endPartition ends the partition of a member. Streams on which a message was sent during the partition remain
// broken.
func (w *world) endPartition(m *member) {
	m.partitioned = false
	m.markDisturbed()
}

// endLag ends the lag of a member, which catches up from the log's entries or from another member's snapshot.
func (w *world) endLag(m *member) {
	m.lagging = false
	m.markDisturbed()
	if w.rng.IntN(2) == 0 {
		m.restoreFrom(w.members[w.rng.IntN(len(w.members))])
	}
	m.catchUp(len(w.log.entries))
}

const (
	allScopeEvery = 12 // one scope in allScopeEvery contains all records
	maxServices   = 3  // in a scope
	maxZones      = 2  // in a scope
)

// drawScope returns a random scope of a follower: some services and zones, rarely all records.
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
