package planner

import "testing"

// An endpoint restarts under its own name. Its caches are empty, and its former weight would overload it. Its weight
// must immediately fall to a quarter, and rise to the full weight over the slow-start window.
func TestRestartedEndpointStartsSlowly(t *testing.T) {
	tr := newTrace(t, testConfig(), 4)
	tr.run(1)
	tr.logf("-- node 1 restarts")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now}})
	tr.run(20)
	tr.check()
}

// An endpoint restarts while the fleet fails most attempts. Client retries reach the cold endpoint, which still admits
// them, and overload it. Its weight must be below its slow-start fraction.
func TestColdEndpointIsDampedInOverload(t *testing.T) {
	tr := newTrace(t, testConfig(), 4)
	tr.setReports(LoadReport{Completed: 20, Failed: 15, MeanLatency: 1})
	tr.run(2)
	tr.logf("-- node 1 restarts")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now}})
	tr.check()
}

// The other endpoints quickly reject half of the attempts. The retries reach a cold endpoint that accepts them. Its
// weight in the table must be small.
func TestColdEndpointIsDampedWhileOthersReject(t *testing.T) {
	tr := newTrace(t, testConfig(), 6)
	tr.setReports(LoadReport{Completed: 12, Failed: 6, MeanLatency: 0.2})
	tr.run(2)
	tr.logf("-- node 1 restarts")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now}})
	tr.run(1)
	tr.check()
}
