package planner

import "testing"

// A proxy without requests sends no reports. Its demand must decay when other proxies of its subset report, and must
// stay unchanged while none does, because the collector may have stalled. Delayed reports that arrive together must not
// look like a burst of demand or of answers.
func TestDemandDecaysWithReportsOfSubset(t *testing.T) {
	tr := newTrace(t, testConfig(), 4)
	tr.planner.ProxyJoined(tr.now, 2, 0, 40)
	show := func(what string) {
		tr.logf("%s: %.0f and %.0f calls a second", what, sum(tr.planner.proxies.all[0].demand), sum(tr.planner.proxies.all[2].demand))
	}
	for _, step := range []struct {
		what          string
		proxyRequests [][]int
	}{{"both are asked", [][]int{{10, 10}, {10, 10}, {10, 10}}}, {"one is not", [][]int{{10, 10}}}, {"no reports", nil}} {
		tr.requests = step.proxyRequests
		tr.run(6)
		show(step.what)
	}
	for proxy := range 3 {
		for route := range 2 {
			tr.planner.AddDemandReport(tr.now, DemandReport{Proxy: proxy, Route: RouteID(route), Requests: 120, Interval: 6})
		}
	}
	show("all that was held up")
	for node := range tr.reports {
		tr.planner.AddLoadReport(tr.now, LoadReport{Node: node, Completed: 120, MeanLatency: 0.2, Interval: 6})
	}
	tr.logf("answered: %.0f a second", tr.planner.endpoints.sum(func(e *endpoint) float64 { return e.load.completed })/loadWindowSeconds)
	tr.check()
}

// Each proxy joins a controller of its own zone, and this controller sees no proxy of the other zone. Treated as idle,
// the other zone got most of the requests. Requests must stay in their zone until its demand is far above the usual and
// its endpoints are slow.
func TestUnseenDemandKeepsRequestsInZone(t *testing.T) {
	config := testConfig()
	config.LocalZoneProxies = true
	config.Proxies = 60
	config.Controllers = 2
	tr := newTrace(t, config, 12)
	tr.planner.ProxyLeft(tr.now, 1)
	for p := 2; p < 30; p++ {
		tr.planner.ProxyJoined(tr.now, p, 0, 10)
	}
	tr.run(3)
	tr.logf("-- proxy 0 is asked for far more")
	tr.requests[0] = []int{150, 150}
	tr.run(2)
	tr.logf("-- and its nodes are slow")
	for node := uint32(1); node < 12; node += 2 {
		tr.reports[node] = LoadReport{Completed: 20, MeanLatency: 0.6}
	}
	tr.run(2)
	tr.check()
}
