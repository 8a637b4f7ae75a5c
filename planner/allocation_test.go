package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// maxMinFraction finds the largest fraction of their demand that all subsets can get at once, by trying every set of
// subsets: what a set gets is at most the capacity of all subsets that its members may use (the min cut).
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
				uses := set&(1<<from) != 0 && load.demand > 0 && (!localZoneOnly || load.zone == to.zone)
				reached = reached || uses
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

// randomLoads draws a few subsets of some zones; some are without demand or capacity.
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

// The allocation decides where all requests go. An unfair one would show as endpoints of one subset that are full while
// others idle. So: no subset is granted over its capacity, every subset is granted the fraction of its demand that is
// the largest possible for all, and where requests may go anywhere no capacity is left while there is demand. Then
// nobody can be granted more without taking from one who has the same or less.
func TestAllocationIsMaxMinFair(t *testing.T) {
	const tolerance = 1e-6
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, 7))
		loads, zones := randomLoads(random)
		localZoneOnly := random.IntN(3) == 0
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			granted := allocate(loads, zones, localZoneOnly)
			fraction := maxMinFraction(loads, localZoneOnly)
			free, demand := 0.0, 0.0
			for to, load := range loads {
				used := 0.0
				for from := range loads {
					amount := granted.get(from, to)
					if amount < 0 {
						t.Errorf("subset %d is granted %v at subset %d", from, amount, to)
					}
					if localZoneOnly && amount > 0 && loads[from].zone != load.zone {
						t.Errorf("subset %d of zone %d is granted %v in zone %d", from, loads[from].zone, amount, load.zone)
					}
					used += amount
				}
				if used > load.capacity+tolerance {
					t.Errorf("subset %d is used with %v of %v", to, used, load.capacity)
				}
				free += load.capacity - used
				demand += load.demand
			}
			for from, load := range loads {
				total := 0.0
				for to := range loads {
					total += granted.get(from, to)
				}
				if want := load.demand * fraction; load.demand > 0 && math.Abs(total-want) > tolerance {
					t.Errorf("subset %d with demand %v is granted %v, the fair share is %v", from, load.demand, total, want)
				}
				if load.demand == 0 && total > 0 {
					t.Errorf("subset %d without demand is granted %v", from, total)
				}
			}
			if !localZoneOnly && demand > 0 && free > tolerance {
				t.Errorf("%v of capacity is left while there is demand", free)
			}
		})
	}
}

// A subset with capacity of its own sends nothing to others: requests that leave their zone are slower.
func TestAllocationPrefersOwnEndpoints(t *testing.T) {
	loads := []subsetLoad{{zone: 0, demand: 1, capacity: 5}, {zone: 1, demand: 1, capacity: 5}}
	granted := allocate(loads, 2, false)
	for from := range loads {
		for to := range loads {
			want := 0.0
			if from == to {
				want = 5
			}
			if got := granted.get(from, to); got != want {
				t.Errorf("subset %d is granted %v at subset %d, want %v", from, got, to, want)
			}
		}
	}
}

// Requests that find no room in their own zone would overload one other zone if they all went there. They have to go
// evenly to the zones that have room, after what these need themselves, until no room is left.
func TestAllocationSpillsEvenly(t *testing.T) {
	tr := &trace{t: t}
	for _, fill := range []struct {
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
		n := len(fill.capacities)
		loads := make([]subsetLoad, n)
		for z := range loads {
			loads[z] = subsetLoad{zone: z, demand: fill.demand[z], capacity: fill.capacities[z]}
		}
		granted := allocate(loads, n, false).granted
		tr.say("%s: shares %v rooms %v", fill.name, fill.demand, fill.capacities)
		for from := range n {
			tr.say("  zone %d gives %.2f", from, granted[from*n:from*n+n])
		}
		for to, capacity := range fill.capacities {
			used := 0.0
			for from := range n {
				used += granted[from*n+to]
			}
			if used > capacity+1e-9 {
				t.Errorf("%s: zone %d is used with %v, over its capacity %v", fill.name, to, used, capacity)
			}
		}
	}
	tr.check()
}
