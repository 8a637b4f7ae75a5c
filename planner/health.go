package planner

import (
	"fmt"
	"slices"
)

// Nodes that fail and their way back.
const (
	ejectFailureRatio = 0.25 // part of tries lost, above half again what the median node loses, from which a node is ejected
	minOverloadQueue  = 1.0  // calls waiting, where reported, that tell of load rather than of a fault
	deadFailureRatio  = 0.95 // part lost that no load explains: a full node still answers some
	minAttempts       = 4.0  // tries that must have ended before a node is judged, or its trial is over
	ejectionSeconds   = 4.0  // s that a node is ejected before it is tried again: most faults outlast that
	maxEjectedWeight  = 0.40 // part of the listed weight that may be ejected at once, if all is lost there; less if less is
	probationFraction = 0.25 // part of its weight that a node on trial gets, as a new one gets
)

// setHealth notes and logs a node's health.
func (c *Planner) setHealth(i int, h health) {
	if c.health[i] != h {
		c.host.Log(fmt.Sprintf("node %d %s", c.node[i], [...]string{"well", "out", "on trial"}[h]))
	}
	c.health[i], c.healthSince[i], c.tablesOutdated = h, c.now, true
}

// updateOutliers ejects nodes that lose far more than their peers, and tries them again with a small part.
func (c *Planner) updateOutliers() {
	losses, all, away := []float64(nil), 0.0, 0.0
	for i, condition := range c.state {
		if condition != Ready {
			continue
		}
		all += c.weight[i]
		if c.health[i] != healthy {
			away += c.weight[i]
		} else if c.completed[i] >= minAttempts {
			losses = append(losses, c.failed[i]/c.completed[i])
		}
	}
	slices.Sort(losses)
	c.medianFailureRatio = 0
	if len(losses) > 0 {
		c.medianFailureRatio = losses[len(losses)/2]
	}
	lossLimit := ejectFailureRatio + 1.5*c.medianFailureRatio
	for i := range c.node {
		if c.state[i] != Ready {
			continue
		}
		ended, lost, spent := c.completed[i], c.failed[i], c.latencySum[i]
		// A full node turns calls away as well, but the calls that it answers take long: that is load, and the
		// weights answer it. To eject it would only fill the next one.
		quick := spent < saturatedLatency*c.meanObjective*(ended-lost) && c.queueLength[i] < minOverloadQueue
		bad := ended >= minAttempts && lost >= lossLimit*ended && (lost >= deadFailureRatio*ended || quick)
		switch {
		case c.health[i] == ejected:
			if c.now >= c.healthSince[i]+ejectionSeconds {
				c.resetStatistics(i)
				c.setHealth(i, probation)
			}
		case bad && (c.health[i] == probation || away+c.weight[i] <= maxEjectedWeight*all*lost/ended):
			away += c.weight[i]
			c.setHealth(i, ejected)
		case !bad && c.health[i] == probation && ended >= minAttempts:
			c.setHealth(i, healthy)
		}
	}
}
