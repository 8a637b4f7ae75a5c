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
	maxQueuedEvents       = 1024      // the reports of one second while all proxies join; post blocks while it is full
	maxEventsPerIteration = 4096      // bounds an iteration, so that commands are also sent under a flood of events
	maxStepDelay          = time.Hour // timer delay while no step is due

	// readinessTimeout is the time after which the controller is ready even without an endpoint list, because discovery
	// may be unavailable. Proxies that join then keep their current tables and are bound when a list arrives. The timeout
	// is part of the 10 s that a restart may take in total.
	readinessTimeout = 5 * time.Second
)

// event is a reported event. The event loop calls it on its own goroutine.
type event func(*eventLoop)

// eventLoop owns the planner and its inputs. Its fields and methods may be used only on the goroutine of
// Controller.Run.
type eventLoop struct {
	events  chan event
	sink    CommandSink
	unknown *UnknownNames
	log     *zap.Logger
	// decisions logs the planner's decisions. It is not sampled because equal messages refer to different nodes.
	decisions *zap.Logger
	ready     chan struct{} // closed by setReady

	planner     *planner.Planner
	clock       clock
	minInterval time.Duration // minimum time between two iterations
	now         float64       // s; Unix time of this iteration, passed to all of its planner calls
	stepAt      float64       // s; Unix time when the planner's next step is due; +Inf if none is
	batch       []Command     // commands of this iteration, or those issued before the first one
	readyClosed bool
	iterating   atomic.Bool // whether iterate is running

	names        settingsNames
	nodes        nodeRegistry
	proxies      proxyTracker
	reportValues []float64 // buffer for the values of the current load report, reused
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

// Run runs the event loop until ctx is done. Iterations are at least the settings' event interval apart: events that
// arrive in between are handled together, so that their commands form one message for each proxy.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.done)
	l := c.loop
	stepTimer := time.NewTimer(0)
	defer stepTimer.Stop()
	readinessTimer := time.NewTimer(readinessTimeout)
	defer readinessTimer.Stop()
	l.flush()
	for {
		// If the process was suspended, one late step runs in place of the missed ones.
		stepTimer.Reset(l.timeUntilStep())
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

// iterate handles the first event, if it is not nil, and the queued events, runs the planner's step if it is due, and
// passes the commands to the sink.
func (l *eventLoop) iterate(first event) {
	// This detects a second goroutine only if its iteration overlaps with this one. The race detector finds other cases.
	invariant.Holds(l.iterating.CompareAndSwap(false, true), "iterations of the event loop do not overlap")
	defer l.iterating.Store(false)
	if first != nil {
		first(l)
	}
	l.handleQueuedEvents()
	if l.now >= l.stepAt {
		l.stepAt = math.Inf(1)
		l.planner.Step(l.now)
	}
	l.flush()
}

func (l *eventLoop) handleQueuedEvents() {
	for range maxEventsPerIteration {
		select {
		case e := <-l.events:
			e(l)
		default:
			return
		}
	}
}

// flush passes the collected commands to the sink.
func (l *eventLoop) flush() {
	if len(l.batch) == 0 {
		return
	}
	l.sink.Enqueue(l.batch)
	l.batch = nil // the sink owns it now
}

// waitForInterval waits until the next iteration may begin. It reports whether the wait completed before ctx was done.
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

func (l *eventLoop) timeUntilStep() time.Duration {
	if math.IsInf(l.stepAt, 1) {
		return maxStepDelay
	}
	return time.Duration(max(0, l.stepAt-l.clock.now()) * float64(time.Second))
}

// readinessTimedOut marks the controller as ready, so that it is also used when discovery is unavailable.
func (l *eventLoop) readinessTimedOut() {
	if l.readyClosed {
		return
	}
	l.log.Warn("readiness timeout expired without an endpoint list; controller marked as ready")
	l.setReady()
}

func (l *eventLoop) setReady() {
	if l.readyClosed {
		return
	}
	l.readyClosed = true
	close(l.ready)
}
