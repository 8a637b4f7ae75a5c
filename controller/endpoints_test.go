package controller

import (
	"fmt"
	"testing"
	"time"

	"harehook.dev/harehook/planner"
)

// A site makes releases for days, and each release replaces all nodes. If the numbers of removed nodes were never
// reused, the node registry would grow with each release; it must not exceed the nodes of a few releases. A node that
// returns after its number was released must get a number like any other node, and a load report that names it before
// that must be rejected.
func TestNumbersOfRemovedNodesAreReused(t *testing.T) {
	for _, fullLists := range []bool{false, true} {
		t.Run(fmt.Sprintf("full lists %t", fullLists), func(t *testing.T) { testReleases(t, fullLists) })
	}
}

func testReleases(t *testing.T, fullLists bool) {
	t.Helper()
	const (
		nodes           = 12
		releaseInterval = 20.0 // s
		releases        = 400
	)
	c, sink := newControllerWithProxies(t)
	loop := c.loop
	endpoint := func(n int, state planner.EndpointState) Endpoint {
		return Endpoint{Node: fmt.Sprint("s-", n), Zone: "north", MachineType: "small", State: state}
	}
	maxNumbers := 0
	for release := range releases {
		var list, changes []Endpoint
		for k := range nodes {
			list = append(list, endpoint(100+release*nodes+k, planner.Ready))
			changes = append(changes, endpoint(100+(release-1)*nodes+k, planner.Removed))
		}
		if fullLists {
			c.ReplaceEndpoints(list)
		} else {
			c.UpdateEndpoints(append(changes, list...))
		}
		for until := loop.now + releaseInterval; loop.now < until; loop.now += 0.5 {
			loop.iterate(nil)
			for proxy := range 3 {
				c.CommandsAccepted(sink.lastNonce)
				c.Acknowledged(proxy, sink.lastNonce)
			}
		}
		maxNumbers = max(maxNumbers, len(loop.nodes.nodes))
	}
	if maxExpected := (int(releaseDelay/releaseInterval)+3)*nodes + 2; maxNumbers > maxExpected {
		t.Errorf("after %d releases of %d nodes: got %d numbers, want at most %d", releases, nodes, maxNumbers, maxExpected)
	}
	if _, known := loop.nodes.number("s-100"); known {
		t.Error("node s-100 still has a number long after its removal")
	}
	c.AddLoadReport(LoadReport{Node: "s-100", Completed: 9, Failed: 9, Interval: 1})
	c.UpdateEndpoints([]Endpoint{endpoint(100, planner.Ready)})
	loop.iterate(nil)
	if c.Unknown.Nodes.Load() != 1 || lookupNode(t, c, "s-100").name != "s-100" {
		t.Error("returned node s-100 has no number of its own, or its early load report was not counted as unknown")
	}
}

// lookupNode returns the controller's data about a node.
func lookupNode(t *testing.T, c *Controller, name string) node {
	t.Helper()
	number, known := c.loop.nodes.number(name)
	if !known {
		t.Fatalf("node %s has no number", name)
	}
	return c.loop.nodes.nodes[number]
}

// The machines' clocks are set while the controller runs. A node that starts after the step must have its true age, and
// a node that was known before must not be mistaken for a restarted one.
func TestStartTimesSurviveClockSteps(t *testing.T) {
	for _, step := range []time.Duration{0, time.Hour, -time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			c, _ := newControllerWithProxies(t)
			startedAt := func(node string, wall time.Time) Endpoint {
				return Endpoint{Node: node, Zone: "north", MachineType: "small", State: planner.Ready, StartTime: unixSeconds(wall)}
			}
			originalStart := time.Now().Add(-time.Minute)
			c.UpdateEndpoints([]Endpoint{startedAt("s-1", originalStart)})
			c.loop.iterate(nil)
			before := lookupNode(t, c, "s-1").localStart
			steppedClock := func() time.Time { return time.Now().Add(step) }
			c.loop.clock.wall = steppedClock
			c.UpdateEndpoints([]Endpoint{startedAt("s-1", originalStart), startedAt("s-3", steppedClock().Add(-time.Second))})
			c.loop.iterate(nil)
			if after := lookupNode(t, c, "s-1").localStart; after != before {
				t.Errorf("start of known node s-1 moved by %g s, want 0", after-before)
			}
			if age := c.loop.clock.now() - lookupNode(t, c, "s-3").localStart; age < 1 || age > 60 {
				t.Errorf("age of node s-3, started 1 s ago: got %g s, want between 1 and 60", age)
			}
		})
	}
}
