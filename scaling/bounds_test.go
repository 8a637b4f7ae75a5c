package scaling

import (
	"fmt"
	"math"
	"testing"
)

// bound limits the value of a quantity at each size and its growth over the sizes. Times have no bounds, because they
// differ from run to run.
type bound struct {
	quantity      Quantity
	growth        float64 // maximum exponent; infinite for no limit
	base, perUnit float64 // maximum at a size: base + perUnit*size
}

// isMemory reports whether the race detector changes the quantity.
func (q Quantity) isMemory() bool { return q == Allocated || q == Allocations || q == Heap }

// anyGrowth is the growth of a bound that does not limit growth.
var anyGrowth = math.Inf(1)

// violatedBounds describes the bounds that samples exceed. A missing value exceeds its bound.
func violatedBounds(samples []Sample, bounds []bound) (violations []string) {
	for _, limits := range bounds {
		if underRace && limits.quantity.isMemory() {
			continue
		}
		for _, sample := range samples {
			value := sample.Values[limits.quantity]
			limit := limits.base + limits.perUnit*float64(sample.Size)
			isWithin := value <= limit // false for NaN
			if !isWithin {
				violations = append(violations, fmt.Sprintf("%s at size %d: got %.4g, want at most %.4g", limits.quantity, sample.Size, value, limit))
			}
		}
		if math.IsInf(limits.growth, 1) {
			continue
		}
		fit, known := FitOf(samples, limits.quantity)
		if !known || fit.Exponent > limits.growth {
			violations = append(violations, fmt.Sprintf("%s: got growth by size^%.2f, want at most size^%.2f", limits.quantity, fit.Exponent, limits.growth))
		}
	}
	return violations
}

// slopeBounds maps each slope to small sizes and the bounds there. docs/CAPACITY.md lists those marked quadratic as
// missing a mechanism: their bounds catch any further growth, and must be lowered when the mechanism is added.
var slopeBounds = map[string]struct {
	sizes  []int
	bounds []bound
}{
	"step-nodes":            {[]int{23, 80, 230, 800}, []bound{{Allocations, 0.9, 50, 0.3}, {Allocated, 1.2, 5e3, 90}}},
	"step-proxies":          {[]int{24, 80, 240, 800}, []bound{{Allocations, 0.8, 500, 0}, {Allocated, 0.8, 200e3, 0}}},
	"agreed-text":           {[]int{10, 20, 50, 100}, []bound{{Wire, 1, 200, 97}, {Stored, 0.6, 17e3, 200}, {Allocations, 1.05, 500, 1220}, {Allocated, 1.05, 50e3, 105e3}}},
	"push-sidecars":         {[]int{10, 20, 50, 100}, []bound{{Messages, 0, 1, 0}, {Wire, 0.01, 9400, 0}, {Allocations, 0, 400, 0}, {Allocated, 0, 35e3, 0}}},
	"push-pool":             {[]int{10, 20, 50, 100}, []bound{{Messages, 0, 1, 0}, {Wire, 1, 800, 45}, {Allocations, 0.3, 120, 0.2}}},
	"push-accept":           {[]int{10, 20, 50, 100}, []bound{{Allocations, 1, 250, 14}, {Allocated, 1, 15e3, 950}}},
	"list-watch":            {[]int{130, 400, 1300, 4000}, []bound{{Wire, 1.02, 500, 152}, {Allocations, 1.02, 150, 4.5}, {Allocated, 1.3, 50e3, 2200}, {Heap, 1.1, 30e3, 150}}},
	"list-file":             {[]int{40, 80, 200, 400}, []bound{{Stored, 1.02, 100, 74}, {Allocations, 1.02, 1000, 330}, {Allocated, 1.1, 100e3, 30e3}}},
	"list-members":          {[]int{130, 400, 1300, 4000}, []bound{{Wire, 1.02, 1000, 42}, {Allocations, 1.02, 1000, 12}}},
	"list-start":            {[]int{130, 400, 1300}, []bound{{Allocations, 1.1, 500, 6}, {Allocated, 2, 0, 10e3}}},  // quadratic
	"list-change":           {[]int{130, 400, 1300}, []bound{{Allocations, 1.2, 300, 3}, {Allocated, 1.6, 0, 700}}}, // quadratic in time
	"reports":               {[]int{130, 400, 1300}, []bound{{Wire, 0.01, 140, 0}, {Allocations, 0.01, 20.5, 0}}},
	"reports-sidecar":       {[]int{40, 130, 400, 1300}, []bound{{Wire, 0.01, 50, 0}, {Allocations, 0.05, 14, 0}}},
	"log-save":              {[]int{100, 1000, 10000, 100000}, []bound{{Stored, 1.1, 20e3, 4}, {Allocations, 0.1, 200, 0}, {Allocated, 1, 40e3, 20}}},
	"log-memory":            {[]int{1000, 3000, 10000, 30000}, []bound{{Heap, 1.1, 1500, 1.2}}},
	"memory-module-nodes":   {[]int{130, 400, 1300}, []bound{{Heap, 2, 0, 4000}}}, // quadratic
	"memory-module-proxies": {[]int{110, 300, 800, 2400}, []bound{{Heap, 0.3, 1.5e6, 250}}},
	"memory-module-routes":  {[]int{1, 4, 16, 64}, []bound{{Heap, 0.4, 2e6, 30e3}}},
	"memory-xds-sidecars":   {[]int{30, 100, 300}, []bound{{Heap, 1.1, 100e3, 5e3}}},
	"memory-xds-nodes":      {[]int{100, 300, 1000}, []bound{{Heap, 1.1, 50e3, 600}}},
	"memory-xds-routes":     {[]int{10, 30, 100, 300}, []bound{{Heap, 1, 80e3, 300}}},
	// Records: the cost of one record must not depend on their number. ^0.07 is less than a fifth more at ten times the
	// size.
	"record-change":   {recordSizes, []bound{{Wire, 0.02, 210, 0}, {Stored, 0.01, 165, 0}, {Allocations, 0.07, 60, 0}, {Allocated, 0.07, 4300, 0}}},
	"record-memory":   {recordSizes, []bound{{Stored, 0.02, 62, 0}, {Heap, 0.05, 350, 0}}},
	"record-snapshot": {recordSizes, []bound{{Stored, 1.02, 800e3, 65}, {Allocations, anyGrowth, 60, 0}, {Allocated, 1.02, 1.5e6, 130}}},
	"record-restore":  {recordSizes, []bound{{Stored, 1.02, 3e3, 62}, {Allocations, 1.02, 500, 13}, {Allocated, 1.1, 30e3, 800}}},
	"record-scope":    {scopeSizes, []bound{{Allocations, 0.05, 30, 0}, {Allocated, 0.05, 40e3, 0}}},
	"record-since":    {recordSizes, []bound{{Allocations, 0.01, 4, 0}, {Allocated, 0.01, 150, 0}}},
	// Followers: the cost of an update to one follower must not depend on their number.
	"follow-change-interested": {[]int{20, 50, 100, 200}, []bound{{Messages, 0, 1, 0}, {Wire, 0.01, 215, 0}, {Allocations, 0.01, 18, 0}, {Allocated, 0.02, 1250, 0}}},
	"follow-change-other":      {[]int{20, 50, 100, 200}, []bound{{Messages, 0, 1, 0}, {Wire, 0.01, 80, 0}, {Allocations, 0.01, 8, 0}, {Allocated, 0.02, 620, 0}}},
	// The connections are those of gRPC, which sends pings and window updates at varying times.
	"follow-socket-change": {[]int{3, 6, 12}, []bound{{Wire, 0.1, 400, 0}, {Allocations, 0.1, 150, 0}}},
	"follow-socket-renew":  {[]int{3, 6, 12}, []bound{{Wire, 0.1, 250, 0}}},
	"group-idle":           {[]int{3, 5, 9, 17}, []bound{{Messages, 1.3, -20, 20}, {Wire, 1.3, -180, 180}}},
	"group-proposal":       {[]int{3, 5, 9, 17}, []bound{{Messages, 1.3, -4, 4}, {Wire, 1.3, -100, 145}}},
	// The messages depend on when members wake: the bound limits only the order of magnitude of the bytes.
	"group-loopback": {[]int{3}, []bound{{Wire, anyGrowth, 20e3, 0}}},
}

// recordSizes go up to a tenth of the operators' tenants. At scopeSizes the services grow with the tenants, so that a
// scope of six services has the same size at each.
var (
	recordSizes = []int{1400, 2800, 7000, 14000}
	scopeSizes  = []int{7000, 14000, 28000, 56000}
)

// sizesToMeasure returns the sizes to measure: only the first minFitSizes under the race detector, which takes ten
// times as long.
func sizesToMeasure(sizes []int) []int {
	if underRace {
		return sizes[:min(len(sizes), minFitSizes)]
	}
	return sizes
}

// A change may make a part allocate or send more as its size grows. Each slope has bounds on counts, bytes and their
// growth, which are the same on every run.
func TestSlopesStayWithinTheirBounds(t *testing.T) {
	for _, slope := range All() {
		check, known := slopeBounds[slope.Name]
		if !known {
			t.Errorf("slope %s: got no bounds, want an entry in slopeBounds", slope.Name)
			continue
		}
		t.Run(slope.Name, func(t *testing.T) {
			samples, err := slope.Measure(Brief, sizesToMeasure(check.sizes)...)
			if err != nil {
				t.Fatal(err)
			}
			for _, sample := range samples {
				t.Log(sample.Size, sample.Values)
			}
			for _, violation := range violatedBounds(samples, check.bounds) {
				t.Error(violation)
			}
		})
	}
}
