package planner

import (
	"strings"
	"testing"
)

// A proxy that joins may hold the table of another controller. It must be bound immediately, to a table with entries.
func TestJoiningProxiesAreBoundAtOnce(t *testing.T) {
	tr := newTrace(t, testConfig(), 4)
	tr.check()
}

// Proxies join before the endpoint list arrives, or after an empty list. If they were bound to an empty table, they
// would lose the entries that they hold. They must be bound once a list with endpoints has arrived, and the number of
// subsets must match the size of that list.
func TestProxiesWaitForFirstList(t *testing.T) {
	for _, c := range []struct {
		name  string
		empty bool // whether an empty list arrives first
	}{
		{"no list", false},
		{"an empty list", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := &trace{t: t, now: 100, reports: map[uint32]LoadReport{}}
			tr.planner = New(tr, testConfig(), tr.now)
			if c.empty {
				tr.planner.ReplaceEndpoints(tr.now, nil)
			}
			for proxy := range 12 {
				tr.planner.ProxyJoined(tr.now, proxy, proxy%2, 10)
			}
			tr.run(1)
			if strings.Contains(tr.String(), "bind") {
				t.Errorf("got a bind without an endpoint, want none:\n%s", tr)
			}
			tr.planner.ReplaceEndpoints(tr.now, endpointList(40))
			tr.run(2)
			for k := range tr.planner.subsets {
				s := &tr.planner.subsets[k]
				if len(s.members) != 3 {
					t.Errorf("members of subset %d of %d: got %d, want 3", k, len(tr.planner.subsets), len(s.members))
				}
				if total := sum(s.table.published); total == 0 {
					t.Errorf("sum of published weights of subset %d: got %v, want greater than 0", k, total)
				}
			}
		})
	}
}

// An entire fleet joins simultaneously while no message is acknowledged. Its tables overrun the channel unless they are
// sent as flow control permits. An endpoint that starts draining meanwhile must still be removed from the tables
// immediately.
func TestCrowdIsBoundAsChannelAllows(t *testing.T) {
	config := testConfig()
	config.Proxies = 12
	config.MaxInFlightEntries = 100
	tr := newTrace(t, config, 4)
	tr.withholdAcks = true
	for p := 2; p < 12; p++ {
		tr.planner.ProxyJoined(tr.now, p, p%2, 1)
	}
	tr.logf("-- node 1 drains while proxies wait")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Draining}})
	tr.logf("-- the channel confirms")
	tr.withholdAcks = false
	tr.run(1)
	tr.check()
}

// A zone is lost together with its proxy and starts again. The proxy's demand has decayed, and its reports arrive
// seconds later. If its demand counted as 0, the capacity of its zone's cold endpoints would be granted to others. It
// must count with its baseline rate.
func TestReturningProxyCountsForBaselineRate(t *testing.T) {
	tr := newTrace(t, testConfig(), 4)
	tr.run(2)
	tr.logf("-- zone 1 is lost with its proxy")
	tr.planner.ProxyLeft(tr.now, 1)
	tr.planner.ReplaceEndpoints(tr.now, []Endpoint{endpointList(4)[0], endpointList(4)[2]})
	tr.requests[1] = []int{0, 0}
	tr.run(10)
	tr.logf("-- and starts again")
	cold := endpointList(4)
	cold[1].StartTime = tr.now
	cold[3].StartTime = tr.now
	tr.planner.ReplaceEndpoints(tr.now, cold)
	tr.planner.ProxyJoined(tr.now, 1, 1, 40)
	tr.run(2)
	tr.check()
}

// The only proxy of a subset returns after 10 s. The first demand report decayed its baseline rate by the time without
// reports, the allocation considered the zone idle, and the cold endpoints there received the requests of all zones.
// The proxy must count with its baseline rate after that report as well.
func TestReturningZoneKeepsBaselineRate(t *testing.T) {
	tr := newTrace(t, testConfig(), 4)
	tr.run(3)
	tr.planner.ProxyLeft(tr.now, 1)
	allRequests := tr.requests
	tr.requests = allRequests[:1]
	tr.run(10)
	tr.logf("-- proxy 1 is back after 10 s")
	tr.planner.ProxyJoined(tr.now, 1, 1, 40)
	tr.planner.AddDemandReport(tr.now, DemandReport{Proxy: 1, Route: 0, Requests: 1, Interval: 0.5})
	tr.planner.Step(tr.wakeAt)
	tr.logf("calls a second by pool %.0f", []float64{tr.planner.subsets[0].demand, tr.planner.subsets[1].demand})
	tr.check()
}

// After a gap in the proxy watch, connected proxies are announced again. If they were mistaken for proxies that left
// and returned, the baseline rate would change and with it the admission levels. The levels must not change.
func TestRepeatedJoinKeepsLevels(t *testing.T) {
	tr := newTrace(t, testConfig(), 4)
	tr.run(10)
	tr.setReports(LoadReport{Completed: 10, Failed: 4, MeanLatency: 0.9})
	tr.requests = [][]int{{40, 10}, {40, 10}}
	tr.run(20)
	tr.logf("-- both proxies are told again")
	for p := range tr.requests {
		tr.planner.ProxyJoined(tr.now, p, p, 100)
	}
	tr.run(4)
	tr.check()
}

// Connected proxies are announced again while the channel is full. Their streams never broke, so their entries are
// still in flight, and releasing these would overrun the channel. The proxies must continue to receive their table's
// entries, and must be bound again only as the channel has capacity.
func TestRepeatedJoinReleasesNothing(t *testing.T) {
	config := testConfig()
	config.Proxies = 40
	config.MaxInFlightEntries = 600
	tr := &trace{t: t, now: 100, withholdAcks: true}
	tr.planner = New(tr, config, tr.now)
	tr.planner.ReplaceEndpoints(tr.now, endpointList(6))
	join := func() {
		for p := range config.Proxies {
			tr.planner.ProxyJoined(tr.now, p, p%2, 1)
		}
	}
	traceInFlight := func(when string) {
		bound := len(tr.planner.subsets[0].members) + len(tr.planner.subsets[1].members)
		tr.logf("%s: %.0f of %.0f lines wait, %d bound", when, tr.planner.flow.account.entries, config.MaxInFlightEntries, bound)
	}
	join()
	traceInFlight("joined")
	tr.run(2)
	traceInFlight("later")
	join()
	traceInFlight("told again")
	tr.run(1)
	traceInFlight("later")
	tr.planner.ProxyLeft(tr.now, 0)
	tr.planner.ProxyJoined(tr.now, 0, 0, 1)
	traceInFlight("one was renewed")
	tr.planner.Acknowledged(tr.now, 1, tr.nonce)
	traceInFlight("the last mark was confirmed")
	tr.check()
}
