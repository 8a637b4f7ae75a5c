// Package lab plays the project's own machines on a clock of its own: members of a group, their disks, a network that
// delays, loses, doubles, reorders and cuts, operators and sidecars. One seed is one run, byte for byte. Checkers
// beside it say what must never be.
package lab

import (
	"math/rand/v2"

	"github.com/anishathalye/porcupine"

	"harehook.dev/harehook/cluster"
)

const runStream = 11 // of the random numbers that a run draws

// World is a run under way.
type World struct {
	set      Setup
	now      int
	order    int
	queue    events
	chance   *rand.Rand
	members  []*member
	cut      map[link]int // until when
	out      Outcome
	print    uint64
	clients  int
	pending  *proposal
	history  []porcupine.Operation
	texts    map[uint64]string         // by version number, of all that anyone told
	leaders  map[uint64]uint64         // by term
	applied  map[uint64]string         // by index
	became   map[string]cluster.Result // of each client's proposal, the first time that it was applied
	sidecars []uint64                  // the version that each holds
	agreedAt map[uint64]int            // by version number; -1 once all sidecars have held it
	lostAt   int
	lead     uint64
	calmAt   int
}

// Play plays a run.
func Play(set Setup) Outcome {
	w := newWorld(set)
	for _, m := range w.members {
		w.start(m)
	}
	faults := set.Faults
	if faults == nil {
		faults = Draw(set)
	}
	for _, f := range faults {
		w.after(f.At, func() { w.begin(f) })
	}
	for w.now = 0; w.now < set.Ticks && len(w.out.Violations) == 0; w.now++ {
		w.step()
	}
	w.finish()
	return w.out
}

// newWorld returns a run in which no member has started.
func newWorld(set Setup) *World {
	w := &World{
		set:      set,
		chance:   rand.New(rand.NewPCG(set.Seed, runStream)),
		cut:      map[link]int{},
		out:      Outcome{Settled: -1},
		texts:    map[uint64]string{},
		leaders:  map[uint64]uint64{},
		applied:  map[uint64]string{},
		became:   map[string]cluster.Result{},
		sidecars: make([]uint64, set.Sidecars),
		agreedAt: map[uint64]int{},
		lostAt:   -1,
		calmAt:   set.Ticks - set.Calm,
	}
	for id := range uint64(set.Members) {
		w.members = append(w.members, &member{id: id + 1, disk: newDisk(id + 1)})
	}
	return w
}

// step lets one tick pass. What the library finds that can't be, such as an entry that was committed and is gone, it
// panics at.
func (w *World) step() {
	defer func() {
		if p := recover(); p != nil {
			w.violated("panic: %v", p)
		}
	}()
	w.runDue()
	for _, m := range w.members {
		if w.runs(m) {
			m.Tick()
			w.turn(m)
		}
	}
	w.operate()
	w.stream()
	w.watch()
}
