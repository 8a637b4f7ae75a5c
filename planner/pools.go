package planner

import (
	"math"
	"slices"
)

// Pools of nodes and proxies, and what of each pool's traffic goes to which.
const (
	maxPoolNodes = 10.0 // nodes of a pool on average: one is a tenth, and each still gets many calls of a proxy
	ownPrior     = 20.0 // proxies that must be seen before ours tell much of those that we do not see
)

// makePools makes the pools, each some nodes and proxies of a zone with one table for these. A zone is one pool
// unless its table would take the channel too long and give its proxies too many connections.
func (c *Planner) makePools(nodes int) {
	n := c.site.Zones * max(1, int(math.Ceil(float64(nodes)/float64(c.site.Zones)/maxPoolNodes)))
	c.poolCalls, c.members, c.writes = make([]float64, n), make([][]int, n), make([][]float64, n)
	c.want, c.sent = make([][]float64, n), make([][]float64, n)
	c.callers, c.nodesDealt = make([]float64, n), make([]int, c.site.Zones)
	c.heardAt = slices.Repeat([]float64{c.now}, n)
	c.sentLevels, c.levelsSentAt, c.sentNoRetry = make([][]float64, n), make([]float64, n), make([]bool, n)
	for z := range c.sentLevels {
		c.sentLevels[z] = slices.Repeat([]float64{1}, len(c.site.Routes)) // proxies let all in until told
	}
}

// assignPool gives a proxy the pool of its zone whose proxies get the fewest calls.
func (c *Planner) assignPool(proxy, zone int) {
	best := zone
	for pool := best; pool < len(c.want); pool += c.site.Zones {
		if c.callers[pool] < c.callers[best] {
			best = pool
		}
	}
	c.home[proxy] = best
	c.callers[best] += c.typical[proxy]
}

// shares are the calls by pool for the fill. A conductor that its own zone's proxies join would lend their
// calls to all zones alike: those that it does not see are taken to be as many, and where the room is.
func (c *Planner) shares(poolRoom []float64) []float64 {
	if !c.site.LocalZoneProxies {
		return c.poolCalls
	}
	shares, missing := slices.Clone(c.poolCalls), make([]float64, len(poolRoom))
	all, seen, room := float64(c.site.Proxies), 0.0, max(sum(poolRoom), 1e-9)
	for pool, members := range c.members {
		seen += float64(len(members))
		missing[pool] = max(0, all*poolRoom[pool]/room-float64(len(members)))
	}
	// The fuller our own nodes are, the likelier it is that others have more room.
	belief := max(0, min(1, (tightTime-c.load)/(tightTime-slackTime)))
	unseen, whole := belief*sum(c.callers)/(seen+ownPrior)*max(0, all-seen), sum(missing)
	for pool, proxies := range missing {
		shares[pool] += unseen * proxies / max(whole, 1e-9)
	}
	return shares
}

// fill is the paper's Algorithm 1 over pools: direct room first, then evenly over those that still have room,
// of its own zone first, a pool weighing its share of the traffic. It gives what of each goes to which.
func (c *Planner) fill(shares, poolRoom []float64) []float64 {
	n := len(poolRoom)
	left := slices.Clone(poolRoom)
	given := make([]float64, n*n)
	whole := sum(poolRoom)
	use, load := make([]float64, n*n), make([]float64, n)
	for {
		clear(use)
		clear(load)
		near, far := make([][]int, c.site.Zones), []int(nil) // pools with room, of a zone and anywhere
		for to := range n {
			if left[to] > 1e-9*whole {
				near[to%c.site.Zones] = append(near[to%c.site.Zones], to)
				far = append(far, to)
			}
		}
		for from, share := range shares {
			targets := near[from%c.site.Zones]
			if left[from] > 1e-9*whole {
				targets = []int{from}
			} else if len(targets) == 0 && !c.homeOnly {
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
