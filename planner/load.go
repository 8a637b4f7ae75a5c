package planner

import "math"

// What proxies met at nodes, what is asked of them, and how full the fleet is.
const (
	demandWindow     = 3.0  // s over which a proxy's usage is averaged: long enough for its few calls, callers drift
	loadWindow       = 2.5  // s that what was met at a node is remembered: a few dozen calls, a few reports
	maxReportDelay   = 1.6  // s that sums come late at most, as the platform's pages tell
	saturatedLatency = 0.55 // part of the SLO time that the fleet's mean time may take before less is let in
	relievedLatency  = 0.45 // part under which more is let in again
)

// AddLoadReport brings what the proxies of a zone met at a node.
func (c *Planner) AddLoadReport(now float64, s LoadReport) {
	c.now = now
	i, known := c.endpoints.indexOf[s.Node]
	if !known || now-s.Interval-maxReportDelay < c.endpoints.all[i].startTime {
		return // it tells of the process before: a zone's new nodes were put out for what the lost ones had lost
	}
	// What was held up and comes all at once must not pass for a rate of answers that was never reached.
	part := min(1, loadWindow/max(s.Interval, 1e-9))
	ended, lost := float64(s.Completed)*part, float64(s.Failed)*part
	c.endpoints.all[i].completed, c.endpoints.all[i].failed, c.endpoints.all[i].latencySum = c.endpoints.all[i].completed+ended, c.endpoints.all[i].failed+lost, c.endpoints.all[i].latencySum+(ended-lost)*s.MeanLatency
	if k := c.config.QueueLengthIndex; k >= 0 && k < len(s.Values) {
		c.endpoints.all[i].queueLength = s.Values[k]
	}
	if k := c.config.UtilizationIndex; k >= 0 && k < len(s.Values) {
		c.endpoints.all[i].utilization += (s.Values[k] - c.endpoints.all[i].utilization) * (1 - math.Exp(-c.config.ReportInterval/loadWindow))
	}
}

// AddDemandReport brings how many calls of a route came to a proxy.
func (c *Planner) AddDemandReport(now float64, u DemandReport) {
	c.now = now
	if u.Proxy >= len(c.proxies.all) || c.proxies.all[u.Proxy].demand == nil || int(u.Route) >= len(c.config.Routes) || u.Interval <= 0 {
		return
	}
	// A proxy without calls says nothing: what was counted fades as others of its pool report, and stays while
	// none does. Reports that were held up come all at once: each tells of the time that is averaged at most.
	pool := c.proxies.all[u.Proxy].subset
	if keep := math.Exp((c.subsets[pool].demandReportedAt - now) / demandWindow); keep < 1 {
		for _, member := range c.subsets[pool].members {
			demand := c.proxies.all[member].demand
			for r := range demand {
				demand[r] *= keep
			}
		}
	}
	c.subsets[pool].demandReportedAt = now
	c.proxies.all[u.Proxy].demand[u.Route] += float64(u.Requests) / max(u.Interval, demandWindow)
}

// updateDemand lets what was met age, but on trial, where few calls must tell, and sums up what is asked.
func (c *Planner) updateDemand() {
	keep := math.Exp((c.decayedAt - c.now) / loadWindow)
	c.decayedAt = c.now
	for i := range c.endpoints.all {
		if c.endpoints.all[i].health != probation {
			c.endpoints.all[i].completed, c.endpoints.all[i].failed, c.endpoints.all[i].latencySum = keep*c.endpoints.all[i].completed, keep*c.endpoints.all[i].failed, keep*c.endpoints.all[i].latencySum
		}
	}
	c.successRatio = 0
	if ended := c.endpoints.sum(func(e *endpoint) float64 { return e.completed }); ended >= minAttempts {
		c.successRatio = 1 - c.endpoints.sum(func(e *endpoint) float64 { return e.failed })/ended
		c.windowCoverage += (1 - c.windowCoverage) * (1 - keep)
	}
	for z := range c.subsets {
		c.subsets[z].demand = 0
	}
	clear(c.routeDemand)
	for p := range c.proxies.all {
		for r, rate := range c.proxies.all[p].demand {
			c.subsets[c.proxies.all[p].subset].demand += rate
			c.routeDemand[r] += rate
			if !c.proxies.all[p].connected {
				c.proxies.all[p].demand[r] *= math.Exp(-stepInterval / demandWindow)
			}
		}
	}
	c.meanObjective = 0
	for r, rate := range c.routeDemand {
		c.meanObjective += c.config.Routes[r].LatencyObjective * rate / max(sum(c.routeDemand), 1e-9)
	}
}

func (c *Planner) resetStatistics(i int) {
	c.endpoints.all[i].completed, c.endpoints.all[i].failed, c.endpoints.all[i].latencySum, c.endpoints.all[i].answered, c.endpoints.all[i].busySeconds = 0, 0, 0, 0, 0
	c.endpoints.all[i].utilization, c.endpoints.all[i].queueLength, c.endpoints.all[i].baselineLatency = 0, 0, math.Inf(1)
}

// fleetLoad is what load reports and the list tell of the endpoints in service.
type fleetLoad struct {
	answers  float64 // good answers within loadWindow
	weight   float64 // listed, with slow start
	capacity float64 // requests a second that they could answer if all were busy
}

// measureSaturation sees how full the fleet is; it gives what was answered, the nodes' weight, and what they could
// answer. A few full nodes are for the weights to relieve: each counts for its answers, and bounded.
func (c *Planner) measureSaturation() fleetLoad {
	var fleet fleetLoad
	c.saturation = 0
	for i := range c.endpoints.all {
		e := &c.endpoints.all[i]
		if e.state != Ready || e.health == ejected {
			continue
		}
		fleet.weight += e.weight * c.slowStartFraction(i)
		fleet.capacity += c.learnedCapacity(i) * c.slowStartFraction(i)
		answers := e.completed - e.failed
		fleet.answers += answers
		c.saturation += answers * min(c.endpointSaturation(e), 1)
	}
	c.saturation /= max(fleet.answers, 1)
	return fleet
}

func (c *Planner) endpointSaturation(e *endpoint) float64 {
	answers := e.completed - e.failed
	if c.config.QueueLengthIndex >= 0 {
		// Calls that wait tell of a queue before those that waited do.
		return idleLatency + e.queueLength*loadWindow/max(answers, 1)/float64(c.config.Controllers)/c.meanObjective
	}
	// Tries lost where the others are quick are no load: connections refused, or a node that fails.
	slow := min(1, max(0, (e.latencySum/max(answers, 1)/c.meanObjective-idleLatency)/(saturatedLatency-idleLatency)))
	return (e.latencySum/c.meanObjective + slow*e.failed) / max(e.completed, minAttempts)
}
