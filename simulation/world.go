package simulation

import (
	"math/rand/v2"

	"harehook.dev/harehook/simulation/eventqueue"
)

// runStream selects the stream of random numbers of a run. Faults are drawn from another stream (faultStream), so that
// the removal of faults (see Shrink) does not change the numbers that the rest of the run draws from.
const runStream = 11

// world is the state of a run in progress.
type world struct {
	setup   Setup
	now     int                   // tick
	events  eventqueue.Queue[int] // by tick
	rng     *rand.Rand
	outcome Outcome
	digest  uint64 // see trace

	members  []*member
	cutUntil map[link]int // tick at which the link works again
	sidecars []uint64     // version that each sidecar holds
	operator operator
	history  history

	checks        checks
	measurements  measurements
	faultFreeFrom int // first of the fault-free ticks
}

// Play simulates a run to its end, or to the tick of its first violations.
func Play(setup Setup) Outcome {
	w := newWorld(setup)
	for _, m := range w.members {
		w.startMember(m)
	}
	for _, fault := range setup.plannedFaults() {
		w.schedule(fault.At, func() { w.startFault(fault) })
	}
	for w.now = 0; w.now < setup.Ticks && len(w.outcome.Violations) == 0; w.now++ {
		w.step()
	}
	w.finish()
	return w.outcome
}

// newWorld returns the state of a run in which no member has started.
func newWorld(setup Setup) *world {
	w := &world{
		setup:         setup,
		rng:           rand.New(rand.NewPCG(setup.Seed, runStream)),
		cutUntil:      map[link]int{},
		outcome:       Outcome{Settled: -1},
		sidecars:      make([]uint64, setup.Sidecars),
		checks:        newChecks(),
		measurements:  newMeasurements(),
		faultFreeFrom: setup.Ticks - setup.FaultFreeTicks,
	}
	for id := range uint64(setup.Members) {
		w.members = append(w.members, &member{id: id + 1, disk: newDisk(id + 1)})
	}
	return w
}

// step advances the run by one tick. The raft library panics in impossible states, such as the loss of a committed
// entry: step records a panic as a violation.
func (w *world) step() {
	defer func() {
		if reason := recover(); reason != nil {
			w.addViolation(NoPanic, "panic: %v", reason)
		}
	}()
	w.runDue()
	for _, m := range w.members {
		if w.isResponsive(m) {
			m.Tick()
			w.advance(m)
		}
	}
	w.runOperator()
	w.updateSidecars()
	w.measureLeader()
	w.measureConvergence()
}

// finish performs the checks and measurements that need the complete run.
func (w *world) finish() {
	w.checkHistory()
	w.checkSidecars()
	w.measureLogs()
	w.outcome.Fingerprint = w.digest
}

// drawMember returns a random member.
func (w *world) drawMember() *member { return w.members[w.rng.IntN(len(w.members))] }
