package planner

import "testing"

// Clients retry rejected requests, and demand grows threefold while no requests wait. If retries counted as demand,
// they would lower the levels further. The levels must recover immediately, and must follow when the original requests
// fall.
func TestClientRetriesAreNotDemand(t *testing.T) {
	tr := newTrace(t, testConfig(), 4)
	tr.run(2)
	tr.logf("-- all nodes are full")
	tr.setReports(LoadReport{Completed: 10, Failed: 3, MeanLatency: 0.8})
	tr.run(3)
	tr.logf("-- what was turned away is asked three times, and nothing waits")
	tr.requests = [][]int{{24, 10}, {24, 10}}
	tr.setReports(LoadReport{Completed: 8, MeanLatency: 0.2})
	tr.run(6)
	tr.logf("-- first tries fall by half")
	tr.requests = [][]int{{12, 5}, {12, 5}}
	tr.run(4)
	tr.check()
}

// A burst ends while the fleet is throttled, and clients retry each rejected request twice. The retries alone kept the
// fleet throttled. Throttling must end.
func TestThrottlingEndsWithBurst(t *testing.T) {
	tr := newTrace(t, testConfig(), 4)
	tr.run(2)
	tr.logf("-- a burst, and all nodes are full")
	tr.requests = [][]int{{40, 40}, {40, 40}}
	tr.setReports(LoadReport{Completed: 14, Failed: 8, MeanLatency: 0.9})
	tr.run(4)
	tr.logf("-- it is over; each call that is turned away comes again twice")
	for range 20 {
		admitted := 0.0
		for r, level := range tr.planner.admission.levels {
			admitted += 20 * level / 4
			tr.requests[0][r] = int(10 + 20*(1-level))
		}
		tr.requests[1] = tr.requests[0]
		tr.setReports(LoadReport{Completed: int(admitted), MeanLatency: 0.2})
		tr.run(0.5)
	}
	tr.check()
}
