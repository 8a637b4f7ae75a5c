package planner

import "math"

// What a node can answer.
const (
	learnEvery  = 0.5  // s between two steps of the learned speeds
	speedWindow = 8.0  // s that a node's answers and use are remembered: its work varies from call to call
	learnPrior  = 1.5  // s of being busy that its kind counts for: a few dozen calls tell about as much
	easyTime    = 0.30 // part of the SLO time that a try takes without waiting, for all that is known
	quickFade   = 0.01 // a second by which the best time seen at a node fades: its work may change
	easyUse     = 0.30 // least busy part of a node that is believed: less says nothing of its speed
	rampFrom    = 0.25 // part of its weight that a new node starts with (design page)
	maxEase     = 0.25 // most part of its ramp that a cold node gets, for each time of the fall multiple
	minPart     = 0.1  // least part that a ramp or lost tries leave a node: it still gets calls to be judged by
)

// learn keeps what each node answered beside how busy it was; the quotient is its speed. A node that tells
// nothing counts as busy by how long its tries wait beside the best time seen there.
func (c *Planner) learn() {
	keep := math.Exp(-learnEvery / speedWindow)
	for i, ended := range c.ended {
		lost, spent := c.lost[i], c.spent[i]
		if c.condition[i] != Ready || c.health[i] != healthy || ended < minTries || c.warmth(i) < 1 || c.slo == 0 {
			continue
		}
		use := c.use[i]
		if c.site.UtilizationIndex < 0 {
			if good := ended - lost; good >= minTries {
				c.quick[i] = min(c.quick[i]*(1+quickFade*learnEvery), spent/good)
			}
			quick := min(c.quick[i], easyTime*c.slo)
			use = 1 - quick/max(quick, (spent+lost*c.slo)/ended)
		}
		c.done[i] = c.done[i]*keep + (ended-lost)/viewWindow*learnEvery
		c.busy[i] = c.busy[i]*keep + max(use, easyUse)*c.listed[i]*learnEvery
	}
	done, busy := make([]float64, len(c.kindSpeed)), make([]float64, len(c.kindSpeed))
	for i, k := range c.kind {
		done[k], busy[k] = done[k]+c.done[i], busy[k]+c.busy[i]
	}
	for k := range c.kindSpeed {
		c.kindSpeed[k] = (done[k] + learnPrior*(sum(c.done)+1e-9)/(sum(c.busy)+1e-9)) / (busy[k] + learnPrior)
	}
}

// speed is a node's listed weight times what is learned of it; where little is, its kind's.
func (c *Planner) speed(i int) float64 {
	prior := learnPrior * c.listed[i]
	return c.listed[i] * (c.done[i] + prior*c.kindSpeed[c.kind[i]]) / (c.busy[i] + prior)
}

// warmth is the part of its weight that a node has by its ramp.
func (c *Planner) warmth(i int) float64 {
	if c.started[i] <= 0 {
		return 1
	}
	return min(1, rampFrom+(1-rampFrom)*max(0, c.now-c.started[i])/max(c.site.SlowStartWindow, wakeEvery))
}

// ease guards against a cold node being pushed over by tries that others turn away: it gets less
// by the square of what the fleet answers, and by the fleet's load. Until sums tell, little is answered.
func (c *Planner) ease(i int) float64 {
	part := rampFrom
	if c.answering > 0 {
		part = c.answering * c.answering * min(1, slackTime/c.load)
	}
	return max(minPart, min(part, maxEase*c.site.OverloadMultiple))
}

// room is a node's part of its pool's capacity.
func (c *Planner) room(i int) float64 {
	if c.condition[i] != Ready || c.health[i] == ejected {
		return 0
	}
	room, usual := c.speed(i), c.medianLost
	if warmth := c.warmth(i); warmth < 1 {
		room, usual = room*warmth*c.ease(i), 0
	}
	if c.ended[i] >= minTries {
		// One that has grown far slower than its peers, or is cold, loses tries long before its speed is learned.
		room *= max(minPart, 1-max(0, c.lost[i]/c.ended[i]-usual))
	}
	if c.health[i] == onTrial {
		room *= trialPart
	}
	return room
}
