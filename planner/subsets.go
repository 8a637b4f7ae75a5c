package planner

import "math"

// maxSubsetEndpoints is the maximum number of endpoints in a subset, on average over the subsets. At ten, one endpoint
// is a tenth of the subset's capacity, and each endpoint still receives many of a proxy's requests.
const maxSubsetEndpoints = 10.0

// subset is a group of endpoints and proxies of a zone. Its proxies are its members and share one routing table.
type subset struct {
	members      []int     // proxies that are bound to its table
	baselineRate float64   // requests a second that its connected proxies usually receive
	messageTimes []float64 // s, of the messages written to its members within Config.MessageWindow

	demand           float64 // requests a second, updated at each step
	demandReportedAt float64 // s, time of the last demand report of one of its proxies

	admission publishedAdmission
	table     routingTable
}

// makeSubsets creates the subsets for a list of the given number of endpoints. A zone is a single subset unless the
// zones have more than maxSubsetEndpoints on average: a long table would occupy the channel for too long and require
// too many connections of the proxies.
func (p *Planner) makeSubsets(endpoints int) {
	perZone := max(1, int(math.Ceil(float64(endpoints)/float64(p.config.Zones)/maxSubsetEndpoints)))
	p.subsets = make([]subset, p.config.Zones*perZone)
	for k := range p.subsets {
		p.subsets[k] = subset{
			demandReportedAt: p.now,
			admission:        newPublishedAdmission(len(p.config.Routes)),
		}
	}
	p.endpoints.assignedByZone = make([]int, p.config.Zones)
}

// zoneOf returns the zone of a subset. Subsets are numbered round-robin over the zones: subset k belongs to zone
// k % Zones, so the first Zones subsets are the first subset of each zone, in order.
func (p *Planner) zoneOf(subset int) int { return subset % p.config.Zones }

// nthSubset returns the nth subset of a zone, modulo the number of subsets of the zone.
func (p *Planner) nthSubset(zone, n int) int { return (zone + p.config.Zones*n) % len(p.subsets) }

// assignSubset assigns a proxy to the subset of its zone with the lowest baseline rate.
func (p *Planner) assignSubset(proxy, zone int) {
	best := zone
	for candidate := best; candidate < len(p.subsets); candidate += p.config.Zones {
		if p.subsets[candidate].baselineRate < p.subsets[best].baselineRate {
			best = candidate
		}
	}
	p.proxies.all[proxy].subset = best
	p.subsets[best].baselineRate += p.proxies.all[proxy].baselineRate
}

// baselineRate returns the requests a second that all connected proxies usually receive.
func (p *Planner) baselineRate() (total float64) {
	for k := range p.subsets {
		total += p.subsets[k].baselineRate
	}
	return total
}

// totalDemand returns the demand of all subsets, in requests a second.
func totalDemand(subsets []subset) (total float64) {
	for k := range subsets {
		total += subsets[k].demand
	}
	return total
}
