// Package simulation plays the project's own machines on a clock of its own: members of a group, their disks, a network that
// delays, loses, doubles, reorders and cuts, operators and sidecars. One seed is one run, byte for byte. Checkers
// beside it say what must never be.
package simulation

import (
	"math/rand/v2"

	"github.com/anishathalye/porcupine"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/simulation/eventqueue"
)

const runStream = 11 // of the random numbers that a run draws

// world is a run under way.
type world struct {
	setup           Setup
	now             int
	events          eventqueue.Queue[int] // by tick
	rng             *rand.Rand
	members         []*member
	cutUntil        map[link]int // until when
	outcome         Outcome
	digest          uint64
	clientCount     int
	pendingProposal *proposal
	history         []porcupine.Operation
	textOfVersion   map[uint64]string         // by version number, of all that anyone told
	leaderOfTerm    map[uint64]uint64         // by term
	appliedEntry    map[uint64]string         // by index
	firstResult     map[string]cluster.Result // of each client's proposal, the first time that it was applied
	sidecars        []uint64                  // the version that each holds
	commitTick      map[uint64]int            // by version number; -1 once all sidecars have held it
	leaderLostAt    int
	lastLeader      uint64
	faultFreeFrom   int
}

// Play plays a run.
func Play(set Setup) Outcome {
	w := newWorld(set)
	for _, m := range w.members {
		w.startMember(m)
	}
	faults := set.Faults
	if faults == nil {
		faults = Draw(set)
	}
	for _, f := range faults {
		w.schedule(f.At, func() { w.startFault(f) })
	}
	for w.now = 0; w.now < set.Ticks && len(w.outcome.Violations) == 0; w.now++ {
		w.step()
	}
	w.finish()
	return w.outcome
}

// newWorld returns a run in which no member has started.
func newWorld(set Setup) *world {
	w := &world{
		setup:         set,
		rng:           rand.New(rand.NewPCG(set.Seed, runStream)),
		cutUntil:      map[link]int{},
		outcome:       Outcome{Settled: -1},
		textOfVersion: map[uint64]string{},
		leaderOfTerm:  map[uint64]uint64{},
		appliedEntry:  map[uint64]string{},
		firstResult:   map[string]cluster.Result{},
		sidecars:      make([]uint64, set.Sidecars),
		commitTick:    map[uint64]int{},
		leaderLostAt:  -1,
		faultFreeFrom: set.Ticks - set.FaultFreeTicks,
	}
	for id := range uint64(set.Members) {
		w.members = append(w.members, &member{id: id + 1, disk: newDisk(id + 1)})
	}
	return w
}

// step lets one tick pass. What the library finds that can't be, such as an entry that was committed and is gone, it
// panics at.
func (w *world) step() {
	defer func() {
		if p := recover(); p != nil {
			w.addViolation("panic: %v", p)
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
	w.observeGroup()
}
