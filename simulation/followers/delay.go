package followers

import "time"

// crowdSize is how many followers that wait for their full scope are called a crowd.
const crowdSize = 5

// delayCheck is a change to a follower in step, which has to arrive within maxInStepDelay.
type delayCheck struct {
	follower     *follower
	incarnation  int
	session      *session
	revision     uint64
	committedAt  time.Duration
	besidesCrowd bool
}

// scheduleDelayChecks looks, some time after a commit, whether those that were in step before have it.
func (c *checker) scheduleDelayChecks(before, revision uint64) {
	besidesCrowd := c.crowd() >= crowdSize
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
			besidesCrowd: besidesCrowd,
		}
		c.world.clock.after(maxInStepDelay, func() { c.checkDelay(check) })
	}
}

// crowd is the number of connected followers that hold nothing yet.
func (c *checker) crowd() (waiting int) {
	for _, f := range c.world.followers {
		if f.session != nil && f.machine.Revision() == 0 {
			waiting++
		}
	}
	return waiting
}

// checkDelay checks that the change has arrived, unless the follower or its member was disturbed meanwhile.
func (c *checker) checkDelay(check delayCheck) {
	if check.disturbed() {
		return
	}
	c.world.outcome.InStepChecked++
	if check.besidesCrowd {
		c.world.outcome.InStepBesideCrowd++
	}
	f := check.follower
	if f.machine.Revision() < check.revision {
		c.report(BrokenDelay, "%s holds %d, %v after the commit of %d", f, f.machine.Revision(), c.world.clock.elapsed-check.committedAt, check.revision)
	}
}

// disturbed tells whether something has happened to the follower, its member or their session since the commit.
func (d delayCheck) disturbed() bool {
	f := d.follower
	if f.incarnation != d.incarnation || f.session != d.session {
		return true
	}
	return f.disturbedAt >= d.committedAt || d.session.member.disturbedAt >= d.committedAt || !d.session.healthy()
}
