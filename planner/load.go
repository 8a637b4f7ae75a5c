package planner

import "math"

// What proxies met at nodes, what is asked of them, and how full the fleet is.
const (
	demandWindow      = 3.0  // s over which a proxy's usage is averaged: long enough for its few calls, callers drift
	loadWindow        = 2.5  // s that what was met at a node is remembered: a few dozen calls, a few reports
	maxReportDelay    = 1.6  // s that sums come late at most, as the platform's pages tell
	saturatedLatency  = 0.55 // part of the SLO time that the fleet's mean time may take before less is let in
	relievedLatency   = 0.45 // part under which more is let in again
	admissionLag      = 3.0  // s over which a level shows in what is asked: its way, the report's and the mean's
	clientRetryWindow = 8.0  // s of throttling in which repeats are told from a change of callers
	minRejectedDemand = 0.1  // part of the calls that must be turned away for that
	maxClientRetries  = 3.0  // repeats of a call that are believed
)

// AddLoadReport brings what the proxies of a zone met at a node.
func (c *Planner) AddLoadReport(now float64, s LoadReport) {
	c.now = now
	i, known := c.indexOf[s.Node]
	if !known || now-s.Interval-maxReportDelay < c.startTime[i] {
		return // it tells of the process before: a zone's new nodes were put out for what the lost ones had lost
	}
	// What was held up and comes all at once must not pass for a rate of answers that was never reached.
	part := min(1, loadWindow/max(s.Interval, 1e-9))
	ended, lost := float64(s.Completed)*part, float64(s.Failed)*part
	c.completed[i], c.failed[i], c.latencySum[i] = c.completed[i]+ended, c.failed[i]+lost, c.latencySum[i]+(ended-lost)*s.MeanLatency
	if k := c.config.QueueLengthIndex; k >= 0 && k < len(s.Values) {
		c.queueLength[i] = s.Values[k]
	}
	if k := c.config.UtilizationIndex; k >= 0 && k < len(s.Values) {
		c.utilization[i] += (s.Values[k] - c.utilization[i]) * (1 - math.Exp(-c.config.ReportInterval/loadWindow))
	}
}

// AddDemandReport brings how many calls of a route came to a proxy.
func (c *Planner) AddDemandReport(now float64, u DemandReport) {
	c.now = now
	if u.Proxy >= len(c.connected) || c.demand[u.Proxy] == nil || int(u.Route) >= len(c.config.Routes) || u.Interval <= 0 {
		return
	}
	// A proxy without calls says nothing: what was counted fades as others of its pool report, and stays while
	// none does. Reports that were held up come all at once: each tells of the time that is averaged at most.
	pool := c.assigned[u.Proxy]
	if keep := math.Exp((c.demandReportedAt[pool] - now) / demandWindow); keep < 1 {
		for _, p := range c.members[pool] {
			for r := range c.demand[p] {
				c.demand[p][r] *= keep
			}
		}
	}
	c.demandReportedAt[pool] = now
	c.demand[u.Proxy][u.Route] += float64(u.Requests) / max(u.Interval, demandWindow)
}

// updateDemand lets what was met age, but on trial, where few calls must tell, and sums up what is asked.
func (c *Planner) updateDemand() {
	keep := math.Exp((c.decayedAt - c.now) / loadWindow)
	c.decayedAt = c.now
	for i := range c.node {
		if c.health[i] != probation {
			c.completed[i], c.failed[i], c.latencySum[i] = keep*c.completed[i], keep*c.failed[i], keep*c.latencySum[i]
		}
	}
	c.successRatio = 0
	if ended := sum(c.completed); ended >= minAttempts {
		c.successRatio = 1 - sum(c.failed)/ended
		c.windowCoverage += (1 - c.windowCoverage) * (1 - keep)
	}
	clear(c.subsetDemand)
	clear(c.routeDemand)
	for p, here := range c.connected {
		for r, rate := range c.demand[p] {
			c.subsetDemand[c.assigned[p]] += rate
			c.routeDemand[r] += rate
			if !here {
				c.demand[p][r] *= math.Exp(-stepInterval / demandWindow)
			}
		}
	}
	c.meanObjective = 0
	for r, rate := range c.routeDemand {
		c.meanObjective += c.config.Routes[r].LatencyObjective * rate / max(sum(c.routeDemand), 1e-9)
	}
}

func (c *Planner) resetStatistics(i int) {
	c.completed[i], c.failed[i], c.latencySum[i], c.answered[i], c.busySeconds[i] = 0, 0, 0, 0, 0
	c.utilization[i], c.queueLength[i], c.baselineLatency[i] = 0, 0, math.Inf(1)
}

// measureSaturation sees how full the fleet is; it gives what was answered, the nodes' weight, and what they could
// answer. A few full nodes are for the weights to relieve: each counts for its answers, and bounded.
func (c *Planner) measureSaturation() (good, fleet, able float64) {
	c.saturation = 0
	for i, tries := range c.completed {
		if c.state[i] != Ready || c.health[i] == ejected {
			continue
		}
		fleet, able = fleet+c.weight[i]*c.slowStartFraction(i), able+c.learnedCapacity(i)*c.slowStartFraction(i)
		answers := tries - c.failed[i]
		good += answers
		// Tries lost where the others are quick are no load: connections refused, or a node that fails.
		slow := min(1, max(0, (c.latencySum[i]/max(answers, 1)/c.meanObjective-idleLatency)/(saturatedLatency-idleLatency)))
		part := (c.latencySum[i]/c.meanObjective + slow*c.failed[i]) / max(tries, minAttempts)
		if c.config.QueueLengthIndex >= 0 {
			// Calls that wait tell of a queue before those that waited do.
			part = idleLatency + c.queueLength[i]*loadWindow/max(answers, 1)/float64(c.config.Controllers)/c.meanObjective
		}
		c.saturation += answers * min(part, 1)
	}
	c.saturation /= max(good, 1)
	return good, fleet, able
}

// estimateOriginalRequests tells first tries from what is asked, in SLO times a second. Clients repeat what is turned away,
// and that is turned away again; how often shows early in throttling, beside what as many asked before.
func (c *Planner) estimateOriginalRequests() (asked float64) {
	all, was, hidden, turned := sum(c.routeDemand), 0.0, 0.0, 0.0
	calls := max(sum(c.subsetDemand), 1e-9)
	for r, rate := range c.routeDemand {
		shut := 0.0
		for z, sent := range c.publishedLevels {
			shut += (1 - sent[r]) * c.subsetDemand[z] / calls
		}
		c.rejected[r] += (shut - c.rejected[r]) * updateInterval / admissionLag
		if !c.throttling {
			c.unthrottledDemand[r] = rate / c.servedBaselineRate
		}
		was, hidden = was+c.unthrottledDemand[r]*c.servedBaselineRate, hidden+c.unthrottledDemand[r]*c.servedBaselineRate*c.rejected[r]
		turned += rate * c.rejected[r]
		c.originalRequests[r] = rate / (1 + c.clientRetries*c.rejected[r])
		asked += c.originalRequests[r] * c.config.Routes[r].LatencyObjective
	}
	if c.throttling && c.now < c.throttlingSince+clientRetryWindow && hidden > minRejectedDemand*was {
		seen := min(max((all-was)/hidden, 0), maxClientRetries)
		c.clientRetries += (seen - c.clientRetries) * updateInterval / admissionLag
	}
	if tries := sum(c.completed) / loadWindow / c.windowCoverage; c.saturation < idleLatency && turned > 0 {
		// Repeats alone could keep an idle fleet throttled: where nothing waits, what ended was let in.
		c.clientRetries = min(max((all-turned)/tries-1, 0)*all/turned, maxClientRetries)
	}
	return asked
}
