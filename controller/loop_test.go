package controller

import (
	"context"
	"fmt"
	"testing"

	"go.uber.org/zap"

	"harehook.dev/harehook/planner"
)

// The events between two iterations must result in one batch, and the batch must contain names. Events that refer to
// unknown names must be rejected and counted.
func TestIterationSendsOneBatchAndCountsUnknownNames(t *testing.T) {
	c, sink := newController(t)
	c.loop.flush()
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
	c.UpdateEndpoints([]Endpoint{
		{Node: "s-3", Zone: "nowhere", MachineType: "small"},
		{Node: "s-3", Zone: "north", MachineType: "huge"},
	})
	c.loop.iterate(nil)
	c.UpdateEndpoints([]Endpoint{{Node: "s-1", Zone: "north", MachineType: "small", State: planner.Draining}})
	c.loop.iterate(nil)
	checkCommands(t, sink, "admission of quote; admission of quote; s-1 0.50 in 0; s-2 0.50 in 1; \n"+
		"cancel 0; bind 0 to 0; ack 1; cancel 1; bind 1 to 1; \n"+
		"s-1 0.00 in 0; s-2 1.00 in 0; \n")
	unknown := &c.Unknown
	got := fmt.Sprint(unknown.Proxies.Load(), unknown.Zones.Load(), unknown.Routes.Load(), unknown.Nodes.Load())
	if got != "3 2 2 1" {
		t.Errorf("counts of unknown proxies, zones, routes, nodes: got %s, want 3 2 2 1", got)
	}
	if len(c.loop.reportValues) != 0 {
		t.Errorf("values of an incomplete load report passed to the planner: got %v, want none", c.loop.reportValues)
	}
}

// After the process was suspended for several steps, only one late step must run. After Run has returned, reporting an
// event must not block, even if the event queue is full.
func TestLateStepRunsOnceAndPostReturnsAfterRun(t *testing.T) {
	c, _ := newController(t)
	c.loop.now = c.loop.stepAt + 10
	c.loop.iterate(nil)
	if ahead := c.loop.stepAt - c.loop.now; ahead <= 0 {
		t.Errorf("time until the next step: got %g s, want greater than 0", ahead)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Run(ctx)
	for proxy := range 2 * maxQueuedEvents {
		c.ProxyLeft(proxy)
	}
}

func TestReady(t *testing.T) {
	oneNode := []Endpoint{{Node: "s-1", Zone: "north", MachineType: "small", State: planner.Ready}}
	cases := []struct {
		name  string
		known []Endpoint
		event func(*Controller)
		want  bool
	}{
		{"nothing known", nil, func(*Controller) {}, false},
		{"nodes known at the start", oneNode, func(*Controller) {}, true},
		{"full list without nodes", nil, func(c *Controller) { c.ReplaceEndpoints(nil) }, true},
		{"update with a node", nil, func(c *Controller) { c.UpdateEndpoints(oneNode) }, true},
		{"update without nodes", nil, func(c *Controller) { c.UpdateEndpoints(nil) }, false},
		{"discovery fails", nil, func(c *Controller) { c.EndpointWatchFailed() }, false},
		{"timeout", nil, func(c *Controller) { c.post((*eventLoop).readinessTimedOut) }, true},
		{"list, then timeout", oneNode, func(c *Controller) { c.post((*eventLoop).readinessTimedOut) }, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := New(testDeployment(t), test.known, &recordingSink{}, zap.NewNop())
			test.event(c)
			c.loop.iterate(nil)
			ready := false
			select {
			case <-c.Ready():
				ready = true
			default:
			}
			if ready != test.want {
				t.Errorf("ready: got %t, want %t", ready, test.want)
			}
		})
	}
}
