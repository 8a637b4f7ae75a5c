package planner

import (
	"math"
	"slices"
)

// Pools of nodes and proxies, and what of each pool's traffic goes to which.
const (
	maxSubsetEndpoints = 10.0 // nodes of a pool on average: one is a tenth, and each still gets many calls of a proxy
	unseenDemandPrior  = 20.0 // proxies that must be seen before ours tell much of those that we do not see
)

// makeSubsets makes the pools, each some nodes and proxies of a zone with one table for these. A zone is one pool
// unless its table would take the channel too long and give its proxies too many connections.
func (c *Planner) makeSubsets(nodes int) {
	n := c.config.Zones * max(1, int(math.Ceil(float64(nodes)/float64(c.config.Zones)/maxSubsetEndpoints)))
	c.subsetDemand, c.members, c.messageTimes = make([]float64, n), make([][]int, n), make([][]float64, n)
	c.desired, c.published = make([][]float64, n), make([][]float64, n)
	c.subsetBaselineRate, c.dealtByZone = make([]float64, n), make([]int, c.config.Zones)
	c.demandReportedAt = slices.Repeat([]float64{c.now}, n)
	c.publishedLevels, c.levelsPublishedAt, c.publishedNoRetry = make([][]float64, n), make([]float64, n), make([]bool, n)
	for z := range c.publishedLevels {
		c.publishedLevels[z] = slices.Repeat([]float64{1}, len(c.config.Routes)) // proxies let all in until told
	}
}

// assignSubset gives a proxy the pool of its zone whose proxies get the fewest calls.
func (c *Planner) assignSubset(proxy, zone int) {
	best := zone
	for pool := best; pool < len(c.desired); pool += c.config.Zones {
		if c.subsetBaselineRate[pool] < c.subsetBaselineRate[best] {
			best = pool
		}
	}
	c.assigned[proxy] = best
	c.subsetBaselineRate[best] += c.baselineRate[proxy]
}

// demandShares are the calls by pool for the fill. A conductor that its own zone's proxies join would lend their
// calls to all zones alike: those that it does not see are taken to be as many, and where the room is.
func (c *Planner) demandShares(poolRoom []float64) []float64 {
	if !c.config.LocalZoneProxies {
		return c.subsetDemand
	}
	shares, missing := slices.Clone(c.subsetDemand), make([]float64, len(poolRoom))
	all, seen, room := float64(c.config.Proxies), 0.0, max(sum(poolRoom), 1e-9)
	for pool, members := range c.members {
		seen += float64(len(members))
		missing[pool] = max(0, all*poolRoom[pool]/room-float64(len(members)))
	}
	// The fuller our own nodes are, the likelier it is that others have more room.
	belief := max(0, min(1, (saturatedLatency-c.saturation)/(saturatedLatency-relievedLatency)))
	unseen, whole := belief*sum(c.subsetBaselineRate)/(seen+unseenDemandPrior)*max(0, all-seen), sum(missing)
	for pool, proxies := range missing {
		shares[pool] += unseen * proxies / max(whole, 1e-9)
	}
	return shares
}

// allocate is the paper's Algorithm 1 over pools: direct room first, then evenly over those that still have room,
// of its own zone first, a pool weighing its share of the traffic. It gives what of each goes to which.
func (c *Planner) allocate(shares, poolRoom []float64) []float64 {
	n := len(poolRoom)
	left := slices.Clone(poolRoom)
	given := make([]float64, n*n)
	whole := sum(poolRoom)
	use, load := make([]float64, n*n), make([]float64, n)
	for {
		clear(use)
		clear(load)
		near, far := make([][]int, c.config.Zones), []int(nil) // pools with room, of a zone and anywhere
		for to := range n {
			if left[to] > 1e-9*whole {
				near[to%c.config.Zones] = append(near[to%c.config.Zones], to)
				far = append(far, to)
			}
		}
		for from, share := range shares {
			targets := near[from%c.config.Zones]
			if left[from] > 1e-9*whole {
				targets = []int{from}
			} else if len(targets) == 0 && !c.localZoneOnly {
				targets = far
			}
			if share > 0 && len(targets) == 0 {
				return given
			}
			for _, to := range targets {
				use[from*n+to] += share / float64(len(targets))
				load[to] += share / float64(len(targets))
			}
		}
		bottleneck := math.Inf(1)
		for to := range n {
			if load[to] > 0 {
				bottleneck = min(bottleneck, left[to]/load[to])
			}
		}
		if math.IsInf(bottleneck, 1) {
			return given
		}
		for k, u := range use {
			given[k] += u * bottleneck
			left[k%n] -= u * bottleneck
		}
	}
}
