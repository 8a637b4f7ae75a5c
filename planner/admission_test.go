package planner

import "testing"

// All endpoints are full, and requests wait until they miss their latency objective. The routes with the highest
// priority per cost must be admitted first, and all routes must be admitted again once the fleet is idle.
func TestOverloadAdmitsByPriority(t *testing.T) {
	tr := newTrace(t, testConfig(), 4)
	tr.run(2)
	tr.logf("-- all nodes are full")
	tr.setReports(LoadReport{Completed: 10, Failed: 5, MeanLatency: 1})
	tr.run(6)
	tr.logf("-- and empty again")
	tr.setReports(LoadReport{Completed: 10, MeanLatency: 0.2})
	tr.run(12)
	tr.check()
}

// Half of the endpoints are removed while the fleet is throttled, and are added again later. An unchanged budget would
// admit too many requests to the remaining endpoints and reject too many afterwards. The budget must decrease and
// increase with the endpoints.
func TestBudgetFollowsEndpoints(t *testing.T) {
	tr := newTrace(t, testConfig(), 8)
	tr.setReports(LoadReport{Completed: 5, Failed: 1, MeanLatency: 0.9})
	tr.run(3)
	tr.logf("-- half of the nodes are gone")
	list := endpointList(8)
	tr.planner.ReplaceEndpoints(tr.now, list[:4])
	tr.run(2)
	tr.logf("-- and back, long warm")
	tr.planner.ReplaceEndpoints(tr.now, list)
	tr.run(2)
	tr.check()
}

// Two routes with similar priority per cost, which is only a rough estimate, must share a level. Where levels are
// rates, each proxy must receive its max-min fair share of the admitted rate.
func TestRoutesOfOneTierShareLevel(t *testing.T) {
	config := testConfig()
	config.Admission = AdmissionRate
	config.Routes = append(config.Routes, Route{LatencyObjective: 1, PriorityWeight: 2.8})
	tr := newTrace(t, config, 4)
	tr.requests = [][]int{{10, 2, 2}, {10, 8, 8}}
	tr.setReports(LoadReport{Completed: 10, Failed: 8, MeanLatency: 1})
	tr.run(3)
	tr.check()
}

// Six of eight proxies leave while the fleet is throttled. They continue to send requests and may return. The admission
// levels must not jump when they leave.
func TestLevelsStayAsProxiesLeave(t *testing.T) {
	tr := newTrace(t, testConfig(), 4)
	for p := 2; p < 8; p++ {
		tr.planner.ProxyJoined(tr.now, p, p%2, 40)
		tr.requests = append(tr.requests, []int{10, 10})
	}
	tr.setReports(LoadReport{Completed: 20, Failed: 8, MeanLatency: 0.9})
	tr.run(4)
	tr.logf("-- six of eight proxies leave")
	for p := 2; p < 8; p++ {
		tr.planner.ProxyLeft(tr.now, p)
		tr.requests[p] = []int{0, 0}
	}
	tr.setReports(LoadReport{Completed: 5, MeanLatency: 0.2})
	tr.run(3)
	tr.check()
}

// Another controller stops, its proxies join this one and return later. The share of the endpoints' capacity that
// serves them moves with them. When their requests were mistaken for a burst, they were rejected although the fleet was
// idle. The levels must not change.
func TestLevelsStayAsProxiesAreTakenOver(t *testing.T) {
	tr := newTrace(t, testConfig(), 4)
	tr.run(2)
	tr.setReports(LoadReport{Completed: 10, Failed: 5, MeanLatency: 0.8})
	tr.run(4)
	tr.logf("-- two more proxies")
	tr.requests = [][]int{{10, 10}, {10, 10}, {10, 10}, {10, 10}}
	for p := 2; p < 4; p++ {
		tr.planner.ProxyJoined(tr.now, p, p%2, 40)
	}
	tr.run(4)
	tr.logf("-- they go back")
	for p := 2; p < 4; p++ {
		tr.planner.ProxyLeft(tr.now, p)
	}
	tr.requests = tr.requests[:2]
	tr.run(4)
	tr.check()
}

// A controller starts during an overload. The first load reports cover only a part of the window. If they were mistaken
// for the maximum throughput of the fleet, the fleet would be throttled long after the overload. Once all requests are
// answered quickly, the levels must rise again.
func TestStartDuringOverload(t *testing.T) {
	tr := newTrace(t, testConfig(), 4)
	tr.setReports(LoadReport{Completed: 10, Failed: 4, MeanLatency: 1.1})
	tr.run(4)
	tr.logf("-- all is answered quickly")
	tr.setReports(LoadReport{Completed: 6, MeanLatency: 0.2})
	tr.run(8)
	tr.check()
}
