package planner

import (
	"fmt"
	"math"
	"slices"
)

// How much of each route is let in.
const (
	tightCut   = 0.95 // times what the fleet can answer: less, so that full queues empty
	holdFor    = 5.0  // s between two cuts: sums reach back some seconds, come late and are averaged
	slackPull  = 0.05 // a second by which more is let in while nothing waits: queues fill later than sums tell
	slackBack  = 0.5  // the same for each whole that the budget is under the best rate of answers seen
	filledAt   = 0.5  // part of a view that tells the rate of answers: one taken early throttles an idle fleet
	ablePart   = 0.65 // part of what nodes could answer if all were busy that is let in: chance fills the rest
	levelOff   = 1.3  // times the demand at which a budget no longer binds
	tierPart   = 0.8  // part of a route's gain that another must have to share its level
	levelLow   = 0.02 // least level: 0 would also stop what a proxy holds
	levelMove  = 0.05 // part by which a level must move before it is sent
	levelsPart = 0.5  // most part of the channel's pace that levels take: tables move on as well
)

// updateLevels guards against full queues: it lets in what the fleet has shown that it can answer, and of that the
// routes with most importance for each unit of work first, a route's SLO time standing for its work.
func (c *Planner) updateLevels() {
	if c.slo == 0 || c.answering == 0 {
		return
	}
	// A zone or a release takes nodes away and brings them back, a conductor that stops its proxies: what the
	// nodes can answer of ours goes and comes along, as slowly as the usage of proxies that left fades.
	callers := max(sum(c.callers), 1e-9)
	c.calling = max(callers, callers+(c.calling-callers)*math.Exp(-learnEvery/usageWindow))
	good, fleet, able := c.measureLoad()
	asked := c.countFirstTries()
	if fleet *= c.calling; c.fleet > 0 {
		c.budget, c.peak = c.budget*fleet/c.fleet, c.peak*fleet/c.fleet
	}
	c.fleet = fleet
	if c.filled > filledAt {
		c.peak = max(c.peak, good/viewWindow/c.filled*c.slo)
	}
	c.full = c.load > tightTime || c.full && c.load > slackTime
	switch {
	case c.load > tightTime && c.now >= c.holdUntil && c.peak > 0:
		c.budget = tightCut * min(c.budget, c.peak)
		c.holdUntil = c.now + holdFor
	case c.load < slackTime:
		pull := slackPull + slackBack*max(0, 1-c.budget/max(c.peak, 1e-9))
		c.budget *= 1 + pull*learnEvery*min(1, (slackTime-c.load)/(slackTime-easyTime))
	}
	if able *= ablePart * c.slo; c.site.UtilizationIndex >= 0 && asked > able {
		// Where nodes tell how busy they are, a burst shows in what is asked before any queue tells.
		c.budget = min(c.budget, able)
	}
	if c.site.Admission == AdmissionOff || c.load < slackTime && c.budget > levelOff*asked {
		c.budget = math.Inf(1)
	}
	if throttling := !math.IsInf(c.budget, 1); throttling != c.throttling {
		c.throttling, c.throttledAt = throttling, c.now
		c.host.Log(fmt.Sprintf("throttling: %t", throttling))
	}
	left, level, tier := c.budget, 1.0, math.Inf(1)
	for k, r := range c.order {
		if c.gain[r] < tierPart*tier {
			// Routes that gain about alike share one level: the gain is only known roughly.
			work := 0.0
			for _, q := range c.order[k:] {
				if c.gain[q] >= tierPart*c.gain[r] {
					work += c.firstTries[q] * c.site.Routes[q].LatencyObjective
				}
			}
			tier, level = c.gain[r], max(levelLow, min(1, left/max(work, 1e-9)))
			left = max(0, left-work)
		}
		if math.Abs(level-c.level[r]) > levelMove*c.level[r] || level == 1 && c.level[r] < 1 {
			c.level[r] = level
		}
	}
}

// sendLevels tells each pool the levels as the queue takes them, before tables that may wait: for all proxies
// at once they found no room beside tables, and a jam went on with all let in. Further tries are one, after
// proof that the first never ran, which is safe on every route; none while the fleet is full, where each only
// fills another node.
func (c *Planner) sendLevels() (all bool) {
	tries, routes := RetryIfNotSent, float64(len(c.order))
	if all = true; c.full {
		tries = NoRetry
	}
	for z, sent := range c.sentLevels {
		lines := float64(len(c.members[z])*len(c.sentLevels)) * (c.site.MessageOverhead + 1 + routes) // as though all were as many
		late := c.now >= c.levelsSentAt[z]+max(paceEvery, lines/(levelsPart*max(c.site.EntriesPerSecond, 1)))
		if !late || c.sentNoRetry[z] == c.full && slices.Equal(sent, c.level) {
			continue
		}
		room := c.fits(c.channel.cost(c.now, c.members[z], routes), bindPart) || c.free(idlePart) > 0
		if all = all && room; !room || !c.mayWrite(z, routes, queueFull) {
			continue // a pool that has had its messages holds no other back
		}
		for r, level := range c.level {
			if sent[r] != level || c.sentNoRetry[z] != c.full {
				if sent[r] = level; c.site.Admission == AdmissionRate {
					level = c.rateFor(r)
				}
				c.host.SetAdmission(z, RouteID(r), level, tries)
				c.write(z)
			}
		}
		c.levelsSentAt[z], c.sentNoRetry[z] = c.now, c.full
	}
	return all
}

// rateFor is each proxy's max-min rate that lets in a part of a route's first tries; repeats use none of it.
func (c *Planner) rateFor(r int) float64 {
	var rates []float64
	for p, here := range c.joined {
		if here {
			rates = append(rates, c.usage[p][r]*c.firstTries[r]/max(c.asked[r], 1e-9))
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
