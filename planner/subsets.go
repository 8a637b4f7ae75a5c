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

// subset is some endpoints and proxies of a zone. These proxies, its members, share one routing table.
type subset struct {
	members      []int     // proxies that are bound to its table
	baselineRate float64   // requests a second that its connected proxies usually get
	messageTimes []float64 // s, of the messages written to its members within Config.MessageWindow

	demand           float64 // requests a second, as of the last step
	demandReportedAt float64 // s, when one of its proxies last reported demand

	publishedLevels   []float64 // admission levels by route
	levelsPublishedAt float64   // s
	publishedNoRetry  bool      // whether retries were switched off with them

	desired, published []float64 // the table's weights by endpoint
}

// makeSubsets makes the subsets for a list of some endpoints. A zone is one subset unless that would have more than
// maxSubsetEndpoints: a long table would take the channel too long and give the proxies too many connections.
func (c *Planner) makeSubsets(endpoints int) {
	perZone := max(1, int(math.Ceil(float64(endpoints)/float64(c.config.Zones)/maxSubsetEndpoints)))
	c.subsets = make([]subset, c.config.Zones*perZone)
	for z := range c.subsets {
		c.subsets[z] = subset{
			demandReportedAt: c.now,
			publishedLevels:  slices.Repeat([]float64{1}, len(c.config.Routes)), // proxies admit all until told
		}
	}
	c.endpoints.dealtByZone = make([]int, c.config.Zones)
}

// assignSubset gives a proxy the subset of its zone with the lowest baseline rate.
func (c *Planner) assignSubset(proxy, zone int) {
	best := zone
	for candidate := best; candidate < len(c.subsets); candidate += c.config.Zones {
		if c.subsets[candidate].baselineRate < c.subsets[best].baselineRate {
			best = candidate
		}
	}
	c.proxies.all[proxy].subset = best
	c.subsets[best].baselineRate += c.proxies.all[proxy].baselineRate
}

// baselineRate is the requests a second that the connected proxies usually get.
func (c *Planner) baselineRate() (total float64) {
	for z := range c.subsets {
		total += c.subsets[z].baselineRate
	}
	return total
}

// demandBySubset lists the subsets' demand, in requests a second.
func (c *Planner) demandBySubset() []float64 {
	demand := make([]float64, len(c.subsets))
	for z := range c.subsets {
		demand[z] = c.subsets[z].demand
	}
	return demand
}

// demandShares are the calls by pool for the fill. A conductor that its own zone's proxies join would lend their
// calls to all zones alike: those that it does not see are taken to be as many, and where the room is.
func (c *Planner) demandShares(poolRoom []float64) []float64 {
	if !c.config.LocalZoneProxies {
		return c.demandBySubset()
	}
	shares, missing := c.demandBySubset(), make([]float64, len(poolRoom))
	all, seen, room := float64(c.config.Proxies), 0.0, max(sum(poolRoom), 1e-9)
	for pool := range c.subsets {
		members := c.subsets[pool].members
		seen += float64(len(members))
		missing[pool] = max(0, all*poolRoom[pool]/room-float64(len(members)))
	}
	// The fuller our own nodes are, the likelier it is that others have more room.
	belief := max(0, min(1, (saturatedLatency-c.saturation)/(saturatedLatency-relievedLatency)))
	unseen, whole := belief*c.baselineRate()/(seen+unseenDemandPrior)*max(0, all-seen), sum(missing)
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
