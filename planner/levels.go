package planner

import (
	"fmt"
	"math"
	"slices"
)

// How much of each route is let in.
const (
	budgetCut          = 0.95 // times what the fleet can answer: less, so that full queues empty
	cutIntervalSeconds = 5.0  // s between two cuts: sums reach back some seconds, come late and are averaged
	budgetGrowth       = 0.05 // a second by which more is let in while nothing waits: queues fill later than sums tell
	budgetRecovery     = 0.5  // the same for each whole that the budget is under the best rate of answers seen
	minWindowCoverage  = 0.5  // part of a view that tells the rate of answers: one taken early throttles an idle fleet
	capacityTarget     = 0.65 // part of what nodes could answer if all were busy that is let in: chance fills the rest
	unboundBudgetRatio = 1.3  // times the demand at which a budget no longer binds
	priorityTierRatio  = 0.8  // part of a route's gain that another must have to share its level
	minLevel           = 0.02 // least level: 0 would also stop what a proxy holds
	minLevelChange     = 0.05 // part by which a level must move before it is sent
	maxLevelShare      = 0.5  // most part of the channel's pace that levels take: tables move on as well
)

// updateAdmission guards against full queues: it lets in what the fleet has shown that it can answer, and of that the
// routes with most importance for each unit of work first, a route's SLO time standing for its work.
func (c *Planner) updateAdmission() {
	if c.meanObjective == 0 || c.successRatio == 0 {
		return
	}
	// A zone or a release takes nodes away and brings them back, a conductor that stops its proxies: what the
	// nodes can answer of ours goes and comes along, as slowly as the usage of proxies that left fades.
	callers := max(c.baselineRate(), 1e-9)
	c.servedBaselineRate = max(callers, callers+(c.servedBaselineRate-callers)*math.Exp(-updateInterval/demandWindow))
	good, fleet, able := c.measureSaturation()
	asked := c.estimateOriginalRequests()
	if fleet *= c.servedBaselineRate; c.budgetScale > 0 {
		c.workBudget, c.peakThroughput = c.workBudget*fleet/c.budgetScale, c.peakThroughput*fleet/c.budgetScale
	}
	c.budgetScale = fleet
	if c.windowCoverage > minWindowCoverage {
		c.peakThroughput = max(c.peakThroughput, good/loadWindow/c.windowCoverage*c.meanObjective)
	}
	c.saturated = c.saturation > saturatedLatency || c.saturated && c.saturation > relievedLatency
	switch {
	case c.saturation > saturatedLatency && c.now >= c.noCutBefore && c.peakThroughput > 0:
		c.workBudget = budgetCut * min(c.workBudget, c.peakThroughput)
		c.noCutBefore = c.now + cutIntervalSeconds
	case c.saturation < relievedLatency:
		pull := budgetGrowth + budgetRecovery*max(0, 1-c.workBudget/max(c.peakThroughput, 1e-9))
		c.workBudget *= 1 + pull*updateInterval*min(1, (relievedLatency-c.saturation)/(relievedLatency-idleLatency))
	}
	if able *= capacityTarget * c.meanObjective; c.config.UtilizationIndex >= 0 && asked > able {
		// Where nodes tell how busy they are, a burst shows in what is asked before any queue tells.
		c.workBudget = min(c.workBudget, able)
	}
	if c.config.Admission == AdmissionOff || c.saturation < relievedLatency && c.workBudget > unboundBudgetRatio*asked {
		c.workBudget = math.Inf(1)
	}
	if throttling := !math.IsInf(c.workBudget, 1); throttling != c.throttling {
		c.throttling, c.throttlingSince = throttling, c.now
		c.host.Log(fmt.Sprintf("throttling: %t", throttling))
	}
	left, level, tier := c.workBudget, 1.0, math.Inf(1)
	for k, r := range c.routesByPriority {
		if c.priorityPerCost[r] < priorityTierRatio*tier {
			// Routes that gain about alike share one level: the gain is only known roughly.
			work := 0.0
			for _, q := range c.routesByPriority[k:] {
				if c.priorityPerCost[q] >= priorityTierRatio*c.priorityPerCost[r] {
					work += c.originalRequests[q] * c.config.Routes[q].LatencyObjective
				}
			}
			tier, level = c.priorityPerCost[r], max(minLevel, min(1, left/max(work, 1e-9)))
			left = max(0, left-work)
		}
		if math.Abs(level-c.level[r]) > minLevelChange*c.level[r] || level == 1 && c.level[r] < 1 {
			c.level[r] = level
		}
	}
}

// publishLevels tells each pool the levels as the queue takes them, before tables that may wait: for all proxies
// at once they found no room beside tables, and a jam went on with all let in. Further tries are one, after
// proof that the first never ran, which is safe on every route; none while the fleet is full, where each only
// fills another node.
func (c *Planner) publishLevels() (all bool) {
	tries, routes := RetryIfNotSent, float64(len(c.routesByPriority))
	if all = true; c.saturated {
		tries = NoRetry
	}
	for z := range c.subsets {
		sent := c.subsets[z].publishedLevels
		lines := float64(len(c.subsets[z].members)*len(c.subsets)) * (c.config.MessageOverhead + 1 + routes) // as though all were as many
		late := c.now >= c.subsets[z].levelsPublishedAt+max(publishInterval, lines/(maxLevelShare*max(c.config.EntriesPerSecond, 1)))
		if !late || c.subsets[z].publishedNoRetry == c.saturated && slices.Equal(sent, c.level) {
			continue
		}
		room := c.flow.fits(c.flow.account.cost(c.now, c.subsets[z].members, routes), bindShare) || c.flow.idle()
		if all = all && room; !room || !c.flow.mayPublish(c.now, &c.subsets[z], routes, urgentShare) {
			continue // a pool that has had its messages holds no other back
		}
		for r, level := range c.level {
			if sent[r] != level || c.subsets[z].publishedNoRetry != c.saturated {
				if sent[r] = level; c.config.Admission == AdmissionRate {
					level = c.admissionRate(r)
				}
				c.host.SetAdmission(z, RouteID(r), level, tries)
				c.reserveEntry(z)
			}
		}
		c.subsets[z].levelsPublishedAt, c.subsets[z].publishedNoRetry = c.now, c.saturated
	}
	return all
}

// admissionRate is each proxy's max-min rate that lets in a part of a route's first tries; repeats use none of it.
func (c *Planner) admissionRate(r int) float64 {
	var rates []float64
	for p := range c.proxies.all {
		if c.proxies.all[p].connected {
			rates = append(rates, c.proxies.all[p].demand[r]*c.originalRequests[r]/max(c.routeDemand[r], 1e-9))
		}
	}
	slices.Sort(rates)
	left := c.level[r] * sum(rates)
	for k, rate := range rates {
		if each := left / float64(len(rates)-k); c.level[r] < 1 && rate >= each {
			return each
		}
		left -= rate
	}
	return math.MaxFloat32
}
