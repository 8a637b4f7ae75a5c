package controller

import (
	"sync/atomic"

	"go.uber.org/zap"

	"harehook.dev/harehook/settings"
)

// CommandSink takes the planner's commands.
type CommandSink interface {
	// Enqueue takes the commands of one iteration of the event loop, which are the sink's from then on. It is called
	// on the event loop's goroutine, must not block, and keeps the order of batches.
	Enqueue(batch []Command)
}

// Controller runs a planner. Any goroutine may report to it what happens, in names; Run handles it.
type Controller struct {
	// Unknown counts what was refused because neither the settings nor the endpoint list know it.
	Unknown UnknownNames

	loop *eventLoop    // belongs to Run's goroutine
	done chan struct{} // closed once Run has ended

	// What other goroutines may use of the loop; none of it is written after New.
	events chan<- event
	ready  <-chan struct{}
	names  settingsNames
}

// UnknownNames counts events that name what neither the settings nor the endpoint list know.
type UnknownNames struct {
	// Proxies counts proxies that join with a number or zone that there cannot be, and acknowledgements of proxies that
	// are not joined, such as those that have left.
	Proxies atomic.Uint64
	// Zones counts listed endpoints of an unknown zone or machine type.
	Zones atomic.Uint64
	// Routes counts demand reports of an unknown route, or of a proxy with a number that there cannot be.
	Routes atomic.Uint64
	// Nodes counts load reports on unknown nodes.
	Nodes atomic.Uint64
}

// New makes a controller whose planner knows the endpoint list as it was last known, which may be empty. Its first
// commands reach the sink once Run starts.
func New(deployment settings.Deployment, known []Endpoint, sink CommandSink, log *zap.Logger) *Controller {
	c := &Controller{done: make(chan struct{})}
	c.loop = newEventLoop(deployment, sink, &c.Unknown, log)
	c.events = c.loop.events
	c.ready = c.loop.ready
	c.names = c.loop.names
	if len(known) > 0 {
		c.loop.applyEndpoints(known, c.loop.planner.ReplaceEndpoints)
	}
	return c
}

// Ready is closed once the controller may be used: it knows a node, or that there are none, or no endpoint list has
// come within the readiness timeout.
func (c *Controller) Ready() <-chan struct{} { return c.ready }

// KnowsZone reports whether the settings name a zone.
func (c *Controller) KnowsZone(name string) bool {
	_, known := c.names.zones[name]
	return known
}

// post queues an event. It waits while the queue is full and gives up when Run has ended.
func (c *Controller) post(e event) {
	select {
	case c.events <- e:
	case <-c.done:
	}
}
