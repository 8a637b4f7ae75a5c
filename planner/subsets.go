package planner

import (
	"math"
	"slices"
)

// Pools of nodes and proxies, and what of each pool's traffic goes to which.
const (
	maxSubsetEndpoints = 10.0 // nodes of a pool on average: one is a tenth, and each still gets many calls of a proxy
)

// subset is some endpoints and proxies of a zone. These proxies, its members, share one routing table.
type subset struct {
	members      []int     // proxies that are bound to its table
	baselineRate float64   // requests a second that its connected proxies usually get
	messageTimes []float64 // s, of the messages written to its members within Config.MessageWindow

	demand           float64 // requests a second, as of the last step
	demandReportedAt float64 // s, when one of its proxies last reported demand

	publishedLevels      []float64 // admission levels by route
	levelsPublishedAt    float64   // s
	publishedRetryPolicy RetryPolicy

	desired, published []float64 // the table's weights by endpoint
}

// makeSubsets makes the subsets for a list of some endpoints. A zone is one subset unless that would have more than
// maxSubsetEndpoints: a long table would take the channel too long and give the proxies too many connections.
func (c *Planner) makeSubsets(endpoints int) {
	perZone := max(1, int(math.Ceil(float64(endpoints)/float64(c.config.Zones)/maxSubsetEndpoints)))
	c.subsets = make([]subset, c.config.Zones*perZone)
	for z := range c.subsets {
		c.subsets[z] = subset{
			demandReportedAt:     c.now,
			publishedLevels:      slices.Repeat([]float64{1}, len(c.config.Routes)), // proxies admit all until told
			publishedRetryPolicy: RetryIfNotSent,
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
