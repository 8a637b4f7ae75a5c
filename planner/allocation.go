package planner

import "math"

// subsetLoad is what the allocation knows of a subset.
type subsetLoad struct {
	zone     int
	demand   float64 // requests a second of its members; the weight of its share
	capacity float64 // of its endpoints, in any unit that is the same for all
}

// allocation says how much of each subset's traffic goes to the endpoints of each, in the unit of their capacity.
type allocation struct {
	subsets int
	granted []float64 // by from*subsets+to
}

// get returns what one subset is granted at another.
func (a *allocation) get(from, to int) float64 { return a.granted[from*a.subsets+to] }

// take reduces what one subset is granted at another.
func (a *allocation) take(from, to int, amount float64) { a.granted[from*a.subsets+to] -= amount }

// allocate splits the subsets' demand over their capacity by the water-fill of "B4 and After" (SIGCOMM 2018, §4.3,
// Algorithm 1): a subset is a supernode, and all capacity together is the sink.
//
// In each round every subset sends along its first path with remaining capacity: to its own endpoints; else evenly to
// all subsets of its zone that have some; else, unless localZoneOnly, evenly to all that have some. All traffic grows
// in proportion to demand until some subset is full, and the next round begins without it. The fill ends when the
// traffic of some subset finds no path: all subsets are then granted the same part of their demand, the max-min fair
// one.
func allocate(loads []subsetLoad, zones int, localZoneOnly bool) allocation {
	n := len(loads)
	fill := waterFill{
		loads:         loads,
		localZoneOnly: localZoneOnly,
		remaining:     make([]float64, n),
		link:          make([]float64, n*n),
		inbound:       make([]float64, n),
		granted:       make([]float64, n*n),
		openInZone:    make([][]int, zones),
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

// minRemainingFraction is the part of all capacity below which a subset counts as full: rounding leaves as much.
const minRemainingFraction = 1e-9

// waterFill is the state of an allocation between two rounds.
type waterFill struct {
	loads         []subsetLoad
	localZoneOnly bool
	minRemaining  float64   // up to which a subset counts as full
	remaining     []float64 // by subset, capacity that is not granted yet
	granted       []float64 // by from*n+to

	// Of the round under way.
	link       []float64 // weight of each path, by from*n+to
	inbound    []float64 // sum of the weights of the paths to a subset
	openInZone [][]int   // subsets with remaining capacity, by zone
	open       []int     // subsets with remaining capacity
}

// findPaths weighs the paths of a round. It reports false if the traffic of some subset finds none.
func (f *waterFill) findPaths() bool {
	f.findOpen()
	clear(f.link)
	clear(f.inbound)
	n := len(f.loads)
	var direct [1]int
	for from, load := range f.loads {
		targets := f.openInZone[load.zone]
		switch {
		case f.remaining[from] > f.minRemaining:
			direct[0] = from
			targets = direct[:]
		case len(targets) == 0 && !f.localZoneOnly:
			targets = f.open
		}
		if load.demand > 0 && len(targets) == 0 {
			return false
		}
		for _, to := range targets {
			weight := load.demand / float64(len(targets))
			f.link[from*n+to] += weight
			f.inbound[to] += weight
		}
	}
	return true
}

// findOpen lists the subsets that have remaining capacity.
func (f *waterFill) findOpen() {
	f.open = f.open[:0]
	for zone := range f.openInZone {
		f.openInZone[zone] = f.openInZone[zone][:0]
	}
	for to, remaining := range f.remaining {
		if remaining > f.minRemaining {
			zone := f.loads[to].zone
			f.openInZone[zone] = append(f.openInZone[zone], to)
			f.open = append(f.open, to)
		}
	}
}

// bottleneck returns the part of demand that can be granted before some subset is full, +Inf if there is no demand.
func (f *waterFill) bottleneck() float64 {
	bottleneck := math.Inf(1)
	for to, inbound := range f.inbound {
		if inbound > 0 {
			bottleneck = min(bottleneck, f.remaining[to]/inbound)
		}
	}
	return bottleneck
}

// grant gives every path its weight times the bottleneck.
func (f *waterFill) grant(bottleneck float64) {
	n := len(f.loads)
	for from := range n {
		row := f.granted[from*n : from*n+n]
		for to, weight := range f.link[from*n : from*n+n] {
			amount := weight * bottleneck
			row[to] += amount
			f.remaining[to] -= amount
		}
	}
}
