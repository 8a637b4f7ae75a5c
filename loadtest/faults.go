package loadtest

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"harehook.dev/harehook/configsync"
)

// slotWeights is the part of the time that a fault is played for, beside the other faults.
var slotWeights = map[Fault]float64{FaultReconnect: 1, FaultMemberKilled: 3, FaultRejecting: 1, FaultRegionCut: 2, FaultAllRestarted: 4}

const (
	faultFreeFraction  = 0.25 // of the time, before the first fault
	reconnectOneIn     = 10
	rejectingOneIn     = 5
	restartFraction    = 0.6 // of the fault's time in which all are restarted
	maxRestartSpread   = time.Minute
	cutFraction        = 0.6 // of the fault's time for which a region is cut off
	rejectFraction     = 0.6 // of the fault's time in which changes are refused
	memberDownFraction = 1.0 / 6
	maxDowntime        = 5 * time.Second
)

// playFaults plays one fault after the other until the plan's time is over.
func (r *run) playFaults(ctx context.Context) error {
	end := r.playStart.Add(time.Duration(r.plan.Seconds) * time.Second)
	faults := slices.DeleteFunc(slices.Clone(AllFaults), func(f Fault) bool { return !slices.Contains(r.plan.Faults, f) })
	if len(faults) == 0 {
		r.faultFreeUntil = end
		return nil
	}
	sum := 0.0
	for _, fault := range faults {
		sum += slotWeights[fault]
	}
	steady := time.Duration(faultFreeFraction * float64(end.Sub(r.playStart)))
	r.faultFreeUntil = r.playStart.Add(steady)
	unit := time.Duration(float64(end.Sub(r.faultFreeUntil)) / sum)
	random := rand.New(rand.NewPCG(r.plan.Seed, 3))
	if err := sleep(ctx, steady); err != nil {
		return err
	}
	defer r.recorder.setPhase("")
	for _, fault := range faults {
		slot := time.Duration(slotWeights[fault]) * unit
		r.logProgress("%s, %.0f s", fault, slot.Seconds())
		r.recorder.setPhase(fault)
		until := time.Now().Add(slot)
		if err := r.playFault(ctx, fault, slot, random); err != nil {
			return err
		}
		if err := sleep(ctx, time.Until(until)); err != nil {
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
	case FaultRejecting:
		return r.rejectChanges(ctx, scaleDuration(slot, rejectFraction), random)
	case FaultRegionCut:
		return r.cutRegion(ctx, scaleDuration(slot, cutFraction), random)
	case FaultAllRestarted:
		return r.restartAll(ctx, min(maxRestartSpread, scaleDuration(slot, restartFraction)))
	}
	return nil
}

func scaleDuration(of time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(of))
}

// chooseControllers gives the controllers that are chosen. The one with a process of its own is left alone: its steady running is
// measured.
func (r *run) chooseControllers(chosen func(controller int) bool) (indexes []int, has func(int) bool) {
	set := map[int]bool{}
	for at := range r.controllers {
		if at != measuredController && chosen(at) {
			indexes = append(indexes, at)
			set[at] = true
		}
	}
	return indexes, func(controller int) bool { return set[controller] }
}

func oneIn(random *rand.Rand, count int) func(int) bool {
	return func(int) bool { return random.IntN(count) == 0 }
}

func (r *run) reconnect(random *rand.Rand) error {
	indexes, has := r.chooseControllers(oneIn(random, reconnectOneIn))
	now := time.Now()
	r.recorder.recordFault(FaultReconnect, indexes, now, now)
	return r.commandControllers(actionReconnect, 0, has)
}

// killMembers kills a member that follows, and the leader in the second half.
func (r *run) killMembers(ctx context.Context, slot time.Duration) error {
	half := time.Now().Add(slot / 2)
	for _, leader := range []bool{false, true} {
		if leader {
			if err := sleep(ctx, time.Until(half)); err != nil {
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
		if err := r.killMember(ctx, victim, min(maxDowntime, scaleDuration(slot, memberDownFraction))); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) killMember(ctx context.Context, id uint64, down time.Duration) error {
	member := r.memberProcesses[id-1]
	now := time.Now()
	r.recorder.recordFault(FaultMemberKilled, r.recorder.controllersOf(member.address), now, now)
	if err := member.kill(); err != nil {
		return err
	}
	if err := sleep(ctx, down); err != nil {
		return err
	}
	return r.startMember(ctx, member)
}

// rejectChanges has some controllers refuse some changes for a while.
func (r *run) rejectChanges(ctx context.Context, over time.Duration, random *rand.Rand) error {
	indexes, has := r.chooseControllers(oneIn(random, rejectingOneIn))
	now := time.Now()
	r.recorder.recordFault(FaultRejecting, indexes, now, now.Add(over+configsync.DefaultLimits.RejectedBackoff))
	if err := r.commandControllers(actionReject, 0, has); err != nil {
		return err
	}
	if err := sleep(ctx, over); err != nil {
		return err
	}
	return r.commandControllers(actionAccept, 0, has)
}

// cutRegion cuts the controllers of one region off.
func (r *run) cutRegion(ctx context.Context, over time.Duration, random *rand.Rand) error {
	region := random.IntN(r.plan.Regions)
	indexes, has := r.chooseControllers(func(at int) bool { return r.controllers[at].Region == region })
	now := time.Now()
	r.recorder.recordFault(FaultRegionCut, indexes, now, now.Add(over))
	if err := r.commandControllers(actionCut, 0, has); err != nil {
		return err
	}
	if err := sleep(ctx, over); err != nil {
		return err
	}
	return r.commandControllers(actionHeal, 0, has)
}

// restartAll restarts all controllers evenly over a time.
func (r *run) restartAll(ctx context.Context, over time.Duration) error {
	_, has := r.chooseControllers(func(int) bool { return true })
	if err := r.commandControllers(actionRestart, over, has); err != nil {
		return err
	}
	return sleep(ctx, over)
}
