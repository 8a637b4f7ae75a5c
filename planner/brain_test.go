package planner

import (
	"fmt"
	"strings"
	"testing"
)

// Proxies are bound at once, to tables that have lines.
func TestJoiningProxiesAreBoundAtOnce(t *testing.T) {
	tr := newScene(t, testConfig(), 4)
	tr.check()
}

// Proxies that join before any list are bound once one has come, to the pools that its size asks for; until then they
// keep what they hold.
func TestProxiesWaitForFirstList(t *testing.T) {
	for _, empty := range []bool{false, true} {
		tr := &trace{t: t, now: 100, reports: map[uint32]LoadReport{}}
		tr.planner = New(tr, testConfig(), tr.now)
		if empty {
			tr.planner.ReplaceEndpoints(tr.now, nil)
		}
		for p := range 12 {
			tr.planner.ProxyJoined(tr.now, p, p%2, 10)
		}
		tr.run(1)
		if strings.Contains(tr.String(), "bind") {
			t.Errorf("ordered without a node:\n%s", tr)
		}
		tr.planner.ReplaceEndpoints(tr.now, endpointList(40))
		tr.run(2)
		for pool := range tr.planner.subsets {
			members := tr.planner.subsets[pool].members
			if len(members) != 3 {
				t.Errorf("pool %d of %d has %d proxies", pool, len(tr.planner.subsets), len(members))
			}
			if total := sum(tr.planner.subsets[pool].table.published); total == 0 {
				t.Errorf("pool %d has weights of %.2f", pool, total)
			}
		}
	}
}

// The water-fill: direct room first, then evenly over the zones with room; all room is given in the end.
func TestAllocationUsesOwnEndpointsFirst(t *testing.T) {
	tr := &trace{t: t}
	for _, fill := range []struct {
		name          string
		shares, rooms []float64
	}{
		{"even", []float64{1, 1}, []float64{5, 5}},
		{"one zone short", []float64{1, 1, 1}, []float64{1, 4, 4}},
		{"one zone busy", []float64{4, 1, 1}, []float64{2, 2, 2}},
		{"a zone without nodes", []float64{1, 1, 1}, []float64{0, 3, 3}},
		{"no traffic", []float64{0, 0}, []float64{3, 3}},
		{"one zone only", []float64{7}, []float64{3}},
	} {
		n := len(fill.rooms)
		loads := make([]subsetLoad, n)
		for z := range loads {
			loads[z] = subsetLoad{zone: z, demand: fill.shares[z], capacity: fill.rooms[z]}
		}
		granted := allocate(loads, n, false).granted
		tr.say("%s: shares %v rooms %v", fill.name, fill.shares, fill.rooms)
		for from := range n {
			tr.say("  zone %d gives %.2f", from, granted[from*n:from*n+n])
		}
		for to, room := range fill.rooms {
			used := 0.0
			for from := range n {
				used += granted[from*n+to]
			}
			if used > room+1e-9 {
				t.Errorf("%s: zone %d is given %v over its room %v", fill.name, to, used, room)
			}
		}
	}
	tr.check()
}

// A draining node leaves every table at once, also the last one of its zone.
func TestDrainingEndpointLeavesAllTables(t *testing.T) {
	tr := newScene(t, testConfig(), 3)
	tr.run(1)
	tr.say("-- node 2, alone in its zone, drains")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 2, Zone: 1, State: Draining}})
	tr.check()
}

// A node that restarts under its own id is cold at once and ramps from a quarter weight.
func TestRestartedEndpointStartsSlowly(t *testing.T) {
	tr := newScene(t, testConfig(), 4)
	tr.run(1)
	tr.say("-- node 1 restarts")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now}})
	tr.run(20)
	tr.check()
}

// What was met before a node's start tells nothing of the process that runs now; what was met since does.
func TestReportOnFormerProcessIsIgnored(t *testing.T) {
	tr := newScene(t, testConfig(), 6)
	tr.run(3)
	tr.say("-- node 1 restarts; late sums say that it answers none")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now - 1}})
	tr.reports[1] = LoadReport{Completed: 8, Failed: 8, Interval: 4}
	tr.run(4)
	tr.say("-- so do those that began since")
	tr.run(2)
	tr.check()
}

// In a jam a cold node gets less than its ramp, as most tries are lost and come again.
func TestColdEndpointIsDampedInOverload(t *testing.T) {
	tr := newScene(t, testConfig(), 4)
	tr.reportAll(LoadReport{Completed: 20, Failed: 15, MeanLatency: 1})
	tr.run(2)
	tr.say("-- node 1 restarts")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now}})
	tr.check()
}

// A node that takes calls and answers none is out when they are given up, and comes back over a trial.
func TestSilentEndpointIsEjectedAndComesBack(t *testing.T) {
	tr := newScene(t, testConfig(), 6)
	tr.run(3)
	tr.say("-- node 1 answers none")
	tr.reports[1] = LoadReport{Completed: 4, Failed: 4}
	tr.run(8)
	tr.say("-- node 1 answers again")
	tr.reports[1] = LoadReport{Completed: 1, MeanLatency: 0.2}
	tr.run(4)
	tr.check()
}

// All silent at once is a late report, no sick fleet.
func TestMissingReportsEjectNobody(t *testing.T) {
	tr := newScene(t, testConfig(), 6)
	tr.run(3)
	tr.say("-- no sums any more")
	clear(tr.reports)
	tr.run(5)
	tr.check()
}

// A node that fails fast is out; one that is full, and answers slowly, is not.
func TestFailingEndpointIsEjectedAndFullOneIsNot(t *testing.T) {
	tr := newScene(t, testConfig(), 6)
	tr.run(3)
	tr.say("-- node 1 fails fast, node 2 is full")
	tr.reports[1] = LoadReport{Completed: 10, Failed: 6, MeanLatency: 0.2}
	tr.reports[2] = LoadReport{Completed: 20, Failed: 12, MeanLatency: 1.5}
	tr.run(3)
	tr.check()
}

// A node that has grown far slower than its peers gets less at once by what it loses more than these; where all lose
// alike no one does.
func TestSlowEndpointGetsLessAtOnce(t *testing.T) {
	tr := newScene(t, testConfig(), 6)
	tr.run(4)
	tr.say("-- node 1 answers half of its tries, late")
	tr.reports[1] = LoadReport{Completed: 10, Failed: 5, MeanLatency: 1.8}
	tr.run(2)
	tr.say("-- so do all")
	tr.reportAll(tr.reports[1])
	tr.run(2)
	tr.check()
}

// Calls are let in by importance when the fleet is full, and again when it no longer is.
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

// While marks stay away, ordinary changes wait and urgent ones go out.
func TestUrgentChangesPassSlowChannel(t *testing.T) {
	config := testConfig()
	config.MaxInFlightEntries, config.EntriesPerSecond = 100, 50
	tr := newScene(t, config, 8)
	tr.withholdAcks = true
	tr.say("-- zone 0 is asked for more")
	tr.requests[0] = []int{30, 30}
	tr.run(4)
	tr.say("-- node 2 drains")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 2, Zone: 1, State: Draining}})
	tr.check()
}

// Where the list must be asked, a failed call is repeated with growing waits.
func TestFailedSubscriptionBacksOff(t *testing.T) {
	config := testConfig()
	config.MustSubscribe = true
	tr := newScene(t, config, 2)
	for range 4 {
		tr.planner.EndpointWatchFailed(tr.now)
		tr.run(3)
	}
	tr.check()
}

// Clients that come again do not lower the level further, and it comes back at once when nothing waits.
func TestClientRetriesAreNotDemand(t *testing.T) {
	tr := newScene(t, testConfig(), 4)
	tr.run(2)
	tr.say("-- all nodes are full")
	tr.reportAll(LoadReport{Completed: 10, Failed: 3, MeanLatency: 0.8})
	tr.run(3)
	tr.say("-- what was turned away is asked three times, and nothing waits")
	tr.requests = [][]int{{24, 10}, {24, 10}}
	tr.reportAll(LoadReport{Completed: 8, MeanLatency: 0.2})
	tr.run(6)
	tr.say("-- first tries fall by half")
	tr.requests = [][]int{{12, 5}, {12, 5}}
	tr.run(4)
	tr.check()
}

// When a burst ends while it is throttled, repeats of what is turned away do not keep the fleet throttled.
func TestThrottlingEndsWithBurst(t *testing.T) {
	tr := newScene(t, testConfig(), 4)
	tr.run(2)
	tr.say("-- a burst, and all nodes are full")
	tr.requests = [][]int{{40, 40}, {40, 40}}
	tr.reportAll(LoadReport{Completed: 14, Failed: 8, MeanLatency: 0.9})
	tr.run(4)
	tr.say("-- it is over; each call that is turned away comes again twice")
	for range 20 {
		let := 0.0
		for r, level := range tr.planner.admission.levels {
			let += 20 * level / 4
			tr.requests[0][r] = int(10 + 20*(1-level))
		}
		tr.requests[1] = tr.requests[0]
		tr.reportAll(LoadReport{Completed: int(let), MeanLatency: 0.2})
		tr.run(0.5)
	}
	tr.check()
}

// What is let in falls and rises with the nodes that are there.
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

// Routes that gain about alike share a level; levels that are rates give each proxy its max-min share.
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

// A proxy that comes back counts for its usual calls, and takes its zone's cold nodes' room with it.
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
	cold[1].StartTime, cold[3].StartTime = tr.now, tr.now
	tr.planner.ReplaceEndpoints(tr.now, cold)
	tr.planner.ProxyJoined(tr.now, 1, 1, 40)
	tr.run(2)
	tr.check()
}

// Zones that receive are updated first; senders follow when most proxies confirmed, or after a second.
func TestReceivingTablesArePublishedFirst(t *testing.T) {
	tr := newScene(t, testConfig(), 5)
	tr.run(1)
	tr.withholdAcks = true
	tr.say("-- nodes 1 and 2 slow down; marks stay away")
	tr.reports[1], tr.reports[2] = LoadReport{Completed: 6, MeanLatency: 0.8}, LoadReport{Completed: 4, MeanLatency: 1.2}
	tr.run(4)
	tr.check()
}

// A fleet that joins at once is bound as the queue takes it, and what must go still goes out.
func TestCrowdIsBoundAsChannelAllows(t *testing.T) {
	config := testConfig()
	config.Proxies, config.MaxInFlightEntries = 12, 100
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

// A zone with many nodes is divided, and its pools take each other's calls before those of another zone do.
func TestLargeZoneIsDivided(t *testing.T) {
	tr := newScene(t, testConfig(), 24)
	tr.planner.ProxyJoined(tr.now, 2, 0, 10)
	tr.run(1)
	tr.say("-- proxy 0 is asked for more than its pool can answer")
	tr.requests[0] = []int{30, 30}
	tr.run(2)
	tr.check()
}

// A table leads to few nodes of another zone, and its own zone's proxies keep them.
func TestSpillTakesFewEndpoints(t *testing.T) {
	tr := newScene(t, testConfig(), 12)
	tr.requests[0] = []int{15, 15}
	tr.run(4)
	tr.check()
}

// A table that lost much is set anew at once, and a cold node does not take what the lost ones had.
func TestTableThatLostMuchIsPublishedAtOnce(t *testing.T) {
	tr := newScene(t, testConfig(), 12)
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now}})
	tr.run(8)
	tr.say("-- three of zone 0's six nodes are gone")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 3}, {Node: 5}, {Node: 7}})
	tr.check()
}

// A channel that is slow for a minute never holds more than its queue takes; a broken stream frees its part.
func TestQueueStaysBoundedOnSlowChannel(t *testing.T) {
	config := testConfig()
	config.MaxInFlightEntries, config.EntriesPerSecond = 60, 30
	tr := newScene(t, config, 8)
	tr.withholdAcks = true
	for k := range 30 {
		tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, StartTime: tr.now, State: EndpointState(1 + k%2)}})
		tr.run(2)
	}
	tr.say("free %.0f", tr.planner.flow.available(1))
	tr.planner.ProxyLeft(tr.now, 0)
	tr.say("free %.0f", tr.planner.flow.available(1))
	tr.check()
}

// What drains leaves all tables before proxies are bound; these come before a table is set anew.
func TestRemovalsThenBindsThenTables(t *testing.T) {
	config := testConfig()
	config.Proxies, config.MaxInFlightEntries = 20, 80
	tr := newScene(t, config, 12)
	tr.run(2)
	tr.say("-- nodes restart and drain as proxies join")
	tr.withholdAcks = true
	for p := 2; p < 8; p++ {
		tr.planner.ProxyJoined(tr.now, p, p%2, 1)
	}
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now}, {Node: 4, Zone: 1},
		{Node: 6, Zone: 1, State: Draining}, {Node: 5, State: Draining}})
	tr.withholdAcks = false
	tr.run(1)
	tr.check()
}

// A conductor whose proxies are of its own zone keeps their calls there, as those that it does not see are
// taken to be where the room is; once its zone is asked for far more than usual, it lends.
func TestUnseenDemandKeepsRequestsInZone(t *testing.T) {
	config := testConfig()
	config.LocalZoneProxies, config.Proxies, config.Controllers = true, 60, 2
	tr := newScene(t, config, 12)
	tr.planner.ProxyLeft(tr.now, 1)
	for p := 2; p < 30; p++ {
		tr.planner.ProxyJoined(tr.now, p, 0, 10)
	}
	tr.run(3)
	tr.say("-- proxy 0 is asked for far more")
	tr.requests[0] = []int{150, 150}
	tr.run(2)
	tr.say("-- and its nodes are slow")
	for node := uint32(1); node < 12; node += 2 {
		tr.reports[node] = LoadReport{Completed: 20, MeanLatency: 0.6}
	}
	tr.run(2)
	tr.check()
}

// Proxies that leave go on sending, and may come back: what is let in does not jump as they go.
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

// Connections refused by most nodes while answers are quick are neither load nor the nodes' fault.
func TestQuickRejectionsAreNotLoad(t *testing.T) {
	tr := newScene(t, testConfig(), 12)
	tr.run(2)
	tr.say("-- half of the nodes refuse half of the tries")
	for node := range tr.reports {
		if node%4 < 2 {
			tr.reports[node] = LoadReport{Completed: 12, Failed: 6, MeanLatency: 0.2}
		}
	}
	tr.run(4)
	tr.check()
}

// A conductor that starts in a jam does not take the first few answers told for all that the fleet can do.
func TestStartDuringOverload(t *testing.T) {
	tr := newScene(t, testConfig(), 4)
	tr.reportAll(LoadReport{Completed: 10, Failed: 4, MeanLatency: 1.1})
	tr.run(4)
	tr.say("-- all is answered quickly")
	tr.reportAll(LoadReport{Completed: 6, MeanLatency: 0.2})
	tr.run(8)
	tr.check()
}

// Nothing that the list, the streams or the sums may bring ends in a panic or in orders that the queue cannot
// take.
func TestUnexpectedEventsKeepQueueBounded(t *testing.T) {
	config := testConfig()
	config.Proxies, config.MaxInFlightEntries = 300, 3000
	tr := &trace{t: t, now: 100, reports: map[uint32]LoadReport{}}
	tr.planner = New(tr, config, tr.now)
	events := []struct {
		name string
		do   func()
	}{
		{"an empty list", func() { tr.planner.ReplaceEndpoints(tr.now, nil) }},
		{"300 proxies in one batch", func() {
			for p := range 300 {
				tr.planner.ProxyJoined(tr.now, p, p%2, 1)
			}
		}},
		{"no node in zone 1", func() { tr.planner.ReplaceEndpoints(tr.now, endpointList(60)[:1]) }},
		{"the list swings", func() {
			for k := range 20 {
				tr.planner.ReplaceEndpoints(tr.now, endpointList(60)[k%2*30:k%2*30+30])
			}
		}},
		{"all start again cold", func() {
			cold := endpointList(60)
			for k := range cold {
				cold[k].StartTime = tr.now
			}
			tr.planner.ReplaceEndpoints(tr.now, cold)
		}},
		{"sums and marks of what is not known", func() {
			tr.planner.AddLoadReport(tr.now, LoadReport{Node: 999, Completed: 5, Failed: 9, MeanLatency: -1})
			tr.planner.AddDemandReport(tr.now, DemandReport{Proxy: 999, Route: 9, Requests: 1, Interval: 1})
			tr.planner.Acknowledged(tr.now, 999, 59999)
			tr.planner.ProxyLeft(tr.now, 999)
		}},
		{"all nodes gone", func() { tr.planner.ReplaceEndpoints(tr.now, nil) }},
		{"all proxies gone", func() {
			for p := range 300 {
				tr.planner.ProxyLeft(tr.now, p)
			}
		}},
	}
	summary := ""
	for _, step := range events {
		step.do()
		leastAvailable := tr.planner.flow.available(1)
		for range 30 {
			tr.run(0.1)
			leastAvailable = min(leastAvailable, tr.planner.flow.available(1))
		}
		entries, bound := 0, 0
		for subset := range tr.planner.subsets {
			for _, weight := range tr.planner.subsets[subset].table.published {
				if weight > 0 {
					entries++
				}
			}
		}
		for _, subset := range tr.planner.subsets {
			bound += len(subset.members)
		}
		summary += fmt.Sprintf("%s: %d lines, %d proxies bound, %.0f lines free at least\n", step.name, entries,
			bound, leastAvailable)
	}
	tr.Reset()
	tr.WriteString(summary)
	tr.check()
}

// A node at which calls wait turns some away because it is full: it stays in.
func TestEndpointWithQueueIsNotEjected(t *testing.T) {
	config := testConfig()
	config.QueueLengthIndex = 0
	tr := newScene(t, config, 6)
	tr.run(2)
	tr.say("-- node 1 is full and answers quickly what it takes, node 2 fails")
	tr.reports[1] = LoadReport{Completed: 20, Failed: 12, MeanLatency: 0.4, Values: []float64{6}}
	tr.reports[2] = LoadReport{Completed: 20, Failed: 12, MeanLatency: 0.4, Values: []float64{0}}
	tr.run(3)
	tr.check()
}

// Tries that other nodes refuse come again at a cold one that takes them: it gets little of the table.
func TestColdEndpointIsDampedWhileOthersReject(t *testing.T) {
	tr := newScene(t, testConfig(), 6)
	tr.reportAll(LoadReport{Completed: 12, Failed: 6, MeanLatency: 0.2})
	tr.run(2)
	tr.say("-- node 1 restarts")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now}})
	tr.run(1)
	tr.check()
}

// Proxies that are told again, after a gap in the news, were not away: levels stay as they are.
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

// A proxy without calls says nothing: its usage fades while others of its zone report and stays while none does; what
// was held up meanwhile and comes all at once is no burst.
func TestDemandDecaysWithReportsOfSubset(t *testing.T) {
	tr := newScene(t, testConfig(), 4)
	tr.planner.ProxyJoined(tr.now, 2, 0, 40)
	show := func(what string) {
		tr.say("%s: %.0f and %.0f calls a second", what, sum(tr.planner.proxies.all[0].demand), sum(tr.planner.proxies.all[2].demand))
	}
	for _, step := range []struct {
		what  string
		calls [][]int
	}{{"both are asked", [][]int{{10, 10}, {10, 10}, {10, 10}}}, {"one is not", [][]int{{10, 10}}}, {"no reports", nil}} {
		tr.requests = step.calls
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
	tr.say("answered: %.0f a second", tr.planner.endpoints.sum(func(e *endpoint) float64 { return e.load.completed })/loadWindow)
	tr.check()
}

// Of tables that are off, those that leave their proxies without a node go first, whatever the calls of the others.
func TestEmptyTableIsPublishedFirst(t *testing.T) {
	tr := newScene(t, testConfig(), 24)
	tr.run(2)
	clear(tr.planner.subsets[3].table.published)
	tr.planner.subsets[3].members, tr.planner.subsets[3].demand = []int{1}, 0
	tr.planner.subsets[0].table.published[0] *= 5
	tr.planner.planTables()
	tr.say("-- table 0 is far off, table 3 has no line")
	tr.planner.publishAll(tr.planner.changedByTable([]int{0, 1, 2, 3}), bindShare)
	tr.check()
}

// The proxies of a lost zone count for their usual calls when they are back, also once the first report comes.
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

// Proxies that another conductor leaves to us bring the nodes' part that was theirs: levels stay as they join and as
// they go back.
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

// Proxies that stand are told again after a gap in the news: what waits for them still counts, they keep getting
// their table's lines, and they are bound again only as the channel has room.
func TestRepeatedJoinReleasesNothing(t *testing.T) {
	config := testConfig()
	config.Proxies, config.MaxInFlightEntries = 40, 600
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

// A call that may have been carried out and goes out again counts twice, until a later mark shows that both left.
func TestRetriedCallCountsTwice(t *testing.T) {
	config := testConfig()
	tr := newScene(t, config, 4)
	sayInFlight := func(when string) { tr.say("%s: %.0f lines wait", when, tr.planner.flow.account.entries) }
	tr.run(1)
	sayInFlight("calm")
	tr.withholdAcks = true
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 2, Zone: 1, State: Draining}})
	sayInFlight("node 2 drains")
	first := tr.nonce
	tr.planner.CommandsRetried(tr.now, first, true)
	sayInFlight("repeated")
	tr.planner.CommandsAccepted(tr.now, first)
	for p := range 2 {
		tr.planner.Acknowledged(tr.now, p, first)
	}
	sayInFlight("confirmed, for all one knows the first time")
	tr.now += 0.1
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Draining}})
	sayInFlight("node 1 drains")
	for p := range 2 {
		tr.planner.Acknowledged(tr.now, p, tr.nonce)
	}
	tr.planner.CommandsAccepted(tr.now, tr.nonce)
	sayInFlight("confirmed")
	tr.check()
}

// Where the queue holds far more than the channel sends in a while, a crowd is bound as it drains, a level still goes
// out, and a drain finds little before it.
func TestLongQueueIsFilledByRate(t *testing.T) {
	config := testConfig()
	config.Proxies, config.EntriesPerSecond, config.MaxInFlightEntries = 200, 100, 100000
	tr := &trace{t: t, now: 100, reports: map[uint32]LoadReport{}, withholdAcks: true}
	tr.planner = New(tr, config, tr.now)
	tr.planner.ReplaceEndpoints(tr.now, endpointList(6))
	tr.planner.CommandsAccepted(tr.now, tr.nonce)
	for p := range config.Proxies {
		tr.planner.ProxyJoined(tr.now, p, p%2, 1)
	}
	var kept []string
	say := func(when string) {
		bound := len(tr.planner.subsets[0].members) + len(tr.planner.subsets[1].members)
		kept = append(kept, fmt.Sprintf("%s: %.1f s of the channel wait, %d bound", when, tr.planner.flow.account.entries/config.EntriesPerSecond, bound))
	}
	say("joined")
	for range 4 {
		tr.planner.Acknowledged(tr.now, 0, tr.nonce)
		tr.run(1)
	}
	say("4 s later")
	before := tr.planner.flow.account.entries
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 2, Zone: 1, State: Draining}})
	kept = append(kept, fmt.Sprintf("the drain is behind %.1f s", before/config.EntriesPerSecond))
	tr.Reset()
	for _, line := range kept {
		tr.say("%s", line)
	}
	tr.check()
}
