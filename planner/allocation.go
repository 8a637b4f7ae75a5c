package planner

import "math"

// subsetLoad holds the demand and the capacity of a subset, as input of the allocation.
type subsetLoad struct {
	zone     int
	demand   float64 // requests a second of its members; its share is in proportion
	capacity float64 // of its endpoints, in any unit that all subsets share
}

// allocation is the traffic that each subset may send to the endpoints of each subset, in the unit of their capacity.
type allocation struct {
	subsets int
	granted []float64 // indexed by from*subsets+to
}

// at returns the capacity that subset from is granted at subset to.
func (a *allocation) at(from, to int) float64 { return a.granted[from*a.subsets+to] }

// reduce subtracts amount from the capacity that subset from is granted at subset to.
func (a *allocation) reduce(from, to int, amount float64) { a.granted[from*a.subsets+to] -= amount }

// allocate distributes the subsets' demand over their capacity with the water-fill of "B4 and After" (SIGCOMM 2018,
// §4.3, Algorithm 1): each subset is a supernode, and the total capacity is the sink.
//
// In each round every subset sends along its first path with remaining capacity: to its own endpoints; otherwise evenly
// to all subsets of its zone with remaining capacity; otherwise, unless localZoneOnly is set, evenly to all subsets
// with remaining capacity. All traffic grows in proportion to demand until a subset is full, and the next round
// excludes that subset. The fill ends when a subset with demand has no path left. All subsets are then granted the same
// fraction of their demand, which is the max-min fair allocation.
func allocate(loads []subsetLoad, zones int, localZoneOnly bool) allocation {
	n := len(loads)
	fill := waterFill{
		loads:           loads,
		localZoneOnly:   localZoneOnly,
		remaining:       make([]float64, n),
		pathWeights:     make([]float64, n*n),
		inboundWeights:  make([]float64, n),
		granted:         make([]float64, n*n),
		availableByZone: make([][]int, zones),
	}
	total := 0.0
	for to, load := range loads {
		fill.remaining[to] = load.capacity
		total += load.capacity
	}
	fill.minRemaining = minRemainingFraction * total
	for fill.findPaths() {
		bottleneck := fill.bottleneck()
		if math.IsInf(bottleneck, 1) {
			break
		}
		fill.grant(bottleneck)
	}
	return allocation{subsets: n, granted: fill.granted}
}

// minRemainingFraction is the fraction of the total capacity at or below which a subset's remaining capacity counts as
// none: rounding errors are of that size.
const minRemainingFraction = 1e-9

// waterFill is the state of a water-fill.
type waterFill struct {
	loads         []subsetLoad
	localZoneOnly bool
	minRemaining  float64   // capacity at or below which a subset is full
	remaining     []float64 // by subset, the capacity not granted yet
	granted       []float64 // indexed by from*n+to

	// State of the current round.
	pathWeights     []float64 // weight of each path, indexed by from*n+to
	inboundWeights  []float64 // by subset, the sum of the weights of the paths to it
	availableByZone [][]int   // subsets with remaining capacity, by zone
	available       []int     // subsets with remaining capacity
}

// findPaths computes the path weights of a round. It reports whether every subset with demand has a path.
func (f *waterFill) findPaths() bool {
	f.findAvailable()
	clear(f.pathWeights)
	clear(f.inboundWeights)
	n := len(f.loads)
	var direct [1]int
	for from, load := range f.loads {
		targets := f.availableByZone[load.zone]
		switch {
		case f.remaining[from] > f.minRemaining:
			direct[0] = from
			targets = direct[:]
		case len(targets) == 0 && !f.localZoneOnly:
			targets = f.available
		}
		if load.demand > 0 && len(targets) == 0 {
			return false
		}
		for _, to := range targets {
			weight := load.demand / float64(len(targets))
			f.pathWeights[from*n+to] += weight
			f.inboundWeights[to] += weight
		}
	}
	return true
}

// findAvailable lists the subsets that have remaining capacity.
func (f *waterFill) findAvailable() {
	f.available = f.available[:0]
	for zone := range f.availableByZone {
		f.availableByZone[zone] = f.availableByZone[zone][:0]
	}
	for to, remaining := range f.remaining {
		if remaining > f.minRemaining {
			zone := f.loads[to].zone
			f.availableByZone[zone] = append(f.availableByZone[zone], to)
			f.available = append(f.available, to)
		}
	}
}

// bottleneck returns the fraction of demand that can be granted until the first subset is full, or +Inf if there is no
// demand.
func (f *waterFill) bottleneck() float64 {
	bottleneck := math.Inf(1)
	for to, inbound := range f.inboundWeights {
		if inbound > 0 {
			bottleneck = min(bottleneck, f.remaining[to]/inbound)
		}
	}
	return bottleneck
}

// grant grants every path its weight times the bottleneck.
func (f *waterFill) grant(bottleneck float64) {
	n := len(f.loads)
	for from := range n {
		row := f.granted[from*n : from*n+n]
		for to, weight := range f.pathWeights[from*n : from*n+n] {
			amount := weight * bottleneck
			row[to] += amount
			f.remaining[to] -= amount
		}
	}
}
