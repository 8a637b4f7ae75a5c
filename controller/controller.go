package controller

import (
	"sync/atomic"

	"go.uber.org/zap"

	"harehook.dev/harehook/settings"
)

// CommandSink receives the planner's commands.
type CommandSink interface {
	// Enqueue receives the commands of one iteration of the event loop and takes ownership of the slice. It is called
	// on the event loop's goroutine, must not block, and must preserve the order of batches.
	Enqueue(batch []Command)
}

// Controller runs a planner. Any goroutine may report events to it, which refer to objects by name; Run handles them.
type Controller struct {
	// Unknown counts events that were rejected because they refer to unknown names or numbers.
	Unknown UnknownNames

	loop *eventLoop    // used only on Run's goroutine
	done chan struct{} // closed when Run returns

	// Fields of loop that other goroutines may use. They are not written after New.
	events chan<- event
	ready  <-chan struct{}
	names  settingsNames
}

// UnknownNames counts events that refer to names or numbers that are in neither the settings nor the endpoint list.
type UnknownNames struct {
	// Proxies counts proxies that join with an out-of-range number or an unknown zone, and acknowledgements of proxies
	// that are not joined, for example because they have left.
	Proxies atomic.Uint64
	// Zones counts listed endpoints with an unknown zone or machine type.
	Zones atomic.Uint64
	// Routes counts demand reports for an unknown route, or from a proxy with an out-of-range number.
	Routes atomic.Uint64
	// Nodes counts load reports for unknown nodes.
	Nodes atomic.Uint64
}

// New returns a controller whose planner starts with the last known endpoint list, which may be empty. The first
// commands are passed to the sink when Run starts.
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

// Ready returns a channel that is closed when the controller may be used: it knows at least one node, it has received a
// full endpoint list (which may be empty), or the readiness timeout has expired.
func (c *Controller) Ready() <-chan struct{} { return c.ready }

// KnowsZone reports whether the settings contain the zone.
func (c *Controller) KnowsZone(name string) bool {
	_, known := c.names.zones[name]
	return known
}

// post queues an event. It blocks while the queue is full and drops the event if Run has returned.
func (c *Controller) post(e event) {
	select {
	case c.events <- e:
	case <-c.done:
	}
}
