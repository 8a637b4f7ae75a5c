package planner

import (
	"math"
	"testing"
)

// The traces show the combined effect of all decisions, which can hide a value that is slightly wrong. These tests
// check single rules against the values in docs/design.md.

// An ejected endpoint that returns to service with its full share of the requests may fail them all again. On probation
// it must get a quarter of its capacity, so that only a few requests show whether it has recovered.
func TestProbationGetsAQuarterOfTheCapacity(t *testing.T) {
	p := New(discardHost{}, testConfig(), 100)
	p.ReplaceEndpoints(100, endpointList(2))
	e := &p.endpoints.all[0]
	capacity := p.availableCapacity(e)
	e.health = Probation
	if got := p.availableCapacity(e); capacity == 0 || math.Abs(got-0.25*capacity) > 1e-12 {
		t.Errorf("available capacity on probation: got %v, want a quarter of %v, which must be greater than 0", got, capacity)
	}
	e.health = Ejected
	if got := p.availableCapacity(e); got != 0 {
		t.Errorf("available capacity while ejected: got %v, want 0", got)
	}
}

// A burst arrives while endpoints report their utilization, and queues fill before latency rises. The budget must be
// limited to 0.65 of the capacity of busy endpoints as soon as demand exceeds this limit, and only then.
func TestBudgetIsBoundedByReportedUtilization(t *testing.T) {
	for _, test := range []struct {
		name                      string
		utilization               bool
		originalWork, budget      float64
		wantBudget, meanObjective float64
	}{
		{"demand above the limit", true, 100, math.Inf(1), 65, 1},
		{"demand below the limit", true, 64, math.Inf(1), math.Inf(1), 1},
		{"budget already below the limit", true, 100, 10, 10, 1},
		{"utilization not reported", false, 100, math.Inf(1), math.Inf(1), 1},
		{"latency objective of half a second", true, 100, math.Inf(1), 32.5, 0.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := &admissionControl{utilization: test.utilization, workBudget: test.budget}
			a.limitByUtilization(admissionInput{fleet: fleetLoad{capacity: 100}, meanObjective: test.meanObjective}, test.originalWork)
			if !(math.Abs(a.workBudget-test.wantBudget) < 1e-9 || a.workBudget == test.wantBudget) {
				t.Errorf("work budget: got %v, want %v", a.workBudget, test.wantBudget)
			}
		})
	}
}

// Demand grows tenfold as throttling begins. If all of the growth counted as client retries, almost no original
// requests would be left and nothing would be admitted. At most three retries are assumed for each rejected request.
func TestClientRetriesAreBounded(t *testing.T) {
	e := newClientRetryEstimate(1)
	e.unthrottledDemand[0] = 1 // for each request of the baseline rate
	e.rejected[0] = 0.5
	subsets := []subset{{demand: 1000, admission: publishedAdmission{levels: []float64{0.5}}}}
	for range 400 {
		e.update(clientRetryInput{now: 101, demand: []float64{1000}, subsets: subsets, servedBaselineRate: 100, throttling: true,
			throttlingSince: 100, saturation: 1, attempts: 100})
	}
	if e.perRejection < 2.99 || e.perRejection > 3 {
		t.Errorf("retries for each rejected request after 400 updates: got %v, want 2.99 to 3", e.perRejection)
	}
	e.update(clientRetryInput{now: 200, demand: []float64{1000}, subsets: subsets, servedBaselineRate: 100, throttling: true,
		throttlingSince: 100, saturation: 0, attempts: 1})
	if e.perRejection != 3 {
		t.Errorf("retries for each rejected request in an idle fleet: got %v, want 3", e.perRejection)
	}
}

// Half of a subset's endpoints are lost, and the other half would get all of its requests until ordinary changes are
// published. A table that misplaces more than a quarter of the requests is urgent; a table that misplaces fewer is not.
func TestMisplacedTableIsUrgentOverAQuarter(t *testing.T) {
	for _, test := range []struct {
		name   string
		moved  float64
		urgent bool
	}{
		{"slightly below a quarter", 0.24, false},
		{"slightly above a quarter", 0.26, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := New(discardHost{}, testConfig(), 100)
			p.ReplaceEndpoints(100, endpointList(2))
			table := &routingTable{desired: []float64{0.5 + test.moved, 0.5 - test.moved}, published: []float64{0.5, 0.5}}
			if got := p.urgentEntries(table); len(got) > 0 != test.urgent {
				t.Errorf("urgent entries with %v misplaced: got %v, want any: %t", test.moved, got, test.urgent)
			}
		})
	}
}
