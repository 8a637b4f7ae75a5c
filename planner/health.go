package planner

import (
	"fmt"
	"slices"
)

// Nodes that fail and their way back.
const (
	ejectLossRate = 0.25 // part of tries lost, above half again what the median node loses, from which a node is ejected
	minQueue      = 1.0  // calls waiting, where reported, that tell of load rather than of a fault
	deadLossRate  = 0.95 // part lost that no load explains: a full node still answers some
	minTries      = 4.0  // tries that must have ended before a node is judged, or its trial is over
	ejectionTime  = 4.0  // s that a node is ejected before it is tried again: most faults outlast that
	maxEjected    = 0.40 // part of the listed weight that may be ejected at once, if all is lost there; less if less is
	trialPart     = 0.25 // part of its weight that a node on trial gets, as a new one gets
)

// setHealth notes and logs a node's health.
func (c *Planner) setHealth(i int, h health) {
	if c.health[i] != h {
		c.host.Log(fmt.Sprintf("node %d %s", c.node[i], [...]string{"well", "out", "on trial"}[h]))
	}
	c.health[i], c.since[i], c.changed = h, c.now, true
}

// updateHealth ejects nodes that lose far more than their peers, and tries them again with a small part.
func (c *Planner) updateHealth() {
	losses, all, away := []float64(nil), 0.0, 0.0
	for i, condition := range c.condition {
		if condition != Ready {
			continue
		}
		all += c.listed[i]
		if c.health[i] != healthy {
			away += c.listed[i]
		} else if c.ended[i] >= minTries {
			losses = append(losses, c.lost[i]/c.ended[i])
		}
	}
	slices.Sort(losses)
	c.medianLost = 0
	if len(losses) > 0 {
		c.medianLost = losses[len(losses)/2]
	}
	lossLimit := ejectLossRate + 1.5*c.medianLost
	for i := range c.node {
		if c.condition[i] != Ready {
			continue
		}
		ended, lost, spent := c.ended[i], c.lost[i], c.spent[i]
		// A full node turns calls away as well, but the calls that it answers take long: that is load, and the
		// weights answer it. To eject it would only fill the next one.
		quick := spent < tightTime*c.slo*(ended-lost) && c.queue[i] < minQueue
		bad := ended >= minTries && lost >= lossLimit*ended && (lost >= deadLossRate*ended || quick)
		switch {
		case c.health[i] == ejected:
			if c.now >= c.since[i]+ejectionTime {
				c.forget(i)
				c.setHealth(i, onTrial)
			}
		case bad && (c.health[i] == onTrial || away+c.listed[i] <= maxEjected*all*lost/ended):
			away += c.listed[i]
			c.setHealth(i, ejected)
		case !bad && c.health[i] == onTrial && ended >= minTries:
			c.setHealth(i, healthy)
		}
	}
}
