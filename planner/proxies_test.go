package planner

import (
	"strings"
	"testing"
)

// A proxy that joins may hold the table of another controller. It has to be bound at once, to a table that has
// entries.
func TestJoiningProxiesAreBoundAtOnce(t *testing.T) {
	tr := newScene(t, testConfig(), 4)
	tr.check()
}

// Proxies join before the endpoint list has come, or after an empty one. Bound to an empty table they would lose what
// they hold. They have to be bound once a list has come, to subsets of the number that its size asks for.
func TestProxiesWaitForFirstList(t *testing.T) {
	for _, c := range []struct {
		name  string
		empty bool // whether an empty list comes first
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
				t.Errorf("bound without an endpoint:\n%s", tr)
			}
			tr.planner.ReplaceEndpoints(tr.now, endpointList(40))
			tr.run(2)
			for k := range tr.planner.subsets {
				s := &tr.planner.subsets[k]
				if len(s.members) != 3 {
					t.Errorf("subset %d of %d has %d members", k, len(tr.planner.subsets), len(s.members))
				}
				if total := sum(s.table.published); total == 0 {
					t.Errorf("the table of subset %d has no weight", k)
				}
			}
		})
	}
}

// A whole fleet joins at once while nothing is acknowledged. Its tables overrun the channel unless they are sent as
// flow control lets them, and an endpoint that drains meanwhile still has to leave the tables at once.
func TestCrowdIsBoundAsChannelAllows(t *testing.T) {
	config := testConfig()
	config.Proxies = 12
	config.MaxInFlightEntries = 100
	tr := newScene(t, config, 4)
	tr.withholdAcks = true
	for p := 2; p < 12; p++ {
		tr.planner.ProxyJoined(tr.now, p, p%2, 1)
	}
	tr.say("-- node 1 drains while proxies wait")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Draining}})
	tr.say("-- the channel confirms")
	tr.withholdAcks = false
	tr.run(1)
	tr.check()
}

// A zone is lost with its proxy and starts again. The proxy's demand has decayed, and its reports come seconds later:
// counted as nothing it would leave the capacity of its zone's cold endpoints to others. It has to count for its
// baseline rate.
func TestReturningProxyCountsForBaselineRate(t *testing.T) {
	tr := newScene(t, testConfig(), 4)
	tr.run(2)
	tr.say("-- zone 1 is lost with its proxy")
	tr.planner.ProxyLeft(tr.now, 1)
	tr.planner.ReplaceEndpoints(tr.now, []Endpoint{endpointList(4)[0], endpointList(4)[2]})
	tr.requests[1] = []int{0, 0}
	tr.run(10)
	tr.say("-- and starts again")
	cold := endpointList(4)
	cold[1].StartTime = tr.now
	cold[3].StartTime = tr.now
	tr.planner.ReplaceEndpoints(tr.now, cold)
	tr.planner.ProxyJoined(tr.now, 1, 1, 40)
	tr.run(2)
	tr.check()
}

// The only proxy of a subset is back after 10 s. The first demand report took the time without any off its baseline
// rate, the allocation took the zone for idle, and the cold endpoints there got the requests of all. The proxy has to
// count for its baseline rate after that report as well.
func TestReturningZoneKeepsBaselineRate(t *testing.T) {
	tr := newScene(t, testConfig(), 4)
	tr.run(3)
	tr.planner.ProxyLeft(tr.now, 1)
	calls := tr.requests
	tr.requests = calls[:1]
	tr.run(10)
	tr.say("-- proxy 1 is back after 10 s")
	tr.planner.ProxyJoined(tr.now, 1, 1, 40)
	tr.planner.AddDemandReport(tr.now, DemandReport{Proxy: 1, Route: 0, Requests: 1, Interval: 0.5})
	tr.planner.Step(tr.wakeAt)
	tr.say("calls a second by pool %.0f", []float64{tr.planner.subsets[0].demand, tr.planner.subsets[1].demand})
	tr.check()
}

// After a gap in the proxy watch, connected proxies are notified again. Taken for proxies that left and came back,
// they would move the baseline rate and with it the admission levels. Levels have to stay.
func TestRepeatedJoinKeepsLevels(t *testing.T) {
	tr := newScene(t, testConfig(), 4)
	tr.run(10)
	tr.reportAll(LoadReport{Completed: 10, Failed: 4, MeanLatency: 0.9})
	tr.requests = [][]int{{40, 10}, {40, 10}}
	tr.run(20)
	tr.say("-- both proxies are told again")
	for p := range tr.requests {
		tr.planner.ProxyJoined(tr.now, p, p, 100)
	}
	tr.run(4)
	tr.check()
}

// Connected proxies are notified again while the channel is full. Their streams never broke, and what is in flight to
// them still is: released, it would overrun the channel. They have to keep getting their table's entries, and be
// bound again only as the channel has room.
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
	sayInFlight := func(when string) {
		bound := len(tr.planner.subsets[0].members) + len(tr.planner.subsets[1].members)
		tr.say("%s: %.0f of %.0f lines wait, %d bound", when, tr.planner.flow.account.entries, config.MaxInFlightEntries, bound)
	}
	join()
	sayInFlight("joined")
	tr.run(2)
	sayInFlight("later")
	join()
	sayInFlight("told again")
	tr.run(1)
	sayInFlight("later")
	tr.planner.ProxyLeft(tr.now, 0)
	tr.planner.ProxyJoined(tr.now, 0, 0, 1)
	sayInFlight("one was renewed")
	tr.planner.Acknowledged(tr.now, 1, tr.nonce)
	sayInFlight("the last mark was confirmed")
	tr.check()
}
