package followers

import "harehook.dev/harehook/configsync"

// checkConvergence reads the status of all members at the same time, as an operator does, and compares the converged
// revision that they claim with the revisions of the followers.
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
		if !f.stopped {
			c.checkClaim(f, claim.ConvergedRevision)
		}
	}
}

// checkClaim checks that a follower with a live lease holds at least the revision that is claimed to be converged.
func (c *checker) checkClaim(f *follower, converged uint64) {
	if f.machine.Stale(c.world.clock.now()) {
		c.world.outcome.Stale++
		return
	}
	c.world.outcome.LiveAtClaims++
	if f.machine.Revision() < converged {
		c.report(BrokenConvergence, "%s holds revision %d with a live lease, but the claimed converged revision is %d", f, f.machine.Revision(), converged)
	}
}

// memberStatuses returns the statuses of the members that are up, with the state of their followers.
func (c *checker) memberStatuses() (statuses []configsync.MemberStatus) {
	for _, m := range c.world.members {
		if m.server != nil {
			statuses = append(statuses, m.server.Status(c.world.clock.now()))
		}
	}
	return statuses
}

// checkRecovered checks that all followers are in step at the end of a run, and that the members report it.
func (c *checker) checkRecovered() {
	last := c.world.log.last
	for _, f := range c.world.followers {
		if !f.inStep(last) {
			c.report(BrokenRecovery, "%s holds revision %d, want %d; connected: %v", f, f.machine.Revision(), last, f.session != nil)
		}
	}
	if len(c.world.outcome.Violations) > 0 {
		return
	}
	claim := configsync.Merge(c.memberStatuses(), c.world.memberNames())
	if !claim.Known || claim.ConvergedRevision != last || claim.Live != len(c.world.followers) {
		c.report(BrokenRecovery, "the converged revision is %d, want %d; known: %v; %d live followers, want %d", claim.ConvergedRevision, last, claim.Known, claim.Live, len(c.world.followers))
	}
}
