package brain

import (
	"fmt"
	"slices"
)

// Nodes that fail and their way back.
const (
	sickLost  = 0.25 // part of tries lost, above half again what the median node loses, that is sick
	minQueue  = 1.0  // calls waiting, where reported, that tell of load rather than of a fault
	deadLost  = 0.95 // part lost that no load explains: a full node still answers some
	sickCalls = 4.0  // tries that must have ended before a node is judged, or its trial is over
	outFor    = 4.0  // s that a sick node is left out before it is tried again: most faults outlast that
	outPart   = 0.40 // part of the listed weight that may be out at once, if all is lost there; less if less is
	trialPart = 0.25 // part of its weight that a node on trial gets, as a new one gets
)

func (c *Conductor) setHealth(i int, h health) {
	if c.health[i] != h {
		c.host.Log(fmt.Sprintf("node %d %s", c.node[i], [...]string{"well", "out", "on trial"}[h]))
	}
	c.health[i], c.since[i], c.changed = h, c.now, true
}

// judgeNodes takes out nodes that lose far more than their peers, and tries them again with a small part.
func (c *Conductor) judgeNodes() {
	losses, all, away := []float64(nil), 0.0, 0.0
	for i, condition := range c.condition {
		if condition != Ready {
			continue
		}
		all += c.listed[i]
		if c.health[i] != well {
			away += c.listed[i]
		} else if c.ended[i] >= sickCalls {
			losses = append(losses, c.lost[i]/c.ended[i])
		}
	}
	slices.Sort(losses)
	c.usualLost = 0
	if len(losses) > 0 {
		c.usualLost = losses[len(losses)/2]
	}
	lossBar := sickLost + 1.5*c.usualLost
	for i := range c.node {
		if c.condition[i] != Ready {
			continue
		}
		ended, lost, spent := c.ended[i], c.lost[i], c.spent[i]
		// A full node turns calls away as well, but the calls that it answers take long: that is load, and the
		// weights answer it. Taking it out would only fill the next one.
		quick := spent < tightTime*c.slo*(ended-lost) && c.queue[i] < minQueue
		bad := ended >= sickCalls && lost >= lossBar*ended && (lost >= deadLost*ended || quick)
		switch {
		case c.health[i] == out:
			if c.now >= c.since[i]+outFor {
				c.forget(i)
				c.setHealth(i, onTrial)
			}
		case bad && (c.health[i] == onTrial || away+c.listed[i] <= outPart*all*lost/ended):
			away += c.listed[i]
			c.setHealth(i, out)
		case !bad && c.health[i] == onTrial && ended >= sickCalls:
			c.setHealth(i, well)
		}
	}
}
