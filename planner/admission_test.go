package planner

import "testing"

// All endpoints are full, and requests wait until their objective is missed. The routes with the highest priority per
// cost have to be admitted first, and all again once the fleet is empty.
func TestOverloadAdmitsByPriority(t *testing.T) {
	tr := newScene(t, testConfig(), 4)
	tr.run(2)
	tr.say("-- all nodes are full")
	tr.reportAll(LoadReport{Completed: 10, Failed: 5, MeanLatency: 1})
	tr.run(6)
	tr.say("-- and empty again")
	tr.reportAll(LoadReport{Completed: 10, MeanLatency: 0.2})
	tr.run(12)
	tr.check()
}

// Half of the endpoints go while the fleet is throttled, and come back. A budget that stays would admit too much to
// those that are left, and reject too much afterwards. It has to fall and rise with them.
func TestBudgetFollowsEndpoints(t *testing.T) {
	tr := newScene(t, testConfig(), 8)
	tr.reportAll(LoadReport{Completed: 5, Failed: 1, MeanLatency: 0.9})
	tr.run(3)
	tr.say("-- half of the nodes are gone")
	list := endpointList(8)
	tr.planner.ReplaceEndpoints(tr.now, list[:4])
	tr.run(2)
	tr.say("-- and back, long warm")
	tr.planner.ReplaceEndpoints(tr.now, list)
	tr.run(2)
	tr.check()
}

// Two routes have about the same priority per cost, which is known only roughly: they have to share a level. Where
// levels are rates, each proxy has to get its max-min fair share of the rate that is admitted.
func TestRoutesOfOneTierShareLevel(t *testing.T) {
	config := testConfig()
	config.Admission = AdmissionRate
	config.Routes = append(config.Routes, Route{LatencyObjective: 1, PriorityWeight: 2.8})
	tr := newScene(t, config, 4)
	tr.requests = [][]int{{10, 2, 2}, {10, 8, 8}}
	tr.reportAll(LoadReport{Completed: 10, Failed: 8, MeanLatency: 1})
	tr.run(3)
	tr.check()
}

// Six of eight proxies leave while the fleet is throttled. They go on sending and may come back. What is admitted
// must not jump as they go.
func TestLevelsStayAsProxiesLeave(t *testing.T) {
	tr := newScene(t, testConfig(), 4)
	for p := 2; p < 8; p++ {
		tr.planner.ProxyJoined(tr.now, p, p%2, 40)
		tr.requests = append(tr.requests, []int{10, 10})
	}
	tr.reportAll(LoadReport{Completed: 20, Failed: 8, MeanLatency: 0.9})
	tr.run(4)
	tr.say("-- six of eight proxies leave")
	for p := 2; p < 8; p++ {
		tr.planner.ProxyLeft(tr.now, p)
		tr.requests[p] = []int{0, 0}
	}
	tr.reportAll(LoadReport{Completed: 5, MeanLatency: 0.2})
	tr.run(3)
	tr.check()
}

// Another controller stops, its proxies join this one, and go back later. The endpoints' part that was theirs comes
// and goes with them: taken for a burst, their requests were rejected at an idle fleet. Levels have to stay.
func TestLevelsStayAsProxiesAreTakenOver(t *testing.T) {
	tr := newScene(t, testConfig(), 4)
	tr.run(2)
	tr.reportAll(LoadReport{Completed: 10, Failed: 5, MeanLatency: 0.8})
	tr.run(4)
	tr.say("-- two more proxies")
	tr.requests = [][]int{{10, 10}, {10, 10}, {10, 10}, {10, 10}}
	for p := 2; p < 4; p++ {
		tr.planner.ProxyJoined(tr.now, p, p%2, 40)
	}
	tr.run(4)
	tr.say("-- they go back")
	for p := 2; p < 4; p++ {
		tr.planner.ProxyLeft(tr.now, p)
	}
	tr.requests = tr.requests[:2]
	tr.run(4)
	tr.check()
}

// A controller starts during an overload. The first few load reports cover a part of the window only: taken for all
// that the fleet can answer, they would throttle it long after the overload. Once all is answered quickly, the levels
// have to come back.
func TestStartDuringOverload(t *testing.T) {
	tr := newScene(t, testConfig(), 4)
	tr.reportAll(LoadReport{Completed: 10, Failed: 4, MeanLatency: 1.1})
	tr.run(4)
	tr.say("-- all is answered quickly")
	tr.reportAll(LoadReport{Completed: 6, MeanLatency: 0.2})
	tr.run(8)
	tr.check()
}
