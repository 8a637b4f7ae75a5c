package planner

import (
	"cmp"
	"math"
	"slices"
)

// maxSpillFraction is the most of an endpoint that requests of other subsets take, unless these need more of its
// subset.
const maxSpillFraction = 0.50

// routingTable is the weights of endpoints for the members of a subset, by the endpoints' indices.
type routingTable struct {
	desired   []float64 // as planned; they add up to 1, or to 0
	published []float64 // as sent, of any sum
}

// grow extends the table to an endpoint's index.
func (t *routingTable) grow(index int) {
	if index == len(t.desired) {
		t.desired = append(t.desired, 0)
		t.published = append(t.published, 0)
	}
}

// scale returns the factor from desired to published weights, by the median of their ratios. Weights count only beside
// each other, so that an entry that goes or changes moves no other.
func (t *routingTable) scale() float64 {
	var common []int // entries of both
	half := 0.0      // of their desired weights
	for i, weight := range t.desired {
		if weight > 0 && t.published[i] > 0 {
			common = append(common, i)
			half += weight / 2
		}
	}
	slices.SortFunc(common, func(i, j int) int {
		return cmp.Compare(t.published[i]/t.desired[i], t.published[j]/t.desired[j])
	})
	for _, i := range common {
		half -= t.desired[i]
		if half <= 0 {
			return t.published[i] / t.desired[i]
		}
	}
	return 1
}

// changedEntries lists the entries whose published weights are off by more than a part of the greater one, the one that
// is off most first.
func (t *routingTable) changedEntries(part float64) []int {
	scale := t.scale()
	change := func(i int) float64 { return math.Abs(t.desired[i]*scale - t.published[i]) }
	var entries []int
	for i, weight := range t.desired {
		if change(i) > part*max(weight*scale, t.published[i]) {
			entries = append(entries, i)
		}
	}
	slices.SortStableFunc(entries, func(i, j int) int { return cmp.Compare(change(j), change(i)) })
	return entries
}

// misplaced returns the part of the table's requests that go to other endpoints than desired, and the sum of the
// published weights of the entries that stay.
func (t *routingTable) misplaced() (part, staying float64) {
	for i, weight := range t.published {
		if t.desired[i] > 0 {
			staying += weight
		}
	}
	for i, weight := range t.published {
		part += math.Abs(t.desired[i]-weight/max(staying, 1e-9)) / 2
	}
	return part, staying
}

// overloads reports whether the table leads to an endpoint that is to get nothing, or to a cold one that gets twice its
// part since others went, and would be overloaded.
func (t *routingTable) overloads(staying float64, warmingUp func(i int) bool) bool {
	for i, weight := range t.published {
		if weight <= 0 {
			continue
		}
		desired := t.desired[i]
		doubled := 2*desired*staying <= weight
		if desired == 0 || doubled && warmingUp(i) {
			return true
		}
	}
	return false
}

// planTables sets the desired weights of all tables: it allocates the subsets' demand to their capacity and lays out
// what each is granted.
func (p *Planner) planTables() {
	capacity := make([]float64, len(p.endpoints.all)) // by endpoint
	loads := make([]subsetLoad, len(p.subsets))
	for k := range loads {
		loads[k].zone = p.zoneOf(k)
		loads[k].demand = p.subsets[k].demand
	}
	total := 0.0
	for i := range capacity {
		capacity[i] = p.availableCapacity(&p.endpoints.all[i])
		loads[p.endpoints.all[i].subset].capacity += capacity[i]
		total += capacity[i]
	}
	p.addUnseenDemand(loads)
	granted := allocate(loads, p.config.Zones, p.localZoneOnly)
	p.layOutTables(capacity, loads, &granted)
	p.normalizeTables(capacity, loads, total)
}

// layOutTables turns what subsets are granted into capacity by endpoint. What a subset grants to others takes few of
// its endpoints, from the end of the list: an entry costs one at every proxy of the table. But it takes none whole: if
// the other subsets are lost, the subset's own members still have entries for all its endpoints.
func (p *Planner) layOutTables(capacity []float64, loads []subsetLoad, granted *allocation) {
	n := len(p.subsets)
	maxSpill := make([]float64, n) // by subset, the part of an endpoint that others may take
	for k := range p.subsets {
		maxSpill[k] = max(maxSpillFraction, 1-granted.get(k, k)/max(loads[k].capacity, 1e-9))
		clear(p.subsets[k].table.desired)
	}
	nextReceiver := make([]int, n) // by subset, how many of the subsets that follow it have what they were granted
	for i := len(capacity) - 1; i >= 0; i-- {
		k := p.endpoints.all[i].subset
		own := p.spillEndpoint(i, capacity[i], maxSpill[k]*capacity[i], granted, &nextReceiver[k])
		if granted.get(k, k) > 0 {
			p.subsets[k].table.desired[i] = own
		}
	}
}

// spillEndpoint lays out up to spill of an endpoint's capacity for other subsets that were granted some at its subset.
// These take in turn, from the one at nextReceiver on, which moves past those that have all that they were granted. It
// returns the capacity that is left to the subset's own members.
func (p *Planner) spillEndpoint(i int, capacity, spill float64, granted *allocation, nextReceiver *int) (own float64) {
	n := len(p.subsets)
	k := p.endpoints.all[i].subset
	own = capacity
	for spill > 0 && *nextReceiver < n-1 {
		receiver := (k + 1 + *nextReceiver) % n
		rest := granted.get(receiver, k)
		if rest < minWeightChangeFraction*capacity {
			*nextReceiver++ // less is not worth an entry
			continue
		}
		taken := min(spill, rest)
		p.subsets[receiver].table.desired[i] += taken
		granted.take(receiver, k, taken)
		own -= taken
		spill -= taken
	}
	return own
}

// normalizeTables makes each table's weights add up to 1, and fills the tables that were granted nothing.
func (p *Planner) normalizeTables(capacity []float64, loads []subsetLoad, totalCapacity float64) {
	for k := range p.subsets {
		s := &p.subsets[k]
		granted := sum(s.table.desired)
		for i := range s.table.desired {
			switch {
			case granted > 0:
				s.table.desired[i] /= granted
			case totalCapacity == 0 && p.endpoints.all[i].state == Ready:
				// No endpoint has capacity: the published table stays but for endpoints that drain or were removed.
				s.table.desired[i] = s.table.published[i]
			case p.endpoints.all[i].subset == k || loads[k].capacity == 0:
				// Its own endpoints, or all where it has none: a proxy that joins must find an entry.
				s.table.desired[i] = capacity[i] / max(totalCapacity, 1e-9)
			}
		}
	}
}
