package loadtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"harehook.dev/harehook/configsync"
)

// slotWeights are the relative lengths of the slots of faults. The time after the fault-free part of a run is divided
// into slots, one for each fault.
var slotWeights = map[Fault]float64{
	FaultReconnect:    1,
	FaultMemberKilled: 3,
	FaultRejecting:    1,
	FaultRegionCut:    2,
	FaultAllRestarted: 4,
}

const (
	faultFreeFraction        = 0.25    // of the duration of the run, before the first fault
	reconnectOneIn           = 10      // one controller in ten reconnects
	rejectingControllerOneIn = 5       // one controller in five rejects changes
	restartFraction          = 0.6     // of the fault's slot, in which all controllers are restarted
	cutFraction              = 0.6     // of the fault's slot, for which a region is disconnected
	rejectFraction           = 0.6     // of the fault's slot, in which changes are rejected
	memberDownFraction       = 1.0 / 6 // of the fault's slot, for which a killed member stays down
	maxRestartSpread         = time.Minute
	maxDowntime              = 5 * time.Second // of a member
)

// injectFaults injects one fault after the other until the duration of the plan has passed.
func (r *run) injectFaults(ctx context.Context) error {
	duration := time.Duration(r.plan.Seconds) * time.Second
	faults := slices.DeleteFunc(slices.Clone(AllFaults), func(f Fault) bool { return !slices.Contains(r.plan.Faults, f) })
	if len(faults) == 0 {
		r.faultFreeUntil = r.workloadStart.Add(duration)
		return nil
	}
	faultFree := scaleDuration(duration, faultFreeFraction)
	r.faultFreeUntil = r.workloadStart.Add(faultFree)
	if err := sleep(ctx, faultFree); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(r.plan.Seed, faultStream))
	slots := faultSlots(faults, duration-faultFree)
	defer r.recorder.setActiveFault("")
	for _, fault := range faults {
		if err := r.runFaultSlot(ctx, fault, slots[fault], rng); err != nil {
			return err
		}
	}
	return nil
}

// faultSlots divides a duration into slots for the faults, in proportion to slotWeights.
func faultSlots(faults []Fault, duration time.Duration) map[Fault]time.Duration {
	sum := 0.0
	for _, fault := range faults {
		sum += slotWeights[fault]
	}
	unit := time.Duration(float64(duration) / sum)
	slots := map[Fault]time.Duration{}
	for _, fault := range faults {
		slots[fault] = time.Duration(slotWeights[fault]) * unit
	}
	return slots
}

// runFaultSlot injects a fault and waits for the end of its slot.
func (r *run) runFaultSlot(ctx context.Context, fault Fault, slot time.Duration, rng *rand.Rand) error {
	r.logProgress("%s, %.0f s", fault, slot.Seconds())
	r.recorder.setActiveFault(fault)
	end := time.Now().Add(slot)
	if err := r.injectFault(ctx, fault, slot, rng); err != nil {
		return fmt.Errorf("fault %q: %w", fault, err)
	}
	return sleep(ctx, time.Until(end))
}

// injectFault injects a fault and ends it within its slot.
func (r *run) injectFault(ctx context.Context, fault Fault, slot time.Duration, rng *rand.Rand) error {
	switch fault {
	case FaultReconnect:
		return r.reconnect(rng)
	case FaultMemberKilled:
		return r.killMembers(ctx, slot)
	case FaultRejecting:
		return r.rejectChanges(ctx, scaleDuration(slot, rejectFraction), rng)
	case FaultRegionCut:
		return r.cutRegion(ctx, scaleDuration(slot, cutFraction), rng)
	case FaultAllRestarted:
		return r.restartAll(ctx, min(maxRestartSpread, scaleDuration(slot, restartFraction)))
	default:
		return fmt.Errorf("unknown fault")
	}
}

func scaleDuration(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

// chooseControllers returns the indices of the chosen controllers and a function that reports whether a controller is
// among them. It never chooses the controller that has its own process, because its steady operation is measured.
func (r *run) chooseControllers(choose func(controller int) bool) (indexes []int, isChosen func(int) bool) {
	chosen := map[int]bool{}
	for index := range r.controllers {
		if index != measuredController && choose(index) {
			indexes = append(indexes, index)
			chosen[index] = true
		}
	}
	return indexes, func(controller int) bool { return chosen[controller] }
}

// oneIn returns a function that chooses a controller with a probability of 1/count.
func oneIn(rng *rand.Rand, count int) func(int) bool {
	return func(int) bool { return rng.IntN(count) == 0 }
}

// reconnect closes the connections of randomly chosen controllers.
func (r *run) reconnect(rng *rand.Rand) error {
	indexes, isChosen := r.chooseControllers(oneIn(rng, reconnectOneIn))
	now := time.Now()
	r.recorder.recordFault(FaultReconnect, indexes, now, now)
	return r.commandControllers(actionReconnect, 0, isChosen)
}

// killMembers kills a member that is not the leader, and the leader in the second half of the slot.
func (r *run) killMembers(ctx context.Context, slot time.Duration) error {
	secondHalf := time.Now().Add(slot / 2)
	downtime := min(maxDowntime, scaleDuration(slot, memberDownFraction))
	leader, err := r.group.leader(ctx)
	if err != nil {
		return err
	}
	otherMember := leader%uint64(r.plan.Members) + 1
	if err := r.killMember(ctx, otherMember, downtime); err != nil {
		return err
	}
	if err := sleep(ctx, time.Until(secondHalf)); err != nil {
		return err
	}
	leader, err = r.group.leader(ctx)
	if err != nil {
		return err
	}
	return r.killMember(ctx, leader, downtime)
}

// killMember kills a member and restarts it after downtime. The fault affects the controllers that the member served.
func (r *run) killMember(ctx context.Context, id uint64, downtime time.Duration) error {
	member := r.memberProcesses[id-1]
	now := time.Now()
	r.recorder.recordFault(FaultMemberKilled, r.recorder.controllersOf(member.address.Address()), now, now)
	if err := member.kill(); err != nil {
		return err
	}
	if err := sleep(ctx, downtime); err != nil {
		return err
	}
	return r.startMember(ctx, member)
}

// rejectChanges makes some controllers reject some changes for a duration.
func (r *run) rejectChanges(ctx context.Context, duration time.Duration, rng *rand.Rand) error {
	indexes, isChosen := r.chooseControllers(oneIn(rng, rejectingControllerOneIn))
	now := time.Now()
	r.recorder.recordFault(FaultRejecting, indexes, now, now.Add(duration+configsync.DefaultLimits.RejectedBackoff))
	if err := r.commandControllers(actionReject, 0, isChosen); err != nil {
		return err
	}
	if err := sleep(ctx, duration); err != nil {
		return err
	}
	return r.commandControllers(actionAccept, 0, isChosen)
}

// cutRegion disconnects the controllers of one region for a duration.
func (r *run) cutRegion(ctx context.Context, duration time.Duration, rng *rand.Rand) error {
	region := rng.IntN(r.plan.Regions)
	indexes, isChosen := r.chooseControllers(func(index int) bool { return r.controllers[index].Region == region })
	now := time.Now()
	r.recorder.recordFault(FaultRegionCut, indexes, now, now.Add(duration))
	if err := r.commandControllers(actionCut, 0, isChosen); err != nil {
		return err
	}
	if err := sleep(ctx, duration); err != nil {
		return err
	}
	return r.commandControllers(actionHeal, 0, isChosen)
}

// restartAll restarts all controllers, evenly distributed over spread.
func (r *run) restartAll(ctx context.Context, spread time.Duration) error {
	_, isChosen := r.chooseControllers(func(int) bool { return true })
	if err := r.commandControllers(actionRestart, spread, isChosen); err != nil {
		return err
	}
	return sleep(ctx, spread)
}
