// Package conductor runs the module in real time. One goroutine owns the brain.Conductor, the clock, its
// timer, the set of joined proxies and the maps between names and the module's small numbers. A front tells a
// Core what happens, by one method for each thing that can happen and from any goroutine; what the module
// orders meanwhile leaves as one ordered batch a turn. The package knows no socket and no protocol.
package controller

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/internal/invariant"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/settings"
)

const (
	maxQueuedEvents       = 1024 // happenings that may wait: a second of reports and all proxies joining; then fronts wait
	maxEventsPerIteration = 4096 // happenings handled in one turn, so that orders leave under a flood as well

	// s that a node is gone until it is forgotten: sums and a list that swings still name it for a while.
	releaseDelay = 60

	// A conductor without a list is in use all the same after a while, well within the 10 s that a restart may take:
	// while the list's service is away, proxies go on by what they hold, and are bound once a list has come.
	readinessTimeout = 5 * time.Second
)

// CommandSink takes the orders of a turn. It must not block and keeps the order of batches.
type CommandSink interface {
	Enqueue(batch []Command)
}

// Controller is a conductor that is told names and real times.
type Controller struct {
	Unknown UnknownNames

	events      chan func()
	done        chan struct{}
	ready       chan struct{} // closed once the module knows the list, or has waited for it for long enough
	sink        CommandSink
	log         *zap.Logger
	minInterval time.Duration

	// All below belongs to Run's goroutine.
	planner        *planner.Planner
	loadReport     planner.LoadReport // handed to the module, used again
	began          time.Time
	unix           float64 // s; the Unix time of began, taken once
	wall           func() time.Time
	now            float64 // of the turn under way
	stepAt         float64
	batch          []Command
	zones          map[string]int
	machineTypes   map[string]int
	routes         map[string]int
	reportValues   []string
	routeNames     []string // names of all routes, by index
	numbers        map[string]uint32
	nodeNames      []string
	freeNumbers    []uint32           // numbers that were given back
	removedAt      map[uint32]float64 // nodes that are, since when
	reportedStarts []float64          // by number, the node's start as the list has it, by all machines' clock
	localStarts    []float64          // by number, the same by our clock, which never steps
	maxProxies     int
	joined         map[int]bool
	unconfirmed    map[int]bool // joined before the news came anew and not named since
	gapless        bool         // nothing was missed before that
	notYetSynced   bool         // nor has all come again that the news before told of last
	readyClosed    bool         // ready is closed
	iterating      atomic.Bool  // the module is being told something
}

// UnknownNames counts what was told that neither the settings nor the list know.
type UnknownNames struct {
	Proxies, Zones, Routes, Nodes atomic.Uint64
}

// New makes a core whose module knows the list as it was last known. Its first orders leave with Run.
func New(d settings.Deployment, known []Endpoint, carrier CommandSink, log *zap.Logger) *Controller {
	began := time.Now()
	c := &Controller{
		events:       make(chan func(), maxQueuedEvents),
		done:         make(chan struct{}),
		ready:        make(chan struct{}),
		sink:         carrier,
		log:          log,
		minInterval:  time.Duration(d.EventInterval * float64(time.Second)),
		began:        began,
		unix:         unixSeconds(began),
		wall:         time.Now,
		stepAt:       math.Inf(1),
		zones:        indexByName(d.Zones),
		machineTypes: indexByName(d.MachineTypes),
		routes:       indexByName(d.Routes),
		reportValues: d.ReportValues,
		routeNames:   d.Routes,
		numbers:      map[string]uint32{},
		removedAt:    map[uint32]float64{},
		maxProxies:   cmp.Or(d.Planner.Proxies, settings.MaxProxies),
		joined:       map[int]bool{},
		unconfirmed:  map[int]bool{},
	}
	c.now = c.clock()
	c.planner = planner.New(plannerHost{c}, d.Planner, c.now)
	if len(known) > 0 {
		c.applyEndpoints(known, c.planner.ReplaceEndpoints)
	}
	return c
}

func indexByName(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for k, name := range names {
		m[name] = k
	}
	return m
}

func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / float64(time.Second) }

// clock is Unix time that only moves forward: taken once, then by the monotonic clock.
func (c *Controller) clock() float64 { return c.unix + time.Since(c.began).Seconds() }

// Run owns the module until ctx ends. Turns are at least a tick apart: what comes in meanwhile is one turn,
// and its orders one message for each proxy.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	patience := time.NewTimer(readinessTimeout)
	defer patience.Stop()
	last := c.now
	c.flush()
	for {
		// After a pause of the process the wake-up is late, but there is only one.
		timer.Reset(c.untilTime(c.stepAt))
		var first func()
		select {
		case <-ctx.Done():
			return
		case first = <-c.events:
		case <-timer.C:
		case <-patience.C:
			if !c.readyClosed {
				c.log.Warn("no list has come: in use without one")
				c.markReady()
			}
		}
		if wait := c.minInterval - time.Duration((c.clock()-last)*float64(time.Second)); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
		}
		c.now = c.clock()
		invariant.Holds(c.now >= last, "the clock moves forward")
		last = c.now
		c.iterate(first)
	}
}

// iterate tells the module all that has come in and hands its orders on.
func (c *Controller) iterate(first func()) {
	invariant.Holds(c.iterating.CompareAndSwap(false, true), "one goroutine owns the module")
	defer c.iterating.Store(false)
	if first != nil {
		first()
	}
drain:
	for range maxEventsPerIteration {
		select {
		case f := <-c.events:
			f()
		default:
			break drain
		}
	}
	if c.now >= c.stepAt {
		c.stepAt = math.Inf(1)
		c.planner.Step(c.now)
	}
	c.flush()
}

func (c *Controller) untilTime(at float64) time.Duration {
	if math.IsInf(at, 1) {
		return time.Hour
	}
	return time.Duration(max(0, at-c.clock()) * float64(time.Second))
}

func (c *Controller) flush() {
	if len(c.batch) > 0 {
		c.sink.Enqueue(c.batch)
		c.batch = nil // the carrier's now
	}
}

// post puts a happening into the inbox. It waits while that is full and gives up when Run has ended.
func (c *Controller) post(f func()) {
	select {
	case c.events <- f:
	case <-c.done:
	}
}

// KnowsZone tells whether the settings know a zone, from any goroutine.
func (c *Controller) KnowsZone(name string) bool {
	_, known := c.zones[name] // never written after New
	return known
}

// Ready is closed once the conductor may be used: it knows a node, or that there are none, or no list has come in a
// while.
func (c *Controller) Ready() <-chan struct{} { return c.ready }

func (c *Controller) markReady() {
	if !c.readyClosed {
		c.readyClosed = true
		close(c.ready)
	}
}

// Endpoint is a node as the list has it.
type Endpoint struct {
	Node, Zone, MachineType string
	State                   planner.EndpointState
	Weight                  float64
	StartTime               float64 // Unix time in s, 0: long past
}

// ReplaceEndpoints brings the complete list.
func (c *Controller) ReplaceEndpoints(entries []Endpoint) {
	c.post(func() {
		listed := make(map[string]bool, len(entries))
		for _, e := range entries {
			listed[e.Node] = true
		}
		for node, id := range c.numbers {
			if _, already := c.removedAt[id]; !listed[node] && !already {
				c.removedAt[id] = c.now
			}
		}
		c.applyEndpoints(entries, c.planner.ReplaceEndpoints)
		c.markReady()
	})
}

// UpdateEndpoints brings the entries that are new or other than before.
func (c *Controller) UpdateEndpoints(entries []Endpoint) {
	c.post(func() { c.applyEndpoints(entries, c.planner.UpdateEndpoints) })
}

// EndpointWatchFailed says that the list's service could not be asked.
func (c *Controller) EndpointWatchFailed() { c.post(func() { c.planner.EndpointWatchFailed(c.now) }) }

func (c *Controller) applyEndpoints(entries []Endpoint, apply func(float64, []planner.Endpoint)) {
	// Machines' clocks may have been set since our start: a node's age counts from what they show when its start is
	// first told. Its start must not move with them later, or it would pass for another one.
	step := unixSeconds(c.wall()) - c.clock()
	rows := make([]planner.Endpoint, 0, len(entries))
	var fresh []string // the module's log lines name nodes by number
	for _, e := range entries {
		zone, known := c.zones[e.Zone]
		kind, listed := c.machineTypes[e.MachineType]
		if !known || !listed {
			c.Unknown.Zones.Add(1)
			c.log.Warn("node of an unknown zone or type", zap.String("node", e.Node),
				zap.String("zone", e.Zone), zap.String("type", e.MachineType))
			continue
		}
		id, known := c.numbers[e.Node]
		if !known {
			id = c.assignNumber(e.Node)
			fresh = append(fresh, fmt.Sprintf("%d=%s", id, e.Node))
		}
		if e.State != planner.Removed {
			delete(c.removedAt, id)
		} else if _, already := c.removedAt[id]; !already {
			c.removedAt[id] = c.now
		}
		if e.StartTime != c.reportedStarts[id] {
			c.reportedStarts[id], c.localStarts[id] = e.StartTime, max(0, e.StartTime-step)
		}
		rows = append(rows, planner.Endpoint{Node: id, MachineType: kind, Zone: zone, Weight: e.Weight,
			State: e.State, StartTime: c.localStarts[id]})
	}
	if len(fresh) > 0 {
		c.log.Info("nodes listed", zap.Strings("numbers", fresh))
	}
	apply(c.now, rows)
	c.releaseRemoved()
	if len(c.nodeNames) > 0 {
		c.markReady()
	}
}

// assignNumber gives a node a number.
func (c *Controller) assignNumber(node string) (id uint32) {
	if n := len(c.freeNumbers); n > 0 {
		id, c.freeNumbers = c.freeNumbers[n-1], c.freeNumbers[:n-1]
	} else {
		id = uint32(len(c.nodeNames))
		c.nodeNames, c.reportedStarts, c.localStarts = append(c.nodeNames, ""), append(c.reportedStarts, 0), append(c.localStarts, 0)
	}
	c.numbers[node], c.nodeNames[id], c.reportedStarts[id], c.localStarts[id] = id, node, 0, 0
	return id
}

// releaseRemoved gives back the numbers of nodes that have been gone for long and that the module has no lines for.
func (c *Controller) releaseRemoved() {
	for _, id := range slices.Sorted(maps.Keys(c.removedAt)) {
		if c.now > c.removedAt[id]+releaseDelay && c.planner.ReleaseEndpoint(id) {
			delete(c.numbers, c.nodeNames[id])
			delete(c.removedAt, id)
			c.freeNumbers = append(c.freeNumbers, id)
		}
	}
}

// ProxyJoined says that a proxy's stream stands.
func (c *Controller) ProxyJoined(proxy int, zone string, rate float64) {
	c.post(func() {
		z, known := c.zones[zone]
		if !known || proxy < 0 || proxy >= c.maxProxies {
			c.Unknown.Proxies.Add(1)
			c.log.Warn("unknown proxy or zone", zap.Int("proxy", proxy), zap.String("zone", zone))
			return
		}
		if c.unconfirmed[proxy] && c.gapless {
			delete(c.unconfirmed, proxy) // the stream that we know
			return
		}
		// What was ordered for an earlier stream of it must not reach this one as though it were new.
		c.batch = append(c.batch, Command{Kind: CancelBind, Proxy: proxy})
		delete(c.unconfirmed, proxy)
		c.joined[proxy] = true
		c.planner.ProxyJoined(c.now, proxy, z, rate)
	})
}

// ProxyLeft says that a proxy's stream broke.
func (c *Controller) ProxyLeft(proxy int) { c.post(func() { c.removeProxy(proxy) }) }

func (c *Controller) removeProxy(proxy int) {
	if !c.joined[proxy] {
		return
	}
	c.batch = append(c.batch, Command{Kind: CancelBind, Proxy: proxy})
	delete(c.joined, proxy)
	delete(c.unconfirmed, proxy)
	c.planner.ProxyLeft(c.now, proxy)
}

// ProxyWatchResumed says that news comes anew. Those that stand are told next, by ProxyJoined. After a gap proxies may
// have left, or left and come back without the table that they were bound to; seamless says that there was none:
// binding all of them again would fill the channel for seconds.
func (c *Controller) ProxyWatchResumed(seamless bool) {
	c.post(func() {
		c.gapless, c.notYetSynced = seamless, seamless
		for proxy := range c.joined {
			c.unconfirmed[proxy] = true
		}
	})
}

// ProxyWatchSynced says that all proxies that stood when the news began have been told, and how many stand; it is said
// again at each sign of life. After a gap the others left in it. Where there was none, the news before may have told
// of proxies that joined since this one began: it tells of them as well, before its next sign of life.
func (c *Controller) ProxyWatchSynced(standing int) {
	c.post(func() {
		if c.notYetSynced {
			c.notYetSynced = false
			return
		}
		for proxy := range c.maxProxies {
			if c.unconfirmed[proxy] {
				c.removeProxy(proxy)
			}
		}
		invariant.Holds(len(c.unconfirmed) == 0, "no proxy stays in doubt once all that stand were told")
		invariant.Holds(len(c.joined) <= standing, "only proxies that the news names are joined")
	})
}

// Acknowledged says that a proxy applied all up to a nonce.
func (c *Controller) Acknowledged(proxy, nonce int) {
	c.post(func() {
		if !c.joined[proxy] {
			c.Unknown.Proxies.Add(1)
			return
		}
		c.planner.Acknowledged(c.now, proxy, nonce)
	})
}

// CommandsAccepted says that a call with a nonce was answered.
func (c *Controller) CommandsAccepted(nonce int) {
	c.post(func() { c.planner.CommandsAccepted(c.now, nonce) })
}

// CommandsRetried says that a call with a nonce goes out again though it, or its first part, may have been carried
// out.
func (c *Controller) CommandsRetried(nonce int, whole bool) {
	c.post(func() { c.planner.CommandsRetried(c.now, nonce, whole) })
}

// LoadReport is what the proxies of a zone met at a node.
type LoadReport struct {
	Node                  string
	Completed, Failed     int
	MeanLatency, Interval float64            // s
	Values                map[string]float64 // by the settings' names
}

// AddLoadReport brings such sums.
func (c *Controller) AddLoadReport(s LoadReport) {
	c.post(func() {
		id, known := c.numbers[s.Node]
		if !known {
			c.Unknown.Nodes.Add(1)
			return
		}
		c.loadReport = planner.LoadReport{Node: id, Completed: s.Completed, Failed: s.Failed, MeanLatency: s.MeanLatency, Interval: s.Interval,
			Values: c.loadReport.Values[:0]}
		for _, name := range c.reportValues {
			if figure, told := s.Values[name]; told {
				c.loadReport.Values = append(c.loadReport.Values, figure)
			}
		}
		if len(c.loadReport.Values) < len(c.reportValues) {
			c.loadReport.Values = c.loadReport.Values[:0] // a part of a report has no places
		}
		c.planner.AddLoadReport(c.now, c.loadReport)
	})
}

// AddDemandReport brings how many calls of a route came to a proxy over a span.
func (c *Controller) AddDemandReport(proxy int, route string, calls int, span float64) {
	c.post(func() {
		r, known := c.routes[route]
		if !known || proxy < 0 || proxy >= c.maxProxies {
			c.Unknown.Routes.Add(1)
			return
		}
		c.planner.AddDemandReport(c.now, planner.DemandReport{Proxy: proxy, Route: planner.RouteID(r), Requests: calls, Interval: span})
	})
}
