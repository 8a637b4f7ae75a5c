package planner

import "math"

// What proxies met at nodes, what is asked of them, and how full the fleet is.
const (
	usageWindow  = 3.0  // s over which a proxy's usage is averaged: long enough for its few calls, callers drift
	viewWindow   = 2.5  // s that what was met at a node is remembered: a few dozen calls, a few reports
	maxSumsDelay = 1.6  // s that sums come late at most, as the platform's pages tell
	tightTime    = 0.55 // part of the SLO time that the fleet's mean time may take before less is let in
	slackTime    = 0.45 // part under which more is let in again
	levelWindow  = 3.0  // s over which a level shows in what is asked: its way, the report's and the mean's
	repeatWindow = 8.0  // s of throttling in which repeats are told from a change of callers
	minRepeats   = 0.1  // part of the calls that must be turned away for that
	maxRepeats   = 3.0  // repeats of a call that are believed
)

// AddLoadReport brings what the proxies of a zone met at a node.
func (c *Planner) AddLoadReport(now float64, s LoadReport) {
	c.now = now
	i, known := c.index[s.Node]
	if !known || now-s.Interval-maxSumsDelay < c.started[i] {
		return // it tells of the process before: a zone's new nodes were put out for what the lost ones had lost
	}
	// What was held up and comes all at once must not pass for a rate of answers that was never reached.
	part := min(1, viewWindow/max(s.Interval, 1e-9))
	ended, lost := float64(s.Completed)*part, float64(s.Failed)*part
	c.ended[i], c.lost[i], c.spent[i] = c.ended[i]+ended, c.lost[i]+lost, c.spent[i]+(ended-lost)*s.MeanLatency
	if k := c.site.QueueLengthIndex; k >= 0 && k < len(s.Values) {
		c.queue[i] = s.Values[k]
	}
	if k := c.site.UtilizationIndex; k >= 0 && k < len(s.Values) {
		c.use[i] += (s.Values[k] - c.use[i]) * (1 - math.Exp(-c.site.ReportInterval/viewWindow))
	}
}

// AddDemandReport brings how many calls of a route came to a proxy.
func (c *Planner) AddDemandReport(now float64, u DemandReport) {
	c.now = now
	if u.Proxy >= len(c.joined) || c.usage[u.Proxy] == nil || int(u.Route) >= len(c.site.Routes) || u.Interval <= 0 {
		return
	}
	// A proxy without calls says nothing: what was counted fades as others of its pool report, and stays while
	// none does. Reports that were held up come all at once: each tells of the time that is averaged at most.
	pool := c.home[u.Proxy]
	if keep := math.Exp((c.heardAt[pool] - now) / usageWindow); keep < 1 {
		for _, p := range c.members[pool] {
			for r := range c.usage[p] {
				c.usage[p][r] *= keep
			}
		}
	}
	c.heardAt[pool] = now
	c.usage[u.Proxy][u.Route] += float64(u.Requests) / max(u.Interval, usageWindow)
}

// updateDemand lets what was met age, but on trial, where few calls must tell, and sums up what is asked.
func (c *Planner) updateDemand() {
	keep := math.Exp((c.fadedAt - c.now) / viewWindow)
	c.fadedAt = c.now
	for i := range c.node {
		if c.health[i] != onTrial {
			c.ended[i], c.lost[i], c.spent[i] = keep*c.ended[i], keep*c.lost[i], keep*c.spent[i]
		}
	}
	c.answering = 0
	if ended := sum(c.ended); ended >= minTries {
		c.answering = 1 - sum(c.lost)/ended
		c.filled += (1 - c.filled) * (1 - keep)
	}
	clear(c.poolCalls)
	clear(c.asked)
	for p, here := range c.joined {
		for r, rate := range c.usage[p] {
			c.poolCalls[c.home[p]] += rate
			c.asked[r] += rate
			if !here {
				c.usage[p][r] *= math.Exp(-wakeEvery / usageWindow)
			}
		}
	}
	c.slo = 0
	for r, rate := range c.asked {
		c.slo += c.site.Routes[r].LatencyObjective * rate / max(sum(c.asked), 1e-9)
	}
}

func (c *Planner) forget(i int) {
	c.ended[i], c.lost[i], c.spent[i], c.done[i], c.busy[i] = 0, 0, 0, 0, 0
	c.use[i], c.queue[i], c.quick[i] = 0, 0, math.Inf(1)
}

// measureLoad sees how full the fleet is; it gives what was answered, the nodes' weight, and what they could
// answer. A few full nodes are for the weights to relieve: each counts for its answers, and bounded.
func (c *Planner) measureLoad() (good, fleet, able float64) {
	c.load = 0
	for i, tries := range c.ended {
		if c.condition[i] != Ready || c.health[i] == ejected {
			continue
		}
		fleet, able = fleet+c.listed[i]*c.warmth(i), able+c.speed(i)*c.warmth(i)
		answers := tries - c.lost[i]
		good += answers
		// Tries lost where the others are quick are no load: connections refused, or a node that fails.
		slow := min(1, max(0, (c.spent[i]/max(answers, 1)/c.slo-easyTime)/(tightTime-easyTime)))
		part := (c.spent[i]/c.slo + slow*c.lost[i]) / max(tries, minTries)
		if c.site.QueueLengthIndex >= 0 {
			// Calls that wait tell of a queue before those that waited do.
			part = easyTime + c.queue[i]*viewWindow/max(answers, 1)/float64(c.site.Controllers)/c.slo
		}
		c.load += answers * min(part, 1)
	}
	c.load /= max(good, 1)
	return good, fleet, able
}

// countFirstTries tells first tries from what is asked, in SLO times a second. Clients repeat what is turned away,
// and that is turned away again; how often shows early in throttling, beside what as many asked before.
func (c *Planner) countFirstTries() (asked float64) {
	all, was, hidden, turned := sum(c.asked), 0.0, 0.0, 0.0
	calls := max(sum(c.poolCalls), 1e-9)
	for r, rate := range c.asked {
		shut := 0.0
		for z, sent := range c.sentLevels {
			shut += (1 - sent[r]) * c.poolCalls[z] / calls
		}
		c.turnedAway[r] += (shut - c.turnedAway[r]) * learnEvery / levelWindow
		if !c.throttling {
			c.askedBefore[r] = rate / c.calling
		}
		was, hidden = was+c.askedBefore[r]*c.calling, hidden+c.askedBefore[r]*c.calling*c.turnedAway[r]
		turned += rate * c.turnedAway[r]
		c.firstTries[r] = rate / (1 + c.repeats*c.turnedAway[r])
		asked += c.firstTries[r] * c.site.Routes[r].LatencyObjective
	}
	if c.throttling && c.now < c.throttledAt+repeatWindow && hidden > minRepeats*was {
		seen := min(max((all-was)/hidden, 0), maxRepeats)
		c.repeats += (seen - c.repeats) * learnEvery / levelWindow
	}
	if tries := sum(c.ended) / viewWindow / c.filled; c.load < easyTime && turned > 0 {
		// Repeats alone could keep an idle fleet throttled: where nothing waits, what ended was let in.
		c.repeats = min(max((all-turned)/tries-1, 0)*all/turned, maxRepeats)
	}
	return asked
}
