package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// maxMinFraction returns the largest fraction of their demand that all subsets can be granted simultaneously. It tries
// every set of subsets: a set is granted at most the capacity of all subsets that its members may use (the min cut).
func maxMinFraction(loads []subsetLoad, localZoneOnly bool) float64 {
	fraction := math.Inf(1)
	for set := 1; set < 1<<len(loads); set++ {
		demand, capacity := 0.0, 0.0
		for from, load := range loads {
			if set&(1<<from) != 0 {
				demand += load.demand
			}
		}
		for _, to := range loads {
			reached := false
			for from, load := range loads {
				usable := set&(1<<from) != 0 && load.demand > 0 && (!localZoneOnly || load.zone == to.zone)
				reached = reached || usable
			}
			if reached {
				capacity += to.capacity
			}
		}
		if demand > 0 {
			fraction = min(fraction, capacity/demand)
		}
	}
	return fraction
}

// randomLoads generates a few subsets in random zones; some have no demand or no capacity.
func randomLoads(random *rand.Rand) (loads []subsetLoad, zones int) {
	zones = 1 + random.IntN(3)
	for z := range zones * (1 + random.IntN(2)) {
		load := subsetLoad{zone: z % zones, demand: 0.1 + 20*random.Float64(), capacity: 0.1 + 20*random.Float64()}
		if random.IntN(6) == 0 {
			load.demand = 0
		}
		if random.IntN(6) == 0 {
			load.capacity = 0
		}
		loads = append(loads, load)
	}
	return loads, zones
}

// The allocation decides where all requests are sent. With an unfair allocation, endpoints of one subset are full while
// others are idle. The test verifies that no subset's capacity is exceeded, that every subset is granted the largest
// fraction of its demand that is possible for all, and that no capacity is left while there is demand if requests may
// be sent to any zone. Then no subset can be granted more without reducing the grant of one that has the same or less.
func TestAllocationIsMaxMinFair(t *testing.T) {
	const tolerance = 1e-6
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, 7))
		loads, zones := randomLoads(random)
		localZoneOnly := random.IntN(3) == 0
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			granted := allocate(loads, zones, localZoneOnly)
			fraction := maxMinFraction(loads, localZoneOnly)
			remaining, demand := 0.0, 0.0
			for to, load := range loads {
				used := 0.0
				for from := range loads {
					amount := granted.at(from, to)
					if amount < 0 {
						t.Errorf("grant of subset %d at subset %d: got %v, want at least 0", from, to, amount)
					}
					if localZoneOnly && amount > 0 && loads[from].zone != load.zone {
						t.Errorf("grant of subset %d of zone %d in zone %d: got %v, want 0", from, loads[from].zone, load.zone, amount)
					}
					used += amount
				}
				if used > load.capacity+tolerance {
					t.Errorf("used capacity of subset %d: got %v, want at most %v", to, used, load.capacity)
				}
				remaining += load.capacity - used
				demand += load.demand
			}
			for from, load := range loads {
				total := 0.0
				for to := range loads {
					total += granted.at(from, to)
				}
				if want := load.demand * fraction; load.demand > 0 && math.Abs(total-want) > tolerance {
					t.Errorf("grant of subset %d with demand %v: got %v, want %v", from, load.demand, total, want)
				}
				if load.demand == 0 && total > 0 {
					t.Errorf("grant of subset %d without demand: got %v, want 0", from, total)
				}
			}
			if !localZoneOnly && demand > 0 && remaining > tolerance {
				t.Errorf("remaining capacity with demand %v: got %v, want 0", demand, remaining)
			}
		})
	}
}

// A subset with capacity of its own must not send requests to other subsets: requests that leave their zone are slower.
func TestAllocationPrefersOwnEndpoints(t *testing.T) {
	loads := []subsetLoad{{zone: 0, demand: 1, capacity: 5}, {zone: 1, demand: 1, capacity: 5}}
	granted := allocate(loads, 2, false)
	for from := range loads {
		for to := range loads {
			want := 0.0
			if from == to {
				want = 5
			}
			if got := granted.at(from, to); got != want {
				t.Errorf("grant of subset %d at subset %d: got %v, want %v", from, to, got, want)
			}
		}
	}
}

// If all requests that exceed the capacity of their zone were sent to a single other zone, they would overload it. They
// must be spread evenly over the zones with remaining capacity, after the demand of these zones is served, until no
// capacity remains.
func TestAllocationSpillsEvenly(t *testing.T) {
	tr := &trace{t: t}
	for _, test := range []struct {
		name               string
		demand, capacities []float64
	}{
		{"even", []float64{1, 1}, []float64{5, 5}},
		{"one zone short", []float64{1, 1, 1}, []float64{1, 4, 4}},
		{"one zone busy", []float64{4, 1, 1}, []float64{2, 2, 2}},
		{"a zone without nodes", []float64{1, 1, 1}, []float64{0, 3, 3}},
		{"no traffic", []float64{0, 0}, []float64{3, 3}},
		{"one zone only", []float64{7}, []float64{3}},
	} {
		n := len(test.capacities)
		loads := make([]subsetLoad, n)
		for z := range loads {
			loads[z] = subsetLoad{zone: z, demand: test.demand[z], capacity: test.capacities[z]}
		}
		granted := allocate(loads, n, false).granted
		tr.logf("%s: shares %v rooms %v", test.name, test.demand, test.capacities)
		for from := range n {
			tr.logf("  zone %d gives %.2f", from, granted[from*n:from*n+n])
		}
		for to, capacity := range test.capacities {
			used := 0.0
			for from := range n {
				used += granted[from*n+to]
			}
			if used > capacity+1e-9 {
				t.Errorf("%s: used capacity of zone %d: got %v, want at most %v", test.name, to, used, capacity)
			}
		}
	}
	tr.check()
}
