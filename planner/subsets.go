package planner

import "math"

// maxSubsetEndpoints is the most endpoints of a subset, on average over the zone. At ten, one endpoint is a tenth of
// the subset's capacity, and each still gets many of a proxy's requests.
const maxSubsetEndpoints = 10.0

// subset is some endpoints and proxies of a zone. These proxies, its members, share one routing table.
type subset struct {
	members      []int     // proxies that are bound to its table
	baselineRate float64   // requests a second that its connected proxies usually get
	messageTimes []float64 // s, of the messages written to its members within Config.MessageWindow

	demand           float64 // requests a second, as of the last step
	demandReportedAt float64 // s, when one of its proxies last reported demand

	admission publishedAdmission
	table     routingTable
}

// makeSubsets makes the subsets for a list of some endpoints. A zone is one subset unless that would have more than
// maxSubsetEndpoints: a long table would take the channel too long and give the proxies too many connections.
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

// zoneOf is the zone of a subset. Subsets are numbered round the zones: subset k belongs to zone k % Zones, so that the
// first Zones subsets are the first of each zone, in order.
func (p *Planner) zoneOf(subset int) int { return subset % p.config.Zones }

// nthSubset is the subset of a zone at a place among those of the zone, counted round.
func (p *Planner) nthSubset(zone, n int) int { return (zone + p.config.Zones*n) % len(p.subsets) }

// assignSubset gives a proxy the subset of its zone with the lowest baseline rate.
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

// baselineRate is the requests a second that the connected proxies usually get.
func (p *Planner) baselineRate() (total float64) {
	for k := range p.subsets {
		total += p.subsets[k].baselineRate
	}
	return total
}

// totalDemand is the demand of all subsets, in requests a second.
func totalDemand(subsets []subset) (total float64) {
	for k := range subsets {
		total += subsets[k].demand
	}
	return total
}
