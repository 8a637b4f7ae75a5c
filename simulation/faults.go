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
	Crash          FaultKind = "crash"     // a member's process ends, and starts again after For
	Cut            FaultKind = "cut"       // no message passes between Side and the others
	CutOne         FaultKind = "cut one"   // none leaves Side; what comes to it does
	Stall          FaultKind = "stall"     // a member's clock and process stop
	SlowIO         FaultKind = "slow disk" // each save takes half an election timeout more
	Replace        FaultKind = "replace"   // a member is removed and comes back with its old log
	TransferLeader FaultKind = "transfer"  // the member hands leadership over, if it leads
)

// How a change of members is tried.
const (
	removeTicks = 40  // for so long a removal is tried
	addTicks    = 400 // for so long an addition is tried
	retryTicks  = 5   // between two attempts
)

// faultStream selects the random numbers that draw a run's faults.
const faultStream = 12

// Fault is one thing that goes wrong, for a while.
type Fault struct {
	At, For int // ticks
	Kind    FaultKind
	Member  uint64   // that it concerns; Cut and CutOne concern Side
	Side    []uint64 // members on one side of a Cut or CutOne
}

// faultKinds are what faults are drawn from: some are more frequent.
var faultKinds = []FaultKind{Crash, Crash, Cut, Cut, CutOne, Stall, SlowIO, TransferLeader, Replace}

// Draw draws the faults of a run from its seed. It returns an empty list, not nil, if the setup has none.
func Draw(setup Setup) []Fault {
	faults := []Fault{}
	if setup.FaultEvery == 0 {
		return faults
	}
	rng := rand.New(rand.NewPCG(setup.Seed, faultStream))
	end := setup.Ticks - setup.FaultFreeTicks
	for at := setup.Timing.ElectionTicks * 3; at < end; at += 1 + rng.IntN(2*setup.FaultEvery) {
		faults = append(faults, drawFault(rng, setup, at))
	}
	return faults
}

// drawFault draws a fault that begins at a tick and ends before the ticks without faults.
func drawFault(rng *rand.Rand, setup Setup, at int) Fault {
	length := 1 + rng.IntN(8*setup.Timing.ElectionTicks)
	fault := Fault{
		At:     at,
		For:    min(length, setup.Ticks-setup.FaultFreeTicks-at),
		Kind:   faultKinds[rng.IntN(len(faultKinds))],
		Member: 1 + uint64(rng.IntN(setup.Members)),
	}
	for id := range uint64(setup.Members) {
		if rng.IntN(2) == 0 {
			fault.Side = append(fault.Side, id+1)
		}
	}
	return fault
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
		w.changeMembers(cluster.MembershipChange{Remove: []uint64{f.Member}}, removeTicks)
		w.schedule(f.For, func() { w.changeMembers(cluster.MembershipChange{Add: []uint64{f.Member}}, addTicks) })
	}
}

// cutGroupOf cuts the links that leave a side, and those that come to it unless only one way is cut.
func (w *world) cutGroupOf(f Fault) {
	for _, inside := range w.members {
		if !slices.Contains(f.Side, inside.id) {
			continue
		}
		for _, outside := range w.members {
			if slices.Contains(f.Side, outside.id) {
				continue
			}
			w.cutLink(inside.id, outside.id, f.For)
			if f.Kind == Cut {
				w.cutLink(outside.id, inside.id, f.For)
			}
		}
	}
}

// changeMembers has whoever leads change the members. An addition is tried again until it is in effect or
// ticks have passed. A member that was removed goes on with its old log.
func (w *world) changeMembers(change cluster.MembershipChange, ticks int) {
	for _, m := range w.members {
		if m.up && m.IsLeader() && w.mayChange(m, change) {
			m.ChangeMembers(change)
			w.advance(m)
			break
		}
	}
	if len(change.Add) > 0 && ticks > 0 {
		w.schedule(retryTicks, func() { w.retryAddition(change, ticks-retryTicks) })
	}
}

// mayChange tells whether a leader may change the members so: it removes one only while all vote.
func (w *world) mayChange(leader *member, change cluster.MembershipChange) bool {
	return len(change.Remove) == 0 || len(leader.Status().Voters) == w.setup.Members
}

// retryAddition tries an addition again if some leader does not have it.
func (w *world) retryAddition(change cluster.MembershipChange, ticks int) {
	for _, m := range w.members {
		if m.up && m.IsLeader() && !slices.Contains(m.Status().Voters, change.Add[0]) {
			w.changeMembers(change, ticks)
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
