package planner

import (
	"cmp"
	"math"
	"slices"
)

// maxSpillFraction is the maximum fraction of an endpoint's capacity that other subsets use, unless they are granted a
// larger fraction of its subset.
const maxSpillFraction = 0.50

// routingTable holds the weights of endpoints for the members of a subset, indexed by endpoint.
type routingTable struct {
	desired   []float64 // as planned; the sum is 1 or 0
	published []float64 // as sent; the sum is arbitrary
}

// grow appends an entry for the endpoint with the given index if the table ends there.
func (t *routingTable) grow(index int) {
	if index == len(t.desired) {
		t.desired = append(t.desired, 0)
		t.published = append(t.published, 0)
	}
}

// scale returns the factor from desired to published weights, which is the weighted median of their ratios. Only ratios
// between weights matter, so a removed or changed entry does not require new weights for the other entries.
func (t *routingTable) scale() float64 {
	var common []int  // entries with both weights greater than 0
	halfWeight := 0.0 // half the sum of their desired weights
	for i, weight := range t.desired {
		if weight > 0 && t.published[i] > 0 {
			common = append(common, i)
			halfWeight += weight / 2
		}
	}
	slices.SortFunc(common, func(i, j int) int {
		return cmp.Compare(t.published[i]/t.desired[i], t.published[j]/t.desired[j])
	})
	for _, i := range common {
		halfWeight -= t.desired[i]
		if halfWeight <= 0 {
			return t.published[i] / t.desired[i]
		}
	}
	return 1
}

// changedEntries returns the entries whose published weight differs from the scaled desired weight by more than the
// fraction tolerance of the larger of the two, sorted by descending difference.
func (t *routingTable) changedEntries(tolerance float64) []int {
	scale := t.scale()
	change := func(i int) float64 { return math.Abs(t.desired[i]*scale - t.published[i]) }
	var entries []int
	for i, weight := range t.desired {
		if change(i) > tolerance*max(weight*scale, t.published[i]) {
			entries = append(entries, i)
		}
	}
	slices.SortStableFunc(entries, func(i, j int) int { return cmp.Compare(change(j), change(i)) })
	return entries
}

// misplaced returns the fraction of the table's requests that are sent to other endpoints than desired, and the sum of
// the published weights of the retained entries, which are those that the desired table contains as well.
func (t *routingTable) misplaced() (fraction, retainedWeight float64) {
	for i, weight := range t.published {
		if t.desired[i] > 0 {
			retainedWeight += weight
		}
	}
	for i, weight := range t.published {
		fraction += math.Abs(t.desired[i]-weight/max(retainedWeight, 1e-9)) / 2
	}
	return fraction, retainedWeight
}

// overloads reports whether the published table includes an endpoint that must not receive requests, or a cold endpoint
// that receives at least twice its desired fraction because other endpoints were removed, and would be overloaded.
func (t *routingTable) overloads(retainedWeight float64, warmingUp func(i int) bool) bool {
	for i, weight := range t.published {
		if weight <= 0 {
			continue
		}
		desired := t.desired[i]
		doubled := 2*desired*retainedWeight <= weight
		if desired == 0 || doubled && warmingUp(i) {
			return true
		}
	}
	return false
}

// planTables sets the desired weights of all tables: it allocates the subsets' demand to their capacity and distributes
// the granted capacity over endpoints.
func (p *Planner) planTables() {
	capacity := make([]float64, len(p.endpoints.all)) // by endpoint
	loads := make([]subsetLoad, len(p.subsets))
	for k := range loads {
		loads[k].zone = p.zoneOf(k)
		loads[k].demand = p.subsets[k].demand
	}
	totalCapacity := 0.0
	for i := range capacity {
		capacity[i] = p.availableCapacity(&p.endpoints.all[i])
		loads[p.endpoints.all[i].subset].capacity += capacity[i]
		totalCapacity += capacity[i]
	}
	p.addUnseenDemand(loads)
	granted := allocate(loads, p.config.Zones, p.localZoneOnly)
	p.layOutTables(capacity, loads, &granted)
	p.normalizeTables(capacity, loads, totalCapacity)
}

// layOutTables distributes the capacity that subsets are granted over endpoints. Grants to other subsets use few
// endpoints of a subset, from the end of the list, because each entry is sent to every proxy of the table. They do not
// use the full capacity of an endpoint, so the subset's own members keep entries for all its endpoints in case the
// other subsets are lost.
func (p *Planner) layOutTables(capacity []float64, loads []subsetLoad, granted *allocation) {
	n := len(p.subsets)
	maxSpill := make([]float64, n) // by subset, the fraction of an endpoint that others may use
	for k := range p.subsets {
		maxSpill[k] = max(maxSpillFraction, 1-granted.at(k, k)/max(loads[k].capacity, 1e-9))
		clear(p.subsets[k].table.desired)
	}
	nextReceiver := make([]int, n) // by subset, the number of subsets following it whose grants are served
	for i := len(capacity) - 1; i >= 0; i-- {
		k := p.endpoints.all[i].subset
		ownCapacity := p.spillEndpoint(i, capacity[i], maxSpill[k]*capacity[i], granted, &nextReceiver[k])
		if granted.at(k, k) > 0 {
			p.subsets[k].table.desired[i] = ownCapacity
		}
	}
}

// spillEndpoint distributes at most spill of an endpoint's capacity to the other subsets that were granted capacity at
// its subset. It serves them in order, starting at nextReceiver, and advances nextReceiver past the subsets whose
// grants are served. It returns the capacity that remains for the subset's own members.
func (p *Planner) spillEndpoint(i int, capacity, spill float64, granted *allocation, nextReceiver *int) (remaining float64) {
	n := len(p.subsets)
	k := p.endpoints.all[i].subset
	remaining = capacity
	for spill > 0 && *nextReceiver < n-1 {
		receiver := (k + 1 + *nextReceiver) % n
		outstanding := granted.at(receiver, k)
		if outstanding < minWeightChangeFraction*capacity {
			*nextReceiver++ // a smaller amount does not justify an entry
			continue
		}
		amount := min(spill, outstanding)
		p.subsets[receiver].table.desired[i] += amount
		granted.reduce(receiver, k, amount)
		remaining -= amount
		spill -= amount
	}
	return remaining
}

// normalizeTables scales the desired weights of each table to a sum of 1, and fills the tables of subsets that were
// granted no capacity.
func (p *Planner) normalizeTables(capacity []float64, loads []subsetLoad, totalCapacity float64) {
	for k := range p.subsets {
		s := &p.subsets[k]
		granted := sum(s.table.desired)
		for i := range s.table.desired {
			switch {
			case granted > 0:
				s.table.desired[i] /= granted
			case totalCapacity == 0 && p.endpoints.all[i].state == Ready:
				// No endpoint has capacity: the published table is kept, without endpoints that drain or were removed.
				s.table.desired[i] = s.table.published[i]
			case p.endpoints.all[i].subset == k || loads[k].capacity == 0:
				// Its own endpoints, or all endpoints if its own have no capacity: a proxy that joins needs entries.
				s.table.desired[i] = capacity[i] / max(totalCapacity, 1e-9)
			}
		}
	}
}
