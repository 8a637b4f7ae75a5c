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
	if c.endpoints.all[i].health != h {
		c.host.Log(fmt.Sprintf("node %d %s", c.endpoints.all[i].node, [...]string{"well", "out", "on trial"}[h]))
	}
	c.endpoints.all[i].health, c.endpoints.all[i].healthSince, c.tablesOutdated = h, c.now, true
}

// updateOutliers ejects nodes that lose far more than their peers, and tries them again with a small part.
func (c *Planner) updateOutliers() {
	losses, all, away := []float64(nil), 0.0, 0.0
	for i := range c.endpoints.all {
		if c.endpoints.all[i].state != Ready {
			continue
		}
		all += c.endpoints.all[i].weight
		if c.endpoints.all[i].health != healthy {
			away += c.endpoints.all[i].weight
		} else if c.endpoints.all[i].completed >= minAttempts {
			losses = append(losses, c.endpoints.all[i].failed/c.endpoints.all[i].completed)
		}
	}
	slices.Sort(losses)
	c.medianFailureRatio = 0
	if len(losses) > 0 {
		c.medianFailureRatio = losses[len(losses)/2]
	}
	lossLimit := ejectFailureRatio + 1.5*c.medianFailureRatio
	for i := range c.endpoints.all {
		if c.endpoints.all[i].state != Ready {
			continue
		}
		ended, lost, spent := c.endpoints.all[i].completed, c.endpoints.all[i].failed, c.endpoints.all[i].latencySum
		// A full node turns calls away as well, but the calls that it answers take long: that is load, and the
		// weights answer it. To eject it would only fill the next one.
		quick := spent < saturatedLatency*c.meanObjective*(ended-lost) && c.endpoints.all[i].queueLength < minOverloadQueue
		bad := ended >= minAttempts && lost >= lossLimit*ended && (lost >= deadFailureRatio*ended || quick)
		switch {
		case c.endpoints.all[i].health == ejected:
			if c.now >= c.endpoints.all[i].healthSince+ejectionSeconds {
				c.resetStatistics(i)
				c.setHealth(i, probation)
			}
		case bad && (c.endpoints.all[i].health == probation || away+c.endpoints.all[i].weight <= maxEjectedWeight*all*lost/ended):
			away += c.endpoints.all[i].weight
			c.setHealth(i, ejected)
		case !bad && c.endpoints.all[i].health == probation && ended >= minAttempts:
			c.setHealth(i, healthy)
		}
	}
}
