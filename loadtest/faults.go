package loadtest

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"harehook.dev/harehook/configsync"
)

// weight is the part of the time that a fault is played for, beside the other faults.
var weight = map[Fault]float64{FaultReconnect: 1, FaultMemberKilled: 3, FaultRefusing: 1, FaultRegionCut: 2, FaultAllRestarted: 4}

const (
	steadyPart      = 0.25 // of the time, before the first fault
	reconnectOneIn  = 10
	refuseOneIn     = 5
	restartPart     = 0.6 // of the fault's time in which all are restarted
	restartWithin   = time.Minute
	cutPart         = 0.6 // of the fault's time for which a region is cut off
	refusePart      = 0.6 // of the fault's time in which changes are refused
	memberDownPart  = 1.0 / 6
	longestDowntime = 5 * time.Second
)

// playFaults plays one fault after the other until the plan's time is over.
func (r *run) playFaults(ctx context.Context) error {
	end := r.playing.Add(time.Duration(r.plan.Seconds) * time.Second)
	faults := slices.DeleteFunc(slices.Clone(AllFaults), func(f Fault) bool { return !slices.Contains(r.plan.Faults, f) })
	if len(faults) == 0 {
		r.steadyUntil = end
		return nil
	}
	sum := 0.0
	for _, fault := range faults {
		sum += weight[fault]
	}
	steady := time.Duration(steadyPart * float64(end.Sub(r.playing)))
	r.steadyUntil = r.playing.Add(steady)
	unit := time.Duration(float64(end.Sub(r.steadyUntil)) / sum)
	random := rand.New(rand.NewPCG(r.plan.Seed, 3))
	if err := pause(ctx, steady); err != nil {
		return err
	}
	defer r.recorder.enter("")
	for _, fault := range faults {
		slot := time.Duration(weight[fault]) * unit
		r.tell("%s, %.0f s", fault, slot.Seconds())
		r.recorder.enter(fault)
		until := time.Now().Add(slot)
		if err := r.playFault(ctx, fault, slot, random); err != nil {
			return err
		}
		if err := pause(ctx, time.Until(until)); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) playFault(ctx context.Context, fault Fault, slot time.Duration, random *rand.Rand) error {
	switch fault {
	case FaultReconnect:
		return r.reconnect(random)
	case FaultMemberKilled:
		return r.killMembers(ctx, slot)
	case FaultRefusing:
		return r.refuse(ctx, part(slot, refusePart), random)
	case FaultRegionCut:
		return r.cutRegion(ctx, part(slot, cutPart), random)
	case FaultAllRestarted:
		return r.restartAll(ctx, min(restartWithin, part(slot, restartPart)))
	}
	return nil
}

func part(of time.Duration, share float64) time.Duration { return time.Duration(share * float64(of)) }

// choose gives the conductors that are chosen. The one with a process of its own is left alone: its steady running is
// measured.
func (r *run) choose(chosen func(conductor int) bool) (indexes []int, has func(int) bool) {
	set := map[int]bool{}
	for at := range r.conductors {
		if at != ownConductor && chosen(at) {
			indexes = append(indexes, at)
			set[at] = true
		}
	}
	return indexes, func(conductor int) bool { return set[conductor] }
}

func oneIn(random *rand.Rand, count int) func(int) bool {
	return func(int) bool { return random.IntN(count) == 0 }
}

func (r *run) reconnect(random *rand.Rand) error {
	indexes, has := r.choose(oneIn(random, reconnectOneIn))
	now := time.Now()
	r.recorder.open(FaultReconnect, indexes, now, now)
	return r.order(actionReconnect, 0, has)
}

// killMembers kills a member that follows, and the leader in the second half.
func (r *run) killMembers(ctx context.Context, slot time.Duration) error {
	half := time.Now().Add(slot / 2)
	for _, leader := range []bool{false, true} {
		if leader {
			if err := pause(ctx, time.Until(half)); err != nil {
				return err
			}
		}
		lead, err := r.group.leader(ctx)
		if err != nil {
			return err
		}
		victim := lead
		if !leader {
			victim = lead%uint64(r.plan.Members) + 1
		}
		if err := r.killMember(ctx, victim, min(longestDowntime, part(slot, memberDownPart))); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) killMember(ctx context.Context, id uint64, down time.Duration) error {
	member := r.members[id-1]
	now := time.Now()
	r.recorder.open(FaultMemberKilled, r.recorder.following(member.address), now, now)
	if err := member.die(); err != nil {
		return err
	}
	if err := pause(ctx, down); err != nil {
		return err
	}
	return r.startMember(ctx, member)
}

// refuse has some conductors refuse some changes for a while.
func (r *run) refuse(ctx context.Context, over time.Duration, random *rand.Rand) error {
	indexes, has := r.choose(oneIn(random, refuseOneIn))
	now := time.Now()
	r.recorder.open(FaultRefusing, indexes, now, now.Add(over+configsync.DefaultLimits.RejectedBackoff))
	if err := r.order(actionRefuse, 0, has); err != nil {
		return err
	}
	if err := pause(ctx, over); err != nil {
		return err
	}
	return r.order(actionAccept, 0, has)
}

// cutRegion cuts the conductors of one region off.
func (r *run) cutRegion(ctx context.Context, over time.Duration, random *rand.Rand) error {
	region := random.IntN(r.plan.Regions)
	indexes, has := r.choose(func(at int) bool { return r.conductors[at].Region == region })
	now := time.Now()
	r.recorder.open(FaultRegionCut, indexes, now, now.Add(over))
	if err := r.order(actionCut, 0, has); err != nil {
		return err
	}
	if err := pause(ctx, over); err != nil {
		return err
	}
	return r.order(actionHeal, 0, has)
}

// restartAll restarts all conductors evenly over a time.
func (r *run) restartAll(ctx context.Context, over time.Duration) error {
	_, has := r.choose(func(int) bool { return true })
	if err := r.order(actionRestart, over, has); err != nil {
		return err
	}
	return pause(ctx, over)
}
