package planner

import (
	"math"
	"slices"
)

// maxLevelShare is the most of the channel's rate that admission levels take: tables have to move on as well.
const maxLevelShare = 0.5

// publishLevels sends the admission levels and the retry policy, subset by subset as flow control lets it, and before
// tables that may wait: in one piece for all proxies they may not fit beside tables for many seconds, during which an
// overload goes on with all admitted. It reports whether all that were due fit into the queue.
func (c *Planner) publishLevels() (allFit bool) {
	allFit = true
	for z := range c.subsets {
		if !c.levelsDue(z) {
			continue
		}
		s := &c.subsets[z]
		entries := float64(len(c.admission.byPriority))
		fits := c.flow.fits(c.flow.account.cost(c.now, s.members, entries), bindShare) || c.flow.idle()
		allFit = allFit && fits
		// A subset whose proxies got all the messages that they may get holds no other back.
		if fits && c.flow.mayPublish(c.now, s, entries, urgentShare) {
			c.publishSubsetLevels(z)
		}
	}
	return allFit
}

// levelsDue reports whether a subset's levels or retry policy have changed and may be sent again.
func (c *Planner) levelsDue(subset int) bool {
	s := &c.subsets[subset]
	entriesEach := c.config.MessageOverhead + 1 + float64(len(c.admission.byPriority))
	entries := float64(len(s.members)*len(c.subsets)) * entriesEach // as though all subsets were as large
	interval := max(publishInterval, entries/(maxLevelShare*max(c.config.EntriesPerSecond, 1)))
	if c.now < s.levelsPublishedAt+interval {
		return false
	}
	return s.publishedRetryPolicy != c.retries.policy() || !slices.Equal(s.publishedLevels, c.admission.levels)
}

// publishSubsetLevels sends a subset the levels that changed, or all with a changed retry policy.
func (c *Planner) publishSubsetLevels(subset int) {
	s := &c.subsets[subset]
	policy := c.retries.policy()
	for r, level := range c.admission.levels {
		if s.publishedLevels[r] == level && s.publishedRetryPolicy == policy {
			continue
		}
		s.publishedLevels[r] = level
		if c.config.Admission == AdmissionRate {
			level = c.admissionRate(r)
		}
		c.host.SetAdmission(subset, RouteID(r), level, policy)
		c.reserveEntry(subset)
	}
	s.levelsPublishedAt = c.now
	s.publishedRetryPolicy = policy
}

// admissionRate is the max-min fair rate of each proxy, in requests a second, that admits a route's level of its
// original requests. Client retries use none of it. A route that is admitted in full has no bound.
func (c *Planner) admissionRate(route int) float64 {
	original := c.admission.retries.original[route]
	var rates []float64 // original requests a second, by connected proxy
	for k := range c.proxies.all {
		if member := &c.proxies.all[k]; member.connected {
			rates = append(rates, member.demand[route]*original/max(c.routeDemand[route], 1e-9))
		}
	}
	slices.Sort(rates)
	level := c.admission.levels[route]
	left := level * sum(rates)
	for k, rate := range rates {
		equalShare := left / float64(len(rates)-k)
		if level < 1 && rate >= equalShare {
			return equalShare
		}
		left -= rate
	}
	return math.MaxFloat32
}
