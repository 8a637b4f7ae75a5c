package followers

import "time"

// minCrowdSize is the minimum number of followers waiting for their full scope that counts as a crowd.
const minCrowdSize = 5

// delayCheck describes a change to a follower in step, which must arrive within maxInStepDelay.
type delayCheck struct {
	follower     *follower
	incarnation  int
	session      *session
	revision     uint64
	committedAt  time.Duration
	crowdWaiting bool // at the commit, at least minCrowdSize followers waited for their full scope
}

// scheduleDelayChecks checks, maxInStepDelay after a commit, that the followers that were in step before the commit
// have received it.
func (c *checker) scheduleDelayChecks(before, revision uint64) {
	crowdWaiting := c.waitingFollowers() >= minCrowdSize
	for _, f := range c.world.followers {
		if !f.inStep(before) || !f.session.healthy() || f.rejecting {
			continue
		}
		check := delayCheck{
			follower:     f,
			incarnation:  f.incarnation,
			session:      f.session,
			revision:     revision,
			committedAt:  c.world.clock.elapsed,
			crowdWaiting: crowdWaiting,
		}
		c.world.clock.after(maxInStepDelay, func() { c.checkDelay(check) })
	}
}

// waitingFollowers returns the number of connected followers that have not accepted a revision yet.
func (c *checker) waitingFollowers() (count int) {
	for _, f := range c.world.followers {
		if f.session != nil && f.machine.Revision() == 0 {
			count++
		}
	}
	return count
}

// checkDelay checks that the change has arrived, unless the follower or its member has been disturbed since the commit.
func (c *checker) checkDelay(check delayCheck) {
	if check.disturbed() {
		return
	}
	c.world.outcome.InStepChecked++
	if check.crowdWaiting {
		c.world.outcome.InStepBesideCrowd++
	}
	f := check.follower
	if f.machine.Revision() < check.revision {
		c.report(BrokenDelay, "%s holds revision %d, %v after the commit of revision %d", f, f.machine.Revision(), c.world.clock.elapsed-check.committedAt, check.revision)
	}
}

// disturbed reports whether the follower, its member or their session has been affected by a fault since the commit, or
// the follower has restarted, changed its connection or rejected a revision.
func (d delayCheck) disturbed() bool {
	f := d.follower
	if f.incarnation != d.incarnation || f.session != d.session {
		return true
	}
	return f.disturbedAt >= d.committedAt || d.session.member.disturbedAt >= d.committedAt || !d.session.healthy()
}
