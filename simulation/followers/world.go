package followers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"harehook.dev/harehook/records"
	"harehook.dev/harehook/simulation/parallel"
)

const (
	// runStream selects the random numbers that a run draws.
	runStream = 29
	// convergenceCheckInterval is how often the members are asked for the converged revision.
	convergenceCheckInterval = 300 * time.Millisecond
	// settleCheckInterval is how often it is checked, without faults, whether all are in step.
	settleCheckInterval = 100 * time.Millisecond
)

// world is a run under way.
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

// Play plays one run to its end, or until it has maxViolations.
func Play(setup Setup) Outcome {
	w := newWorld(setup)
	w.repeat(setup.CommitEvery, w.commit)
	w.repeat(setup.FaultEvery, w.injectFault)
	w.scheduleConvergenceChecks()
	w.clock.runUntil(setup.Active, w.violated)
	if !w.violated() {
		w.runFaultFree()
	}
	w.outcome.Fingerprint = w.checker.digest.Sum64()
	return w.outcome
}

// PlayAll plays a run of the setup for each of some seeds in a row, as many at once as there are cores. The outcomes come
// in the order of the seeds.
func PlayAll(setup Setup, firstSeed, seeds uint64) []Outcome {
	setups := make([]Setup, seeds)
	for index := range setups {
		setups[index] = setup
		setups[index].Seed = firstSeed + uint64(index)
	}
	return parallel.Map(setups, Play)
}

// newWorld returns a run whose members and followers have started.
func newWorld(setup Setup) *world {
	w := &world{setup: setup, rng: rand.New(rand.NewPCG(setup.Seed, runStream))}
	w.log = newAgreedLog(w.rng)
	w.checker = newChecker(w)
	for index := range setup.Members {
		m := &member{world: w, name: fmt.Sprintf("m%d", index), store: records.NewStore()}
		w.members = append(w.members, m)
		m.start()
	}
	for index := range setup.Followers {
		f := &follower{world: w, name: fmt.Sprintf("f%02d", index), scope: w.drawScope()}
		w.followers = append(w.followers, f)
		f.start()
	}
	return w
}

// violated tells whether enough violations were seen to end the run.
func (w *world) violated() bool { return len(w.outcome.Violations) >= maxViolations }

// repeat does something again and again, at random times, while the run is active.
func (w *world) repeat(mean time.Duration, do func()) {
	w.clock.after(w.drawUpTo(2*mean), func() {
		if w.clock.elapsed < w.setup.Active {
			do()
			w.repeat(mean, do)
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
	w.checker.scheduleDelayChecks(before, w.log.last)
	entries := len(w.log.entries)
	for _, m := range w.members {
		w.clock.after(w.drawUpTo(maxReplication), func() { m.catchUp(entries) })
	}
}

// scheduleConvergenceChecks checks the converged revision again and again.
func (w *world) scheduleConvergenceChecks() {
	w.clock.after(convergenceCheckInterval, func() {
		w.checker.checkConvergence()
		w.scheduleConvergenceChecks()
	})
}

// runFaultFree lets all come in step, without commits. What faults began still ends in it.
func (w *world) runFaultFree() {
	end := w.setup.Active + w.setup.FaultFree
	for w.clock.elapsed < end && !w.violated() {
		w.clock.runUntil(w.clock.elapsed+settleCheckInterval, w.violated)
		nextCheck := w.clock.elapsed/settleCheckInterval*settleCheckInterval + settleCheckInterval
		w.clock.elapsed = min(end, nextCheck)
		if w.outcome.Settled == 0 && w.allInStep() {
			w.outcome.Settled = w.clock.elapsed - w.setup.Active
		}
	}
	if !w.violated() {
		w.checker.checkRecovered()
	}
}

// allInStep tells whether all followers hold the newest revision.
func (w *world) allInStep() bool {
	return !slices.ContainsFunc(w.followers, func(f *follower) bool { return !f.inStep(w.log.last) })
}

func (w *world) memberNames() (names []string) {
	for _, m := range w.members {
		names = append(names, m.name)
	}
	return names
}

// memberNamed returns the member with a name; there has to be one.
func (w *world) memberNamed(name string) *member {
	return w.members[slices.IndexFunc(w.members, func(m *member) bool { return m.name == name })]
}

// drawDelay draws how long a message takes.
func (w *world) drawDelay() time.Duration { return minDelay + w.drawUpTo(maxDelay-minDelay) }

// drawUpTo draws a duration under a limit.
func (w *world) drawUpTo(limit time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(limit)))
}
