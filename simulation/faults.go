package simulation

import (
	"math/rand/v2"
	"slices"

	"harehook.dev/harehook/cluster"
)

// FaultKind says what goes wrong.
type FaultKind string

// The kinds of fault.
const (
	Crash          FaultKind = "crash"   // a member's process ends, and starts again after For
	Cut            FaultKind = "cut"     // no message passes between Side and the others
	CutOne         FaultKind = "cut one" // none leaves Side; what comes to it does
	Stall          FaultKind = "stall"   // a member's clock and process stand still
	SlowIO         FaultKind = "slow disk"
	Replace        FaultKind = "replace"  // a member is removed and comes back with its old log
	TransferLeader FaultKind = "transfer" // the leader hands over
)

// How a change of members is tried, in ticks.
const (
	maxRemoveAttempts = 40  // for so long a removal is tried
	maxAddAttempts    = 400 // for so long an addition is tried
	changeEvery       = 5   // between two tries
)

const faultStream = 12 // of the random numbers that draw a run's faults

// Fault is one thing that goes wrong, for a while.
type Fault struct {
	At, For int
	Kind    FaultKind
	Member  uint64
	Side    []uint64
}

// Draw draws the faults of a run from its seed.
func Draw(set Setup) (faults []Fault) {
	if set.FaultEvery == 0 {
		return []Fault{}
	}
	chance := rand.New(rand.NewPCG(set.Seed, faultStream))
	kinds := []FaultKind{Crash, Crash, Cut, Cut, CutOne, Stall, SlowIO, TransferLeader, Replace}
	for at := set.Timing.ElectionTicks * 3; at < set.Ticks-set.FaultFreeTicks; at += 1 + chance.IntN(2*set.FaultEvery) {
		f := Fault{At: at, For: 1 + chance.IntN(8*set.Timing.ElectionTicks), Kind: kinds[chance.IntN(len(kinds))],
			Member: 1 + uint64(chance.IntN(set.Members))}
		for id := range uint64(set.Members) {
			if chance.IntN(2) == 0 {
				f.Side = append(f.Side, id+1)
			}
		}
		f.For = min(f.For, set.Ticks-set.FaultFreeTicks-at)
		faults = append(faults, f)
	}
	return faults
}

// startFault has a fault begin, and schedules its end.
func (w *world) startFault(f Fault) {
	m := w.members[f.Member-1]
	w.trace("%s %d %v", f.Kind, f.Member, f.Side)
	switch f.Kind {
	case Crash:
		w.crashMember(m)
		w.restartAfter(f.For, m)
	case Cut, CutOne:
		w.cutGroupOf(f)
	case Stall:
		m.busyUntil = w.now + f.For
	case SlowIO:
		m.slowDisk = true
		w.schedule(f.For, func() { m.slowDisk = false })
	case TransferLeader:
		if m.up {
			m.TransferLeadership(1 + uint64(w.rng.IntN(w.setup.Members)))
		}
	case Replace:
		w.changeMembers(cluster.MembershipChange{Remove: []uint64{f.Member}}, maxRemoveAttempts)
		w.schedule(f.For, func() { w.changeMembers(cluster.MembershipChange{Add: []uint64{f.Member}}, maxAddAttempts) })
	}
}

// cutGroupOf cuts the links that leave a side, and those that come to it unless only one way is cut.
func (w *world) cutGroupOf(f Fault) {
	for _, inside := range w.members {
		for _, outside := range w.members {
			if !slices.Contains(f.Side, inside.id) || slices.Contains(f.Side, outside.id) {
				continue
			}
			w.cutLink(inside.id, outside.id, f.For)
			if f.Kind == Cut {
				w.cutLink(outside.id, inside.id, f.For)
			}
		}
	}
}

// changeMembers has whoever leads change the members. An addition is tried again until it is in force or ticks have
// passed. A member that was removed goes on with its old log.
func (w *world) changeMembers(c cluster.MembershipChange, ticks int) {
	for _, m := range w.members {
		if m.up && m.IsLeader() && (len(c.Remove) == 0 || len(m.Status().Voters) == w.setup.Members) {
			m.ChangeMembers(c)
			w.advance(m)
			break
		}
	}
	if len(c.Add) > 0 && ticks > 0 {
		w.schedule(changeEvery, func() { w.retryAddition(c, ticks-changeEvery) })
	}
}

// retryAddition tries an addition again if some leader does not have it.
func (w *world) retryAddition(c cluster.MembershipChange, ticks int) {
	for _, m := range w.members {
		if m.up && m.IsLeader() && !slices.Contains(m.Status().Voters, c.Add[0]) {
			w.changeMembers(c, ticks)
			return
		}
	}
}

// plannedFaults are the faults of a run: those that the setup names, or else those that its seed draws.
func (s Setup) plannedFaults() []Fault {
	if s.Faults != nil {
		return s.Faults
	}
	return Draw(s)
}
