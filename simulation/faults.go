package simulation

import (
	"math/rand/v2"
	"slices"

	"harehook.dev/harehook/cluster"
)

// FaultKind describes a kind of fault.
type FaultKind string

// The kinds of fault.
const (
	Crash          FaultKind = "crash"     // a member's process crashes and restarts after For
	Cut            FaultKind = "cut"       // no messages between Side and the other members
	CutOne         FaultKind = "cut one"   // no messages from Side to the other members; the opposite direction works
	Stall          FaultKind = "stall"     // a member's clock and process stop
	SlowIO         FaultKind = "slow disk" // each save takes half an election timeout longer, if MaxSyncDelay > 0
	Replace        FaultKind = "replace"   // a member is removed, and added again with its old log after For
	TransferLeader FaultKind = "transfer"  // the member transfers leadership if it is the leader
)

// Limits on the attempts at a membership change.
const (
	removeTimeoutTicks = 40  // has no effect: a removal is attempted only once
	addTimeoutTicks    = 400 // time during which an addition is retried
	retryIntervalTicks = 5   // between two attempts
)

// faultStream selects the stream of random numbers from which the faults of a run are drawn.
const faultStream = 12

// Fault describes one fault: its kind, when it starts and how long it lasts.
type Fault struct {
	At, For int // start and duration, in ticks
	Kind    FaultKind
	Member  uint64   // affected member; Cut and CutOne affect Side instead
	Side    []uint64 // members on one side of the partition, for Cut and CutOne
}

// faultKinds lists the kinds that faults are drawn from. Those listed twice are drawn more often.
var faultKinds = []FaultKind{Crash, Crash, Cut, Cut, CutOne, Stall, SlowIO, TransferLeader, Replace}

// Draw returns the faults of a run, drawn at random from its seed. The list is empty, not nil, if FaultEvery is 0.
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

// drawFault returns a random fault that starts at a tick and ends before the fault-free ticks.
func drawFault(rng *rand.Rand, setup Setup, at int) Fault {
	duration := 1 + rng.IntN(8*setup.Timing.ElectionTicks)
	fault := Fault{
		At:     at,
		For:    min(duration, setup.Ticks-setup.FaultFreeTicks-at),
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

// startFault starts a fault and schedules its end.
func (w *world) startFault(f Fault) {
	m := w.members[f.Member-1]
	w.trace("%s %d %v", f.Kind, f.Member, f.Side)
	switch f.Kind {
	case Crash:
		w.crashMember(m)
		w.restartAfter(f.For, m)
	case Cut, CutOne:
		w.cutSide(f)
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
		w.changeMembers(cluster.MembershipChange{Remove: []uint64{f.Member}}, removeTimeoutTicks)
		w.schedule(f.For, func() { w.changeMembers(cluster.MembershipChange{Add: []uint64{f.Member}}, addTimeoutTicks) })
	}
}

// cutSide cuts the links from the fault's side to the other members and, for Cut, the links in the opposite
// direction.
func (w *world) cutSide(f Fault) {
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

// changeMembers proposes a membership change through a leader. An addition is retried until it is in effect or
// the given number of ticks has passed. A removed member continues to run with its old log.
func (w *world) changeMembers(change cluster.MembershipChange, ticks int) {
	for _, m := range w.members {
		if m.up && m.IsLeader() && w.canChangeMembers(m, change) {
			m.ChangeMembers(change)
			w.advance(m)
			break
		}
	}
	if len(change.Add) > 0 && ticks > 0 {
		w.schedule(retryIntervalTicks, func() { w.retryAddition(change, ticks-retryIntervalTicks) })
	}
}

// canChangeMembers reports whether a leader may propose a membership change: a removal is allowed only while all
// members are voters.
func (w *world) canChangeMembers(leader *member, change cluster.MembershipChange) bool {
	return len(change.Remove) == 0 || len(leader.Status().Voters) == w.setup.Members
}

// retryAddition retries an addition if there is a leader whose voters do not include the added member.
func (w *world) retryAddition(change cluster.MembershipChange, ticks int) {
	for _, m := range w.members {
		if m.up && m.IsLeader() && !slices.Contains(m.Status().Voters, change.Add[0]) {
			w.changeMembers(change, ticks)
			return
		}
	}
}

// plannedFaults returns the faults of a run: Faults, or those drawn from the seed if Faults is nil.
func (s Setup) plannedFaults() []Fault {
	if s.Faults != nil {
		return s.Faults
	}
	return Draw(s)
}
