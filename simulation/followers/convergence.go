package followers

import "harehook.dev/harehook/configsync"

// checkConvergence asks all members at one moment, as an operator does, and compares the converged revision that they
// claim with what followers hold.
func (c *checker) checkConvergence() {
	statuses := c.memberStatuses()
	for index, status := range statuses {
		statuses[index] = plantInStatus(c.world.setup.Planted, status)
	}
	claim := configsync.Merge(statuses, c.world.memberNames())
	if !claim.Known {
		return
	}
	c.world.outcome.Claims++
	for _, f := range c.world.followers {
		if !f.absent {
			c.checkClaim(f, claim.ConvergedRevision)
		}
	}
}

// checkClaim checks that a follower with a live lease has the revision that is claimed to be converged.
func (c *checker) checkClaim(f *follower, converged uint64) {
	if f.machine.Stale(c.world.clock.now()) {
		c.world.outcome.Stale++
		return
	}
	c.world.outcome.LiveAtClaims++
	if f.machine.Revision() < converged {
		c.report(BrokenConvergence, "%s holds %d with a live lease, %d is told to be in force", f, f.machine.Revision(), converged)
	}
}

// memberStatuses is what the members that are up report of their followers.
func (c *checker) memberStatuses() (statuses []configsync.MemberStatus) {
	for _, m := range c.world.members {
		if m.server != nil {
			statuses = append(statuses, m.server.Status(c.world.clock.now()))
		}
	}
	return statuses
}

// checkRecovered checks that all followers are in step at the end of a run, and that the members know it.
func (c *checker) checkRecovered() {
	last := c.world.log.last
	for _, f := range c.world.followers {
		if !f.inStep(last) {
			c.report(BrokenRecovery, "%s holds %d of %d, connected %v", f, f.machine.Revision(), last, f.session != nil)
		}
	}
	if len(c.world.outcome.Violations) > 0 {
		return
	}
	claim := configsync.Merge(c.memberStatuses(), c.world.memberNames())
	if !claim.Known || claim.ConvergedRevision != last || claim.Live != len(c.world.followers) {
		c.report(BrokenRecovery, "in force %d of %d, known %v, live %d of %d", claim.ConvergedRevision, last, claim.Known, claim.Live, len(c.world.followers))
	}
}
