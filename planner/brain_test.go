package planner

import (
	"fmt"
	"strings"
	"testing"
)

// Proxies are bound at once, to tables that have lines.
func TestJoin(t *testing.T) {
	tr := scene(t, testSite(), 4)
	tr.check()
}

// Proxies that join before any list are bound once one has come, to the pools that its size asks for; until then they
// keep what they hold.
func TestFirstList(t *testing.T) {
	for _, empty := range []bool{false, true} {
		tr := &trace{t: t, now: 100, meets: map[uint32]LoadReport{}}
		tr.c = New(tr, testSite(), tr.now)
		if empty {
			tr.c.ReplaceEndpoints(tr.now, nil)
		}
		for p := range 12 {
			tr.c.ProxyJoined(tr.now, p, p%2, 10)
		}
		tr.run(1)
		if strings.Contains(tr.String(), "bind") {
			t.Errorf("ordered without a node:\n%s", tr)
		}
		tr.c.ReplaceEndpoints(tr.now, rows(40))
		tr.run(2)
		for pool := range tr.c.subsets {
			members := tr.c.subsets[pool].members
			if len(members) != 3 {
				t.Errorf("pool %d of %d has %d proxies", pool, len(tr.c.subsets), len(members))
			}
			if whole := sum(tr.c.subsets[pool].table.published); whole == 0 {
				t.Errorf("pool %d has weights of %.2f", pool, whole)
			}
		}
	}
}

// The water-fill: direct room first, then evenly over the zones with room; all room is given in the end.
func TestFill(t *testing.T) {
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
		given := allocate(loads, n, false).granted
		tr.say("%s: shares %v rooms %v", fill.name, fill.shares, fill.rooms)
		for from := range n {
			tr.say("  zone %d gives %.2f", from, given[from*n:from*n+n])
		}
		for to, room := range fill.rooms {
			used := 0.0
			for from := range n {
				used += given[from*n+to]
			}
			if used > room+1e-9 {
				t.Errorf("%s: zone %d is given %v over its room %v", fill.name, to, used, room)
			}
		}
	}
	tr.check()
}

// A draining node leaves every table at once, also the last one of its zone.
func TestDrain(t *testing.T) {
	tr := scene(t, testSite(), 3)
	tr.run(1)
	tr.say("-- node 2, alone in its zone, drains")
	tr.c.UpdateEndpoints(tr.now, []Endpoint{{Node: 2, Zone: 1, State: Draining}})
	tr.check()
}

// A node that restarts under its own id is cold at once and ramps from a quarter weight.
func TestRestart(t *testing.T) {
	tr := scene(t, testSite(), 4)
	tr.run(1)
	tr.say("-- node 1 restarts")
	tr.c.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now}})
	tr.run(20)
	tr.check()
}

// What was met before a node's start tells nothing of the process that runs now; what was met since does.
func TestProcessBefore(t *testing.T) {
	tr := scene(t, testSite(), 6)
	tr.run(3)
	tr.say("-- node 1 restarts; late sums say that it answers none")
	tr.c.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now - 1}})
	tr.meets[1] = LoadReport{Completed: 8, Failed: 8, Interval: 4}
	tr.run(4)
	tr.say("-- so do those that began since")
	tr.run(2)
	tr.check()
}

// In a jam a cold node gets less than its ramp, as most tries are lost and come again.
func TestColdInJam(t *testing.T) {
	tr := scene(t, testSite(), 4)
	tr.meet(LoadReport{Completed: 20, Failed: 15, MeanLatency: 1})
	tr.run(2)
	tr.say("-- node 1 restarts")
	tr.c.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now}})
	tr.check()
}

// A node that takes calls and answers none is out when they are given up, and comes back over a trial.
func TestSilent(t *testing.T) {
	tr := scene(t, testSite(), 6)
	tr.run(3)
	tr.say("-- node 1 answers none")
	tr.meets[1] = LoadReport{Completed: 4, Failed: 4}
	tr.run(8)
	tr.say("-- node 1 answers again")
	tr.meets[1] = LoadReport{Completed: 1, MeanLatency: 0.2}
	tr.run(4)
	tr.check()
}

// All silent at once is a late report, no sick fleet.
func TestAllSilent(t *testing.T) {
	tr := scene(t, testSite(), 6)
	tr.run(3)
	tr.say("-- no sums any more")
	clear(tr.meets)
	tr.run(5)
	tr.check()
}

// A node that fails fast is out; one that is full, and answers slowly, is not.
func TestFailing(t *testing.T) {
	tr := scene(t, testSite(), 6)
	tr.run(3)
	tr.say("-- node 1 fails fast, node 2 is full")
	tr.meets[1] = LoadReport{Completed: 10, Failed: 6, MeanLatency: 0.2}
	tr.meets[2] = LoadReport{Completed: 20, Failed: 12, MeanLatency: 1.5}
	tr.run(3)
	tr.check()
}

// A node that has grown far slower than its peers gets less at once by what it loses more than these; where all lose
// alike no one does.
func TestSlow(t *testing.T) {
	tr := scene(t, testSite(), 6)
	tr.run(4)
	tr.say("-- node 1 answers half of its tries, late")
	tr.meets[1] = LoadReport{Completed: 10, Failed: 5, MeanLatency: 1.8}
	tr.run(2)
	tr.say("-- so do all")
	tr.meet(tr.meets[1])
	tr.run(2)
	tr.check()
}

// Calls are let in by importance when the fleet is full, and again when it no longer is.
func TestJam(t *testing.T) {
	tr := scene(t, testSite(), 4)
	tr.run(2)
	tr.say("-- all nodes are full")
	tr.meet(LoadReport{Completed: 10, Failed: 5, MeanLatency: 1})
	tr.run(6)
	tr.say("-- and empty again")
	tr.meet(LoadReport{Completed: 10, MeanLatency: 0.2})
	tr.run(12)
	tr.check()
}

// While marks stay away, ordinary changes wait and urgent ones go out.
func TestSlowChannel(t *testing.T) {
	site := testSite()
	site.MaxInFlightEntries, site.EntriesPerSecond = 100, 50
	tr := scene(t, site, 8)
	tr.mute = true
	tr.say("-- zone 0 is asked for more")
	tr.calls[0] = []int{30, 30}
	tr.run(4)
	tr.say("-- node 2 drains")
	tr.c.UpdateEndpoints(tr.now, []Endpoint{{Node: 2, Zone: 1, State: Draining}})
	tr.check()
}

// Where the list must be asked, a failed call is repeated with growing waits.
func TestAsk(t *testing.T) {
	site := testSite()
	site.MustSubscribe = true
	tr := scene(t, site, 2)
	for range 4 {
		tr.c.EndpointWatchFailed(tr.now)
		tr.run(3)
	}
	tr.check()
}

// Clients that come again do not lower the level further, and it comes back at once when nothing waits.
func TestRepeats(t *testing.T) {
	tr := scene(t, testSite(), 4)
	tr.run(2)
	tr.say("-- all nodes are full")
	tr.meet(LoadReport{Completed: 10, Failed: 3, MeanLatency: 0.8})
	tr.run(3)
	tr.say("-- what was turned away is asked three times, and nothing waits")
	tr.calls = [][]int{{24, 10}, {24, 10}}
	tr.meet(LoadReport{Completed: 8, MeanLatency: 0.2})
	tr.run(6)
	tr.say("-- first tries fall by half")
	tr.calls = [][]int{{12, 5}, {12, 5}}
	tr.run(4)
	tr.check()
}

// When a burst ends while it is throttled, repeats of what is turned away do not keep the fleet throttled.
func TestBurstOver(t *testing.T) {
	tr := scene(t, testSite(), 4)
	tr.run(2)
	tr.say("-- a burst, and all nodes are full")
	tr.calls = [][]int{{40, 40}, {40, 40}}
	tr.meet(LoadReport{Completed: 14, Failed: 8, MeanLatency: 0.9})
	tr.run(4)
	tr.say("-- it is over; each call that is turned away comes again twice")
	for range 20 {
		let := 0.0
		for r, level := range tr.c.admission.levels {
			let += 20 * level / 4
			tr.calls[0][r] = int(10 + 20*(1-level))
		}
		tr.calls[1] = tr.calls[0]
		tr.meet(LoadReport{Completed: int(let), MeanLatency: 0.2})
		tr.run(0.5)
	}
	tr.check()
}

// What is let in falls and rises with the nodes that are there.
func TestLostNodes(t *testing.T) {
	tr := scene(t, testSite(), 8)
	tr.meet(LoadReport{Completed: 5, Failed: 1, MeanLatency: 0.9})
	tr.run(3)
	tr.say("-- half of the nodes are gone")
	list := rows(8)
	tr.c.ReplaceEndpoints(tr.now, list[:4])
	tr.run(2)
	tr.say("-- and back, long warm")
	tr.c.ReplaceEndpoints(tr.now, list)
	tr.run(2)
	tr.check()
}

// Routes that gain about alike share a level; levels that are rates give each proxy its max-min share.
func TestSharedLevel(t *testing.T) {
	site := testSite()
	site.Admission = AdmissionRate
	site.Routes = append(site.Routes, Route{LatencyObjective: 1, PriorityWeight: 2.8})
	tr := scene(t, site, 4)
	tr.calls = [][]int{{10, 2, 2}, {10, 8, 8}}
	tr.meet(LoadReport{Completed: 10, Failed: 8, MeanLatency: 1})
	tr.run(3)
	tr.check()
}

// A proxy that comes back counts for its usual calls, and takes its zone's cold nodes' room with it.
func TestBack(t *testing.T) {
	tr := scene(t, testSite(), 4)
	tr.run(2)
	tr.say("-- zone 1 is lost with its proxy")
	tr.c.ProxyLeft(tr.now, 1)
	tr.c.ReplaceEndpoints(tr.now, []Endpoint{rows(4)[0], rows(4)[2]})
	tr.calls[1] = []int{0, 0}
	tr.run(10)
	tr.say("-- and starts again")
	cold := rows(4)
	cold[1].StartTime, cold[3].StartTime = tr.now, tr.now
	tr.c.ReplaceEndpoints(tr.now, cold)
	tr.c.ProxyJoined(tr.now, 1, 1, 40)
	tr.run(2)
	tr.check()
}

// Zones that receive are updated first; senders follow when most proxies confirmed, or after a second.
func TestSteps(t *testing.T) {
	tr := scene(t, testSite(), 5)
	tr.run(1)
	tr.mute = true
	tr.say("-- nodes 1 and 2 slow down; marks stay away")
	tr.meets[1], tr.meets[2] = LoadReport{Completed: 6, MeanLatency: 0.8}, LoadReport{Completed: 4, MeanLatency: 1.2}
	tr.run(4)
	tr.check()
}

// A fleet that joins at once is bound as the queue takes it, and what must go still goes out.
func TestCrowd(t *testing.T) {
	site := testSite()
	site.Proxies, site.MaxInFlightEntries = 12, 100
	tr := scene(t, site, 4)
	tr.mute = true
	for p := 2; p < 12; p++ {
		tr.c.ProxyJoined(tr.now, p, p%2, 1)
	}
	tr.say("-- node 1 drains while proxies wait")
	tr.c.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Draining}})
	tr.say("-- the channel confirms")
	tr.mute = false
	tr.run(1)
	tr.check()
}

// A zone with many nodes is divided, and its pools take each other's calls before those of another zone do.
func TestPools(t *testing.T) {
	tr := scene(t, testSite(), 24)
	tr.c.ProxyJoined(tr.now, 2, 0, 10)
	tr.run(1)
	tr.say("-- proxy 0 is asked for more than its pool can answer")
	tr.calls[0] = []int{30, 30}
	tr.run(2)
	tr.check()
}

// A table leads to few nodes of another zone, and its own zone's proxies keep them.
func TestLend(t *testing.T) {
	tr := scene(t, testSite(), 12)
	tr.calls[0] = []int{15, 15}
	tr.run(4)
	tr.check()
}

// A table that lost much is set anew at once, and a cold node does not take what the lost ones had.
func TestLoss(t *testing.T) {
	tr := scene(t, testSite(), 12)
	tr.c.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now}})
	tr.run(8)
	tr.say("-- three of zone 0's six nodes are gone")
	tr.c.UpdateEndpoints(tr.now, []Endpoint{{Node: 3}, {Node: 5}, {Node: 7}})
	tr.check()
}

// A channel that is slow for a minute never holds more than its queue takes; a broken stream frees its part.
func TestLongSlow(t *testing.T) {
	site := testSite()
	site.MaxInFlightEntries, site.EntriesPerSecond = 60, 30
	tr := scene(t, site, 8)
	tr.mute = true
	for k := range 30 {
		tr.c.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, StartTime: tr.now, State: EndpointState(1 + k%2)}})
		tr.run(2)
	}
	tr.say("free %.0f", tr.c.flow.available(1))
	tr.c.ProxyLeft(tr.now, 0)
	tr.say("free %.0f", tr.c.flow.available(1))
	tr.check()
}

// What drains leaves all tables before proxies are bound; these come before a table is set anew.
func TestOrder(t *testing.T) {
	site := testSite()
	site.Proxies, site.MaxInFlightEntries = 20, 80
	tr := scene(t, site, 12)
	tr.run(2)
	tr.say("-- nodes restart and drain as proxies join")
	tr.mute = true
	for p := 2; p < 8; p++ {
		tr.c.ProxyJoined(tr.now, p, p%2, 1)
	}
	tr.c.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now}, {Node: 4, Zone: 1},
		{Node: 6, Zone: 1, State: Draining}, {Node: 5, State: Draining}})
	tr.mute = false
	tr.run(1)
	tr.check()
}

// A conductor whose proxies are of its own zone keeps their calls there, as those that it does not see are
// taken to be where the room is; once its zone is asked for far more than usual, it lends.
func TestOwnZone(t *testing.T) {
	site := testSite()
	site.LocalZoneProxies, site.Proxies, site.Controllers = true, 60, 2
	tr := scene(t, site, 12)
	tr.c.ProxyLeft(tr.now, 1)
	for p := 2; p < 30; p++ {
		tr.c.ProxyJoined(tr.now, p, 0, 10)
	}
	tr.run(3)
	tr.say("-- proxy 0 is asked for far more")
	tr.calls[0] = []int{150, 150}
	tr.run(2)
	tr.say("-- and its nodes are slow")
	for node := uint32(1); node < 12; node += 2 {
		tr.meets[node] = LoadReport{Completed: 20, MeanLatency: 0.6}
	}
	tr.run(2)
	tr.check()
}

// Proxies that leave go on sending, and may come back: what is let in does not jump as they go.
func TestLeave(t *testing.T) {
	tr := scene(t, testSite(), 4)
	for p := 2; p < 8; p++ {
		tr.c.ProxyJoined(tr.now, p, p%2, 40)
		tr.calls = append(tr.calls, []int{10, 10})
	}
	tr.meet(LoadReport{Completed: 20, Failed: 8, MeanLatency: 0.9})
	tr.run(4)
	tr.say("-- six of eight proxies leave")
	for p := 2; p < 8; p++ {
		tr.c.ProxyLeft(tr.now, p)
		tr.calls[p] = []int{0, 0}
	}
	tr.meet(LoadReport{Completed: 5, MeanLatency: 0.2})
	tr.run(3)
	tr.check()
}

// Connections refused by most nodes while answers are quick are neither load nor the nodes' fault.
func TestRefused(t *testing.T) {
	tr := scene(t, testSite(), 12)
	tr.run(2)
	tr.say("-- half of the nodes refuse half of the tries")
	for node := range tr.meets {
		if node%4 < 2 {
			tr.meets[node] = LoadReport{Completed: 12, Failed: 6, MeanLatency: 0.2}
		}
	}
	tr.run(4)
	tr.check()
}

// A conductor that starts in a jam does not take the first few answers told for all that the fleet can do.
func TestStartInJam(t *testing.T) {
	tr := scene(t, testSite(), 4)
	tr.meet(LoadReport{Completed: 10, Failed: 4, MeanLatency: 1.1})
	tr.run(4)
	tr.say("-- all is answered quickly")
	tr.meet(LoadReport{Completed: 6, MeanLatency: 0.2})
	tr.run(8)
	tr.check()
}

// Nothing that the list, the streams or the sums may bring ends in a panic or in orders that the queue cannot
// take.
func TestOdd(t *testing.T) {
	site := testSite()
	site.Proxies, site.MaxInFlightEntries = 300, 3000
	tr := &trace{t: t, now: 100, meets: map[uint32]LoadReport{}}
	tr.c = New(tr, site, tr.now)
	steps := []struct {
		name string
		do   func()
	}{
		{"an empty list", func() { tr.c.ReplaceEndpoints(tr.now, nil) }},
		{"300 proxies in one batch", func() {
			for p := range 300 {
				tr.c.ProxyJoined(tr.now, p, p%2, 1)
			}
		}},
		{"no node in zone 1", func() { tr.c.ReplaceEndpoints(tr.now, rows(60)[:1]) }},
		{"the list swings", func() {
			for k := range 20 {
				tr.c.ReplaceEndpoints(tr.now, rows(60)[k%2*30:k%2*30+30])
			}
		}},
		{"all start again cold", func() {
			cold := rows(60)
			for k := range cold {
				cold[k].StartTime = tr.now
			}
			tr.c.ReplaceEndpoints(tr.now, cold)
		}},
		{"sums and marks of what is not known", func() {
			tr.c.AddLoadReport(tr.now, LoadReport{Node: 999, Completed: 5, Failed: 9, MeanLatency: -1})
			tr.c.AddDemandReport(tr.now, DemandReport{Proxy: 999, Route: 9, Requests: 1, Interval: 1})
			tr.c.Acknowledged(tr.now, 999, 59999)
			tr.c.ProxyLeft(tr.now, 999)
		}},
		{"all nodes gone", func() { tr.c.ReplaceEndpoints(tr.now, nil) }},
		{"all proxies gone", func() {
			for p := range 300 {
				tr.c.ProxyLeft(tr.now, p)
			}
		}},
	}
	kept := ""
	for _, step := range steps {
		step.do()
		least := tr.c.flow.available(1)
		for range 30 {
			tr.run(0.1)
			least = min(least, tr.c.flow.available(1))
		}
		lines, bound := 0, 0
		for subset := range tr.c.subsets {
			for _, weight := range tr.c.subsets[subset].table.published {
				if weight > 0 {
					lines++
				}
			}
		}
		for _, subset := range tr.c.subsets {
			bound += len(subset.members)
		}
		kept += fmt.Sprintf("%s: %d lines, %d proxies bound, %.0f lines free at least\n", step.name, lines,
			bound, least)
	}
	tr.Reset()
	tr.WriteString(kept)
	tr.check()
}

// A node at which calls wait turns some away because it is full: it stays in.
func TestFullQueue(t *testing.T) {
	site := testSite()
	site.QueueLengthIndex = 0
	tr := scene(t, site, 6)
	tr.run(2)
	tr.say("-- node 1 is full and answers quickly what it takes, node 2 fails")
	tr.meets[1] = LoadReport{Completed: 20, Failed: 12, MeanLatency: 0.4, Values: []float64{6}}
	tr.meets[2] = LoadReport{Completed: 20, Failed: 12, MeanLatency: 0.4, Values: []float64{0}}
	tr.run(3)
	tr.check()
}

// Tries that other nodes refuse come again at a cold one that takes them: it gets little of the table.
func TestColdAmongRefused(t *testing.T) {
	tr := scene(t, testSite(), 6)
	tr.meet(LoadReport{Completed: 12, Failed: 6, MeanLatency: 0.2})
	tr.run(2)
	tr.say("-- node 1 restarts")
	tr.c.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now}})
	tr.run(1)
	tr.check()
}

// Proxies that are told again, after a gap in the news, were not away: levels stay as they are.
func TestToldAgain(t *testing.T) {
	tr := scene(t, testSite(), 4)
	tr.run(10)
	tr.meet(LoadReport{Completed: 10, Failed: 4, MeanLatency: 0.9})
	tr.calls = [][]int{{40, 10}, {40, 10}}
	tr.run(20)
	tr.say("-- both proxies are told again")
	for p := range tr.calls {
		tr.c.ProxyJoined(tr.now, p, p, 100)
	}
	tr.run(4)
	tr.check()
}

// A proxy without calls says nothing: its usage fades while others of its zone report and stays while none does; what
// was held up meanwhile and comes all at once is no burst.
func TestUsage(t *testing.T) {
	tr := scene(t, testSite(), 4)
	tr.c.ProxyJoined(tr.now, 2, 0, 40)
	show := func(what string) {
		tr.say("%s: %.0f and %.0f calls a second", what, sum(tr.c.proxies.all[0].demand), sum(tr.c.proxies.all[2].demand))
	}
	for _, step := range []struct {
		what  string
		calls [][]int
	}{{"both are asked", [][]int{{10, 10}, {10, 10}, {10, 10}}}, {"one is not", [][]int{{10, 10}}}, {"no reports", nil}} {
		tr.calls = step.calls
		tr.run(6)
		show(step.what)
	}
	for proxy := range 3 {
		for route := range 2 {
			tr.c.AddDemandReport(tr.now, DemandReport{Proxy: proxy, Route: RouteID(route), Requests: 120, Interval: 6})
		}
	}
	show("all that was held up")
	for node := range tr.meets {
		tr.c.AddLoadReport(tr.now, LoadReport{Node: node, Completed: 120, MeanLatency: 0.2, Interval: 6})
	}
	tr.say("answered: %.0f a second", tr.c.endpoints.sum(func(e *endpoint) float64 { return e.load.completed })/loadWindow)
	tr.check()
}

// Of tables that are off, those that leave their proxies without a node go first, whatever the calls of the others.
func TestEmptyFirst(t *testing.T) {
	tr := scene(t, testSite(), 24)
	tr.run(2)
	clear(tr.c.subsets[3].table.published)
	tr.c.subsets[3].members, tr.c.subsets[3].demand = []int{1}, 0
	tr.c.subsets[0].table.published[0] *= 5
	tr.c.planTables()
	tr.say("-- table 0 is far off, table 3 has no line")
	tr.c.publishAll(tr.c.changedByTable([]int{0, 1, 2, 3}), bindShare)
	tr.check()
}

// The proxies of a lost zone count for their usual calls when they are back, also once the first report comes.
func TestZoneBack(t *testing.T) {
	tr := scene(t, testSite(), 4)
	tr.run(3)
	tr.c.ProxyLeft(tr.now, 1)
	calls := tr.calls
	tr.calls = calls[:1]
	tr.run(10)
	tr.say("-- proxy 1 is back after 10 s")
	tr.c.ProxyJoined(tr.now, 1, 1, 40)
	tr.c.AddDemandReport(tr.now, DemandReport{Proxy: 1, Route: 0, Requests: 1, Interval: 0.5})
	tr.c.Step(tr.wake)
	tr.say("calls a second by pool %.0f", []float64{tr.c.subsets[0].demand, tr.c.subsets[1].demand})
	tr.check()
}

// Proxies that another conductor leaves to us bring the nodes' part that was theirs: levels stay as they join and as
// they go back.
func TestTakenOver(t *testing.T) {
	tr := scene(t, testSite(), 4)
	tr.run(2)
	tr.meet(LoadReport{Completed: 10, Failed: 5, MeanLatency: 0.8})
	tr.run(4)
	tr.say("-- two more proxies")
	tr.calls = [][]int{{10, 10}, {10, 10}, {10, 10}, {10, 10}}
	for p := 2; p < 4; p++ {
		tr.c.ProxyJoined(tr.now, p, p%2, 40)
	}
	tr.run(4)
	tr.say("-- they go back")
	for p := 2; p < 4; p++ {
		tr.c.ProxyLeft(tr.now, p)
	}
	tr.calls = tr.calls[:2]
	tr.run(4)
	tr.check()
}

// Proxies that stand are told again after a gap in the news: what waits for them still counts, they keep getting
// their table's lines, and they are bound again only as the channel has room.
func TestToldInFullChannel(t *testing.T) {
	site := testSite()
	site.Proxies, site.MaxInFlightEntries = 40, 600
	tr := &trace{t: t, now: 100, mute: true}
	tr.c = New(tr, site, tr.now)
	tr.c.ReplaceEndpoints(tr.now, rows(6))
	join := func() {
		for p := range site.Proxies {
			tr.c.ProxyJoined(tr.now, p, p%2, 1)
		}
	}
	waits := func(when string) {
		bound := len(tr.c.subsets[0].members) + len(tr.c.subsets[1].members)
		tr.say("%s: %.0f of %.0f lines wait, %d bound", when, tr.c.flow.account.entries, site.MaxInFlightEntries, bound)
	}
	join()
	waits("joined")
	tr.run(2)
	waits("later")
	join()
	waits("told again")
	tr.run(1)
	waits("later")
	tr.c.ProxyLeft(tr.now, 0)
	tr.c.ProxyJoined(tr.now, 0, 0, 1)
	waits("one was renewed")
	tr.c.Acknowledged(tr.now, 1, tr.order)
	waits("the last mark was confirmed")
	tr.check()
}

// A call that may have been carried out and goes out again counts twice, until a later mark shows that both left.
func TestRepeated(t *testing.T) {
	site := testSite()
	tr := scene(t, site, 4)
	waits := func(when string) { tr.say("%s: %.0f lines wait", when, tr.c.flow.account.entries) }
	tr.run(1)
	waits("calm")
	tr.mute = true
	tr.c.UpdateEndpoints(tr.now, []Endpoint{{Node: 2, Zone: 1, State: Draining}})
	waits("node 2 drains")
	first := tr.order
	tr.c.CommandsRetried(tr.now, first, true)
	waits("repeated")
	tr.c.CommandsAccepted(tr.now, first)
	for p := range 2 {
		tr.c.Acknowledged(tr.now, p, first)
	}
	waits("confirmed, for all one knows the first time")
	tr.now += 0.1
	tr.c.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Draining}})
	waits("node 1 drains")
	for p := range 2 {
		tr.c.Acknowledged(tr.now, p, tr.order)
	}
	tr.c.CommandsAccepted(tr.now, tr.order)
	waits("confirmed")
	tr.check()
}

// Where the queue holds far more than the channel sends in a while, a crowd is bound as it drains, a level still goes
// out, and a drain finds little before it.
func TestLongQueue(t *testing.T) {
	site := testSite()
	site.Proxies, site.EntriesPerSecond, site.MaxInFlightEntries = 200, 100, 100000
	tr := &trace{t: t, now: 100, meets: map[uint32]LoadReport{}, mute: true}
	tr.c = New(tr, site, tr.now)
	tr.c.ReplaceEndpoints(tr.now, rows(6))
	tr.c.CommandsAccepted(tr.now, tr.order)
	for p := range site.Proxies {
		tr.c.ProxyJoined(tr.now, p, p%2, 1)
	}
	var kept []string
	say := func(when string) {
		bound := len(tr.c.subsets[0].members) + len(tr.c.subsets[1].members)
		kept = append(kept, fmt.Sprintf("%s: %.1f s of the channel wait, %d bound", when, tr.c.flow.account.entries/site.EntriesPerSecond, bound))
	}
	say("joined")
	for range 4 {
		tr.c.Acknowledged(tr.now, 0, tr.order)
		tr.run(1)
	}
	say("4 s later")
	before := tr.c.flow.account.entries
	tr.c.UpdateEndpoints(tr.now, []Endpoint{{Node: 2, Zone: 1, State: Draining}})
	kept = append(kept, fmt.Sprintf("the drain is behind %.1f s", before/site.EntriesPerSecond))
	tr.Reset()
	for _, line := range kept {
		tr.say("%s", line)
	}
	tr.check()
}
