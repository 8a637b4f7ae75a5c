package followers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"harehook.dev/harehook/records"
)

// convergenceCheckInterval is how often the revision in force is asked for.
const convergenceCheckInterval = 300 * time.Millisecond

// world is a run.
type world struct {
	setup     Setup
	rng       *rand.Rand
	clock     clock
	log       *agreedLog
	members   []*member
	followers []*follower
	checker   *checker
	outcome   Outcome
}

// Play plays one run.
func Play(setup Setup) Outcome {
	w := &world{setup: setup, rng: rand.New(rand.NewPCG(setup.Seed, 29))}
	w.log = newAgreedLog(w.rng)
	w.checker = newChecker(w)
	for n := range setup.Members {
		one := &member{world: w, name: fmt.Sprintf("m%d", n), store: records.NewStore()}
		w.members = append(w.members, one)
		one.start()
	}
	for n := range setup.Followers {
		one := &follower{world: w, name: fmt.Sprintf("f%02d", n), scope: w.drawScope()}
		w.followers = append(w.followers, one)
		one.start()
	}
	w.every(setup.CommitEvery, w.commit)
	w.every(setup.FaultEvery, w.injectFault)
	w.scheduleConvergenceChecks()
	w.clock.runUntil(setup.Active, w.violated)
	if !w.violated() {
		w.runCalm()
	}
	w.outcome.Fingerprint = w.checker.digest.Sum64()
	return w.outcome
}

func (w *world) violated() bool { return len(w.outcome.Violations) >= maxViolations }

// every does something again and again, at random times, while the run is active.
func (w *world) every(mean time.Duration, do func()) {
	w.clock.after(w.drawUpTo(2*mean), func() {
		if w.clock.elapsed < w.setup.Active {
			do()
			w.every(mean, do)
		}
	})
}

// commit has the group agree on a transaction, which the members get one after the other.
func (w *world) commit() {
	before := w.log.last
	if !w.log.propose() {
		return
	}
	w.outcome.Commits++
	w.checker.scheduleDelayCheck(before, w.log.last)
	place := len(w.log.entries)
	for _, m := range w.members {
		w.clock.after(w.drawUpTo(maxReplication), func() { m.catchUp(place) })
	}
}

func (w *world) scheduleConvergenceChecks() {
	w.clock.after(convergenceCheckInterval, func() {
		w.checker.checkConvergence()
		w.scheduleConvergenceChecks()
	})
}

// runCalm lets all come in step without commits. What faults began still ends in it.
func (w *world) runCalm() {
	const step = 100 * time.Millisecond
	end := w.setup.Active + w.setup.FaultFree
	for w.clock.elapsed < end && !w.violated() {
		w.clock.runUntil(w.clock.elapsed+step, w.violated)
		w.clock.elapsed = min(end, w.clock.elapsed/step*step+step)
		if w.outcome.Settled == 0 && w.allInStep() {
			w.outcome.Settled = w.clock.elapsed - w.setup.Active
		}
	}
	if !w.violated() {
		w.checker.checkRecovered()
	}
}

func (w *world) allInStep() bool {
	return !slices.ContainsFunc(w.followers, func(n *follower) bool { return !n.inStep(w.log.last) })
}

func (w *world) memberNames() (names []string) {
	for _, one := range w.members {
		names = append(names, one.name)
	}
	return names
}

func (w *world) memberNamed(name string) *member {
	return w.members[slices.IndexFunc(w.members, func(m *member) bool { return m.name == name })]
}

func (w *world) delay() time.Duration { return minDelay + w.drawUpTo(maxDelay-minDelay) }

func (w *world) drawUpTo(limit time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(limit)))
}
