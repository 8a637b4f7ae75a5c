package planner

import "testing"

// An endpoint restarts under its own name. Its caches are empty, and at its former weight it would be overloaded. It
// has to start with a quarter of its weight at once, and to get the rest over the slow-start window.
func TestRestartedEndpointStartsSlowly(t *testing.T) {
	tr := newScene(t, testConfig(), 4)
	tr.run(1)
	tr.say("-- node 1 restarts")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now}})
	tr.run(20)
	tr.check()
}

// An endpoint restarts while the fleet fails most attempts. The clients' retries come to the cold endpoint, which still
// admits them, and push it over. It has to get less than its slow start gives it.
func TestColdEndpointIsDampedInOverload(t *testing.T) {
	tr := newScene(t, testConfig(), 4)
	tr.reportAll(LoadReport{Completed: 20, Failed: 15, MeanLatency: 1})
	tr.run(2)
	tr.say("-- node 1 restarts")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now}})
	tr.check()
}

// The other endpoints reject half of the attempts, quickly. Their retries come to a cold endpoint that takes them. It
// has to get little of the table.
func TestColdEndpointIsDampedWhileOthersReject(t *testing.T) {
	tr := newScene(t, testConfig(), 6)
	tr.reportAll(LoadReport{Completed: 12, Failed: 6, MeanLatency: 0.2})
	tr.run(2)
	tr.say("-- node 1 restarts")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now}})
	tr.run(1)
	tr.check()
}
