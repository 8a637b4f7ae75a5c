package controller

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/settings"
)

// recordingSink is a carrier that prints what it gets.
type recordingSink struct {
	strings.Builder
	lastNonce int // the last
}

func (p *recordingSink) Enqueue(batch []Command) {
	for _, o := range batch {
		switch o.Kind {
		case BindProxy:
			fmt.Fprintf(p, "bind %d to %d; ", o.Proxy, o.Table)
		case SetWeight:
			fmt.Fprintf(p, "%s %.2f in %d; ", o.Node, o.Value, o.Table)
		case SetAdmission:
			fmt.Fprintf(p, "level of %s; ", o.Route)
		case RequestAck:
			p.lastNonce = o.Nonce
			fmt.Fprintf(p, "mark %d; ", o.Nonce)
		case CancelBind:
			fmt.Fprintf(p, "forget %d; ", o.Proxy)
		}
	}
	fmt.Fprintln(p)
}

func newController(t *testing.T) (*Controller, *recordingSink) {
	d, err := settings.Decode([]byte(`{"zones":["north","south"],"machine-types":["small"],
"report":{"names":["outstanding","utilization"],"source":"inline"},
"categories":[{"name":"quote","promise-ns":1000000000,"gain":1}],
"extra":{"proxy-count":4,"backlog":2000,"interval-ns":500000000},"rules":{"ramp-time-ns":1000000000}}`))
	if err != nil {
		t.Fatal(err)
	}
	out := &recordingSink{}
	return New(d, []Endpoint{{Node: "s-1", Zone: "north", MachineType: "small", State: planner.Ready},
		{Node: "s-2", Zone: "south", MachineType: "small", State: planner.Ready}}, out, zap.NewNop()), out
}

// newControllerWithProxies starts a core with three proxies joined; nothing of that is printed.
func newControllerWithProxies(t *testing.T) (*Controller, *recordingSink) {
	c, out := newController(t)
	for proxy := range 3 {
		c.ProxyJoined(proxy, "north", 10)
	}
	c.iterate(nil)
	out.Reset()
	return c, out
}

// What comes in between two turns is one batch, in names; what no one knows is refused and counted.
func TestIterationSendsOneBatchAndCountsUnknownNames(t *testing.T) {
	c, out := newController(t)
	c.flush()
	c.ProxyJoined(0, "north", 10)
	c.ProxyJoined(1, "south", 10)
	c.ProxyJoined(2, "nowhere", 10)
	c.ProxyJoined(4, "north", 10)
	c.ProxyLeft(3)
	c.Acknowledged(3, 1)
	c.AddDemandReport(0, "unheard-of", 1, 1)
	c.AddDemandReport(9, "quote", 1, 1)
	c.AddLoadReport(LoadReport{Node: "s-9", Completed: 1})
	c.AddLoadReport(LoadReport{Node: "s-1", Completed: 1, Values: map[string]float64{"utilization": 0.5}})
	c.UpdateEndpoints([]Endpoint{{Node: "s-3", Zone: "nowhere", MachineType: "small"}, {Node: "s-3", Zone: "north", MachineType: "huge"}})
	c.iterate(nil)
	c.UpdateEndpoints([]Endpoint{{Node: "s-1", Zone: "north", MachineType: "small", State: planner.Draining}})
	c.iterate(nil)
	want := "level of quote; level of quote; s-1 0.50 in 0; s-2 0.50 in 1; \n" +
		"forget 0; bind 0 to 0; mark 1; forget 1; bind 1 to 1; \n" +
		"s-1 0.00 in 0; s-2 1.00 in 0; \n"
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("orders (-want +got):\n%s", diff)
	}
	r := &c.Unknown
	if got := fmt.Sprint(r.Proxies.Load(), r.Zones.Load(), r.Routes.Load(), r.Nodes.Load()); got != "3 2 2 1" {
		t.Errorf("refused %s", got)
	}
	if len(c.loadReport.Values) != 0 {
		t.Errorf("a part of a report was handed on: %v", c.loadReport.Values)
	}
}

// After a gap in the news, those told again are bound again and the others have left.
func TestWatchWithGapBindsAgainAndRemovesUnconfirmed(t *testing.T) {
	c, out := newControllerWithProxies(t)
	c.now++
	c.ProxyWatchResumed(false)
	c.ProxyJoined(0, "north", 10)
	c.ProxyLeft(2)
	c.ProxyWatchSynced(1)
	c.iterate(nil)
	if diff := cmp.Diff("forget 0; bind 0 to 0; mark 2; forget 2; forget 1; s-2 0.50 in 0; \n", out.String()); diff != "" {
		t.Errorf("orders (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[int]bool{0: true}, c.joined); diff != "" {
		t.Errorf("joined (-want +got):\n%s", diff)
	}
}

// While the relay moves, the news before goes on beside the next one: a proxy that it told of since that one began is
// told of twice and bound once; one that the next never tells of has left.
func TestGaplessWatchKeepsBindings(t *testing.T) {
	c, out := newControllerWithProxies(t)
	c.ProxyWatchResumed(true)
	c.ProxyJoined(0, "north", 10)
	c.ProxyWatchSynced(1)
	c.ProxyJoined(1, "north", 10)
	c.iterate(nil)
	c.ProxyWatchSynced(2)
	c.iterate(nil)
	if diff := cmp.Diff("forget 2; \n", out.String()); diff != "" {
		t.Errorf("orders (-want +got):\n%s", diff)
	}
}

// Releases for days: numbers and what is kept of nodes stay as many as a few releases have nodes; a node that comes back
// after it was forgotten serves as any other, and what is told of one that is forgotten is refused.
func TestNumbersOfRemovedNodesAreReused(t *testing.T) {
	const nodes, every = 12, 20.0
	for _, whole := range []bool{false, true} {
		c, out := newControllerWithProxies(t)
		entry := func(n int, condition planner.EndpointState) Endpoint {
			return Endpoint{Node: fmt.Sprint("s-", n), Zone: "north", MachineType: "small", State: condition}
		}
		most := 0
		for round := range 400 {
			var list, changes []Endpoint
			for k := range nodes {
				list = append(list, entry(100+round*nodes+k, planner.Ready))
				changes = append(changes, entry(100+(round-1)*nodes+k, planner.Removed))
			}
			if whole {
				c.ReplaceEndpoints(list)
			} else {
				c.UpdateEndpoints(append(changes, list...))
			}
			for until := c.now + every; c.now < until; c.now += 0.5 {
				c.iterate(nil)
				for proxy := range 3 {
					c.CommandsAccepted(out.lastNonce)
					c.Acknowledged(proxy, out.lastNonce)
				}
			}
			most = max(most, len(c.nodeNames))
		}
		if held := (int(releaseDelay/every)+3)*nodes + 2; most > held {
			t.Errorf("whole lists %t: %d numbers after 400 releases of %d nodes, %d are enough", whole, most, nodes, held)
		}
		if _, known := c.numbers["s-100"]; known {
			t.Errorf("whole lists %t: a node that is long gone is still known", whole)
		}
		c.AddLoadReport(LoadReport{Node: "s-100", Completed: 9, Failed: 9, Interval: 1})
		c.UpdateEndpoints([]Endpoint{entry(100, planner.Ready)})
		c.iterate(nil)
		if c.Unknown.Nodes.Load() != 1 || c.nodeNames[c.numbers["s-100"]] != "s-100" {
			t.Errorf("whole lists %t: the node that comes back has no number of its own", whole)
		}
	}
}

// Machines' clocks are set while we run: a node that starts after that is as old as any other would be, and one that was
// known before does not start anew.
func TestStartTimesSurviveClockSteps(t *testing.T) {
	for _, step := range []time.Duration{0, time.Hour, -time.Hour} {
		c, _ := newControllerWithProxies(t)
		at := func(node string, wall time.Time) Endpoint {
			return Endpoint{Node: node, Zone: "north", MachineType: "small", State: planner.Ready, StartTime: unixSeconds(wall)}
		}
		old := time.Now().Add(-time.Minute)
		c.UpdateEndpoints([]Endpoint{at("s-1", old)})
		c.iterate(nil)
		before := c.localStarts[c.numbers["s-1"]]
		c.wall = func() time.Time { return time.Now().Add(step) }
		c.UpdateEndpoints([]Endpoint{at("s-1", old), at("s-3", c.wall().Add(-time.Second))})
		c.iterate(nil)
		if after := c.localStarts[c.numbers["s-1"]]; after != before {
			t.Errorf("clocks set by %v: a known node starts anew, %g s later", step, after-before)
		}
		if age := c.clock() - c.localStarts[c.numbers["s-3"]]; age < 1 || age > 60 {
			t.Errorf("clocks set by %v: a node that is 1 s old counts for %g s", step, age)
		}
	}
}

// A late wake-up comes once; when Run has ended, no one who tells something waits.
func TestLateStepComesOnceAndPostReturnsAfterRun(t *testing.T) {
	c, _ := newController(t)
	c.now = c.stepAt + 10
	c.iterate(nil)
	if late := c.stepAt - c.now; late <= 0 {
		t.Errorf("the next wake-up is %g s ahead", late)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Run(ctx)
	for proxy := range 2 * maxQueuedEvents {
		c.ProxyLeft(proxy)
	}
}
