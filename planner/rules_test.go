package planner

import (
	"math"
	"testing"
)

// The traces show what the decisions come to together; a figure that is a little off can hide in them. These tests hold
// single rules against the figures that docs/design.md states.

// An endpoint that was ejected comes back all at once and fails again, with a full part of the requests. On probation
// it has to get a quarter of its capacity, to be judged by few.
func TestProbationGetsAQuarterOfTheCapacity(t *testing.T) {
	p := New(discardHost{}, testConfig(), 100)
	p.ReplaceEndpoints(100, endpointList(2))
	e := &p.endpoints.all[0]
	full := p.availableCapacity(e)
	e.health = Probation
	if got := p.availableCapacity(e); full == 0 || math.Abs(got-0.25*full) > 1e-12 {
		t.Errorf("%v of %v on probation, want a quarter", got, full)
	}
	e.health = Ejected
	if got := p.availableCapacity(e); got != 0 {
		t.Errorf("%v while ejected, want none", got)
	}
}

// A burst comes while endpoints report their utilization, and the queues fill before any latency shows it. The budget
// has to stay under 0.65 of what busy endpoints could answer as soon as demand is over that, and only then.
func TestBudgetIsBoundByReportedUtilization(t *testing.T) {
	for _, test := range []struct {
		name                   string
		utilization            bool
		originalWork, budget   float64
		wantBudget, meanLimits float64
	}{
		{"demand over the limit", true, 100, math.Inf(1), 65, 1},
		{"demand under the limit", true, 64, math.Inf(1), math.Inf(1), 1},
		{"a budget that is lower already", true, 100, 10, 10, 1},
		{"no utilization is reported", false, 100, math.Inf(1), math.Inf(1), 1},
		{"objectives of half a second", true, 100, math.Inf(1), 32.5, 0.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := &admissionControl{utilization: test.utilization, workBudget: test.budget}
			a.limitByUtilization(admissionInput{fleet: fleetLoad{capacity: 100}, meanObjective: test.meanLimits}, test.originalWork)
			if !(math.Abs(a.workBudget-test.wantBudget) < 1e-9 || a.workBudget == test.wantBudget) {
				t.Errorf("budget %v, want %v", a.workBudget, test.wantBudget)
			}
		})
	}
}

// Demand grows tenfold as throttling begins. Taken for client retries without a bound, the growth would leave next to no
// original requests, and nothing would be admitted. A rejected request counts as three retries at most.
func TestClientRetriesAreBound(t *testing.T) {
	e := newClientRetryEstimate(1)
	e.unthrottledDemand[0] = 1 // for each request of the baseline rate
	e.rejected[0] = 0.5
	subsets := []subset{{demand: 1000, admission: publishedAdmission{levels: []float64{0.5}}}}
	for range 400 {
		e.update(clientRetryInput{now: 101, demand: []float64{1000}, subsets: subsets, servedBaselineRate: 100, throttling: true,
			throttlingSince: 100, saturation: 1, attempts: 100})
	}
	if e.perRejection < 2.99 || e.perRejection > 3 {
		t.Errorf("%v retries for each rejected request, want 3 in the end", e.perRejection)
	}
	e.update(clientRetryInput{now: 200, demand: []float64{1000}, subsets: subsets, servedBaselineRate: 100, throttling: true,
		throttlingSince: 100, saturation: 0, attempts: 1})
	if e.perRejection != 3 {
		t.Errorf("%v retries for each rejected request at an idle fleet, want 3", e.perRejection)
	}
}

// Half of a subset's endpoints are lost and the other half gets all of its requests for as long as ordinary changes take.
// A table by which over a quarter of the requests go elsewhere than desired is urgent; one that is less off is not.
func TestMisplacedTableIsUrgentOverAQuarter(t *testing.T) {
	for _, test := range []struct {
		name   string
		moved  float64
		urgent bool
	}{
		{"a little under a quarter", 0.24, false},
		{"a little over a quarter", 0.26, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := New(discardHost{}, testConfig(), 100)
			p.ReplaceEndpoints(100, endpointList(2))
			table := &routingTable{desired: []float64{0.5 + test.moved, 0.5 - test.moved}, published: []float64{0.5, 0.5}}
			if got := p.urgentEntries(table); len(got) > 0 != test.urgent {
				t.Errorf("urgent entries %v, want some: %t", got, test.urgent)
			}
		})
	}
}
