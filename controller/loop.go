package controller

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/internal/invariant"
	"harehook.dev/harehook/internal/logging"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/settings"
)

const (
	maxQueuedEvents       = 1024 // a second of reports while all proxies join; whoever posts more waits
	maxEventsPerIteration = 4096 // so that commands leave under a flood as well
	maxStepDelay          = time.Hour

	// While discovery is away, proxies go on by the tables that they hold, and are bound once an endpoint list has
	// come. A restart may take 10 s in all.
	readinessTimeout = 5 * time.Second
)

// event is something that happened. The event loop calls it on its goroutine.
type event func(*eventLoop)

// eventLoop owns the planner and all that it needs. Its fields and methods belong to one goroutine, that of
// Controller.Run.
type eventLoop struct {
	events  chan event
	sink    CommandSink
	unknown *UnknownNames
	log     *zap.Logger
	// decisions logs what the planner has decided. Its lines are not sampled: equal messages concern different nodes.
	decisions *zap.Logger
	ready     chan struct{} // closed by setReady

	planner     *planner.Planner
	clock       clock
	minInterval time.Duration // between two iterations
	now         float64       // s; Unix time of this iteration, which all its calls of the planner are passed
	stepAt      float64       // s; when the planner's next step is due, +Inf: none is
	batch       []Command     // of this iteration, or of what came before the first one
	readyClosed bool
	iterating   atomic.Bool // whether iterate is under way

	names        settingsNames
	nodes        nodeRegistry
	proxies      proxyTracker
	reportValues []float64 // of the load report at hand, used again
}

func newEventLoop(deployment settings.Deployment, sink CommandSink, unknown *UnknownNames, log *zap.Logger) *eventLoop {
	l := &eventLoop{
		events:      make(chan event, maxQueuedEvents),
		sink:        sink,
		unknown:     unknown,
		log:         log,
		decisions:   log.Named(logging.Unsampled),
		ready:       make(chan struct{}),
		clock:       newClock(),
		minInterval: time.Duration(deployment.EventInterval * float64(time.Second)),
		stepAt:      math.Inf(1),
		names:       newSettingsNames(deployment),
		nodes:       newNodeRegistry(),
		proxies:     newProxyTracker(deployment.Planner.Proxies),
	}
	l.now = l.clock.now()
	l.planner = planner.New(plannerHost{l}, deployment.Planner, l.now)
	return l
}

// Run is the event loop; it returns when ctx ends. Iterations are at least the settings' event interval apart: what
// comes in meanwhile is handled together, and its commands are one message for each proxy.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.done)
	l := c.loop
	stepTimer := time.NewTimer(0)
	defer stepTimer.Stop()
	readinessTimer := time.NewTimer(readinessTimeout)
	defer readinessTimer.Stop()
	l.flush()
	for {
		// After the process was suspended the step is late, but there is only one.
		stepTimer.Reset(l.untilStep())
		var first event
		select {
		case <-ctx.Done():
			return
		case first = <-l.events:
		case <-stepTimer.C:
		case <-readinessTimer.C:
			l.readinessTimedOut()
		}
		if !l.waitForInterval(ctx) {
			return
		}
		now := l.clock.now()
		invariant.Holds(now >= l.now, "the clock moves forward")
		l.now = now
		l.iterate(first)
	}
}

// iterate handles the first event, if there is one, and those that wait behind it, lets the planner take its step if it
// is due, and hands on the commands.
func (l *eventLoop) iterate(first event) {
	// This finds a second goroutine only while its iteration overlaps with one of ours. The race detector finds others.
	invariant.Holds(l.iterating.CompareAndSwap(false, true), "iterations of the event loop do not overlap")
	defer l.iterating.Store(false)
	if first != nil {
		first(l)
	}
	l.handleQueued()
	if l.now >= l.stepAt {
		l.stepAt = math.Inf(1)
		l.planner.Step(l.now)
	}
	l.flush()
}

func (l *eventLoop) handleQueued() {
	for range maxEventsPerIteration {
		select {
		case e := <-l.events:
			e(l)
		default:
			return
		}
	}
}

// flush hands the commands that have gathered to the sink.
func (l *eventLoop) flush() {
	if len(l.batch) == 0 {
		return
	}
	l.sink.Enqueue(l.batch)
	l.batch = nil // the sink's now
}

// waitForInterval waits until the next iteration may begin. It reports whether it may: not when ctx has ended first.
func (l *eventLoop) waitForInterval(ctx context.Context) bool {
	sinceLast := time.Duration((l.clock.now() - l.now) * float64(time.Second))
	wait := l.minInterval - sinceLast
	if wait <= 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

func (l *eventLoop) untilStep() time.Duration {
	if math.IsInf(l.stepAt, 1) {
		return maxStepDelay
	}
	return time.Duration(max(0, l.stepAt-l.clock.now()) * float64(time.Second))
}

// readinessTimedOut guards against a controller that is never used because discovery is away.
func (l *eventLoop) readinessTimedOut() {
	if l.readyClosed {
		return
	}
	l.log.Warn("ready without an endpoint list")
	l.setReady()
}

func (l *eventLoop) setReady() {
	if l.readyClosed {
		return
	}
	l.readyClosed = true
	close(l.ready)
}
