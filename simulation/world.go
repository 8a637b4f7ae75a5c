package simulation

import (
	"math/rand/v2"

	"harehook.dev/harehook/simulation/eventqueue"
)

// runStream selects the random numbers that a run draws. Those of its faults are others, so that a run with fewer faults
// (see Shrink) draws the same network.
const runStream = 11

// world is a run under way.
type world struct {
	setup   Setup
	now     int                   // tick
	events  eventqueue.Queue[int] // by tick
	rng     *rand.Rand
	outcome Outcome
	digest  uint64 // see trace

	members  []*member
	cutUntil map[link]int // tick from which messages pass again
	sidecars []uint64     // version that each holds
	operator operator
	history  history

	checks        checks
	measurements  measurements
	faultFreeFrom int // tick
}

// Play plays a run to its end, or to the tick of its first violations.
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

// newWorld returns a run in which no member has started.
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

// step lets one tick pass. The raft library panics at what can't be, such as an entry that was committed and is gone: the
// panic is a violation of the run.
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

// finish checks and measures what only the whole run shows.
func (w *world) finish() {
	w.checkHistory()
	w.checkSidecars()
	w.measureLogs()
	w.outcome.Fingerprint = w.digest
}

// drawMember returns any member.
func (w *world) drawMember() *member { return w.members[w.rng.IntN(len(w.members))] }
