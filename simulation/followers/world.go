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
	// runStream is the stream of the random number generator of a run.
	runStream = 29
	// convergenceCheckInterval is the time between two checks of the converged revision.
	convergenceCheckInterval = 300 * time.Millisecond
	// settleCheckInterval is the time between two checks, in the fault-free time, of whether all followers are in step.
	settleCheckInterval = 100 * time.Millisecond
)

// world holds the state of a run in progress.
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

// Play simulates one run, which ends early once it has maxViolations.
func Play(setup Setup) Outcome {
	w := newWorld(setup)
	w.repeat(setup.CommitEvery, w.commit)
	w.repeat(setup.FaultEvery, w.injectFault)
	w.scheduleConvergenceChecks()
	w.clock.runUntil(setup.Active, w.reachedMaxViolations)
	if !w.reachedMaxViolations() {
		w.runFaultFree()
	}
	w.outcome.Fingerprint = w.checker.digest.Sum64()
	return w.outcome
}

// PlayAll simulates a run of the setup for each of the given number of consecutive seeds, in parallel on all cores. It
// returns the outcomes in the order of the seeds.
func PlayAll(setup Setup, firstSeed, seeds uint64) []Outcome {
	setups := make([]Setup, seeds)
	for index := range setups {
		setups[index] = setup
		setups[index].Seed = firstSeed + uint64(index)
	}
	return parallel.Map(setups, Play)
}

// newWorld returns a world whose members and followers have started.
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

// reachedMaxViolations reports whether the run has enough violations to end.
func (w *world) reachedMaxViolations() bool { return len(w.outcome.Violations) >= maxViolations }

// repeat calls do at random intervals with the given mean while the run is active.
func (w *world) repeat(mean time.Duration, do func()) {
	w.clock.after(w.drawUpTo(2*mean), func() {
		if w.clock.elapsed < w.setup.Active {
			do()
			w.repeat(mean, do)
		}
	})
}

// commit commits a random transaction, which each member receives after a random delay.
func (w *world) commit() {
	before := w.log.last
	if !w.log.propose() {
		return
	}
	w.outcome.Commits++
	w.checker.scheduleDelayChecks(before, w.log.last)
	entries := len(w.log.entries)
	for _, m := range w.members {
		w.clock.after(w.drawUpTo(maxReplicationDelay), func() { m.catchUp(entries) })
	}
}

// scheduleConvergenceChecks checks the converged revision periodically.
func (w *world) scheduleConvergenceChecks() {
	w.clock.after(convergenceCheckInterval, func() {
		w.checker.checkConvergence()
		w.scheduleConvergenceChecks()
	})
}

// runFaultFree runs the fault-free time, in which all followers must come in step. There are no commits and no new
// faults; faults that are still active end during it.
func (w *world) runFaultFree() {
	end := w.setup.Active + w.setup.FaultFree
	for w.clock.elapsed < end && !w.reachedMaxViolations() {
		w.clock.runUntil(w.clock.elapsed+settleCheckInterval, w.reachedMaxViolations)
		nextCheck := w.clock.elapsed/settleCheckInterval*settleCheckInterval + settleCheckInterval
		w.clock.elapsed = min(end, nextCheck)
		if w.outcome.Settled == 0 && w.allInStep() {
			w.outcome.Settled = w.clock.elapsed - w.setup.Active
		}
	}
	if !w.reachedMaxViolations() {
		w.checker.checkRecovered()
	}
}

// allInStep reports whether all followers are in step with the last revision.
func (w *world) allInStep() bool {
	return !slices.ContainsFunc(w.followers, func(f *follower) bool { return !f.inStep(w.log.last) })
}

func (w *world) memberNames() (names []string) {
	for _, m := range w.members {
		names = append(names, m.name)
	}
	return names
}

// memberNamed returns the member with the given name, which must exist.
func (w *world) memberNamed(name string) *member {
	return w.members[slices.IndexFunc(w.members, func(m *member) bool { return m.name == name })]
}

// drawDelay returns the random delay of a message.
func (w *world) drawDelay() time.Duration { return minDelay + w.drawUpTo(maxDelay-minDelay) }

// drawUpTo returns a random duration that is less than the limit.
func (w *world) drawUpTo(limit time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(limit)))
}
