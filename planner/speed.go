package planner

import "math"

// What a node can answer.
const (
	updateInterval        = 0.5  // s between two steps of the learned speeds
	capacityWindow        = 8.0  // s that a node's answers and use are remembered: its work varies from call to call
	capacityPrior         = 1.5  // s of being busy that its kind counts for: a few dozen calls tell about as much
	idleLatency           = 0.30 // part of the SLO time that a try takes without waiting, for all that is known
	baselineLatencyGrowth = 0.01 // a second by which the best time seen at a node fades: its work may change
	minUtilization        = 0.30 // least busy part of a node that is believed: less says nothing of its speed
	minSlowStartFraction  = 0.25 // part of its weight that a new node starts with (design page)
	maxSlowStartDamping   = 0.25 // most part of its ramp that a cold node gets, for each time of the fall multiple
	minCapacityFraction   = 0.1  // least part that a ramp or lost tries leave a node: it still gets calls to be judged by
)

// learnCapacity keeps what each node answered beside how busy it was; the quotient is its speed. A node that tells
// nothing counts as busy by how long its tries wait beside the best time seen there.
func (c *Planner) learnCapacity() {
	keep := math.Exp(-updateInterval / capacityWindow)
	for i := range c.endpoints.all {
		ended := c.endpoints.all[i].completed
		lost, spent := c.endpoints.all[i].failed, c.endpoints.all[i].latencySum
		if c.endpoints.all[i].state != Ready || c.endpoints.all[i].health != healthy || ended < minAttempts || c.slowStartFraction(i) < 1 || c.meanObjective == 0 {
			continue
		}
		use := c.endpoints.all[i].utilization
		if c.config.UtilizationIndex < 0 {
			if good := ended - lost; good >= minAttempts {
				c.endpoints.all[i].baselineLatency = min(c.endpoints.all[i].baselineLatency*(1+baselineLatencyGrowth*updateInterval), spent/good)
			}
			quick := min(c.endpoints.all[i].baselineLatency, idleLatency*c.meanObjective)
			use = 1 - quick/max(quick, (spent+lost*c.meanObjective)/ended)
		}
		c.endpoints.all[i].answered = c.endpoints.all[i].answered*keep + (ended-lost)/loadWindow*updateInterval
		c.endpoints.all[i].busySeconds = c.endpoints.all[i].busySeconds*keep + max(use, minUtilization)*c.endpoints.all[i].weight*updateInterval
	}
	done, busy := make([]float64, len(c.typeCapacity)), make([]float64, len(c.typeCapacity))
	for i := range c.endpoints.all {
		k := c.endpoints.all[i].machineType
		done[k], busy[k] = done[k]+c.endpoints.all[i].answered, busy[k]+c.endpoints.all[i].busySeconds
	}
	for k := range c.typeCapacity {
		c.typeCapacity[k] = (done[k] + capacityPrior*(c.endpoints.sum(func(e *endpoint) float64 { return e.answered })+1e-9)/(c.endpoints.sum(func(e *endpoint) float64 { return e.busySeconds })+1e-9)) / (busy[k] + capacityPrior)
	}
}

// learnedCapacity is a node's listed weight times what is learned of it; where little is, its kind's.
func (c *Planner) learnedCapacity(i int) float64 {
	prior := capacityPrior * c.endpoints.all[i].weight
	return c.endpoints.all[i].weight * (c.endpoints.all[i].answered + prior*c.typeCapacity[c.endpoints.all[i].machineType]) / (c.endpoints.all[i].busySeconds + prior)
}

// slowStartFraction is the part of its weight that a node has by its ramp.
func (c *Planner) slowStartFraction(i int) float64 {
	if c.endpoints.all[i].startTime <= 0 {
		return 1
	}
	return min(1, minSlowStartFraction+(1-minSlowStartFraction)*max(0, c.now-c.endpoints.all[i].startTime)/max(c.config.SlowStartWindow, stepInterval))
}

// slowStartDamping guards against a cold node being pushed over by tries that others turn away: it gets less
// by the square of what the fleet answers, and by the fleet's load. Until sums tell, little is answered.
func (c *Planner) slowStartDamping(i int) float64 {
	part := minSlowStartFraction
	if c.successRatio > 0 {
		part = c.successRatio * c.successRatio * min(1, relievedLatency/c.saturation)
	}
	return max(minCapacityFraction, min(part, maxSlowStartDamping*c.config.OverloadMultiple))
}

// capacity is a node's part of its pool's capacity.
func (c *Planner) capacity(i int) float64 {
	if c.endpoints.all[i].state != Ready || c.endpoints.all[i].health == ejected {
		return 0
	}
	room, usual := c.learnedCapacity(i), c.medianFailureRatio
	if warmth := c.slowStartFraction(i); warmth < 1 {
		room, usual = room*warmth*c.slowStartDamping(i), 0
	}
	if c.endpoints.all[i].completed >= minAttempts {
		// One that has grown far slower than its peers, or is cold, loses tries long before its speed is learned.
		room *= max(minCapacityFraction, 1-max(0, c.endpoints.all[i].failed/c.endpoints.all[i].completed-usual))
	}
	if c.endpoints.all[i].health == probation {
		room *= probationFraction
	}
	return room
}
