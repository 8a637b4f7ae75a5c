package loadtest

import (
	"context"
	"sync"
	"time"
)

const (
	reportInterval     = 50 * time.Millisecond // events are reported in batches
	wireReportInterval = time.Second
	maxQueuedEvents    = 8192 // when the queue is full, controllers block until events are reported
)

// controllerHooks holds the faults that a test plants in controllers.
type controllerHooks struct {
	event func(*event) // may modify an event before it is reported
}

// controllersWorker is a worker that simulates controllers without a data plane.
type controllersWorker struct {
	setup     *controllersSetup
	hooks     controllerHooks
	out       *lineWriter
	wire      wireCounter
	messages  *messageMeter
	simulated map[int]*simulatedController // by index in the fleet
	done      <-chan struct{}              // closed when the worker stops
	tasks     sync.WaitGroup               // clients and actions in the background

	reportMutex sync.Mutex // held from dequeuing events until they are written, which keeps their order
	events      chan event
}

func newControllers(setup *controllersSetup, hooks controllerHooks, out *lineWriter) *controllersWorker {
	w := &controllersWorker{
		setup:     setup,
		hooks:     hooks,
		out:       out,
		messages:  newMessageMeter(),
		simulated: map[int]*simulatedController{},
		events:    make(chan event, maxQueuedEvents),
	}
	for _, controller := range setup.Controllers {
		simulated := &simulatedController{worker: w, indexedController: controller}
		simulated.meter = newConnectionMeter(&w.wire, w.messages, simulated.handleJoined)
		w.simulated[controller.Index] = simulated
	}
	return w
}

// run simulates the controllers and performs actions until ctx is canceled.
func (w *controllersWorker) run(ctx context.Context, actions <-chan *action) error {
	ctx, stop := context.WithCancel(ctx)
	defer w.tasks.Wait()
	defer stop()
	w.done = ctx.Done()
	reporting := make(chan error, 1)
	w.tasks.Go(func() { reporting <- w.reportEvents(ctx) })
	if err := w.out.write(workerReport{Ready: true}); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-reporting:
			return err
		case next := <-actions:
			if err := w.perform(ctx, next); err != nil {
				return err
			}
		}
	}
}

// reportEvents reports events and the wire counters, periodically until ctx is canceled.
func (w *controllersWorker) reportEvents(ctx context.Context) error {
	eventTicker := time.NewTicker(reportInterval)
	defer eventTicker.Stop()
	wireTicker := time.NewTicker(wireReportInterval)
	defer wireTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-eventTicker.C:
			if err := w.reportQueued(nil); err != nil {
				return err
			}
		case <-wireTicker.C:
			if err := w.out.write(workerReport{Wire: w.wire.reading()}); err != nil {
				return err
			}
		}
	}
}

// reportQueued reports the queued events, followed by additional ones.
func (w *controllersWorker) reportQueued(additional []event) error {
	w.reportMutex.Lock()
	defer w.reportMutex.Unlock()
	var events []event
	for range len(w.events) {
		events = append(events, <-w.events)
	}
	events = append(events, additional...)
	if len(events) == 0 {
		return nil
	}
	return w.out.write(workerReport{Events: events})
}

// perform executes an action. Actions on controllers run in the background.
func (w *controllersWorker) perform(ctx context.Context, a *action) error {
	switch a.Kind {
	case actionReport:
		return w.reportMessages(false)
	case actionFinish:
		return w.finish()
	default:
		w.tasks.Go(func() { w.performAll(ctx, a) })
		return nil
	}
}

// performAll performs an action on its controllers, one after the other, evenly spread over a.Spread.
func (w *controllersWorker) performAll(ctx context.Context, a *action) {
	for position, index := range a.Controllers {
		if position > 0 && a.Spread > 0 {
			if sleep(ctx, a.Spread/time.Duration(len(a.Controllers))) != nil {
				return
			}
		}
		simulated := w.simulated[index]
		if simulated != nil && ctx.Err() == nil {
			simulated.perform(ctx, a.Kind)
		}
	}
}

// reportMessages reports the measurements so far.
func (w *controllersWorker) reportMessages(finished bool) error {
	messages, err := w.messages.report()
	if err != nil {
		return err
	}
	return w.out.write(workerReport{Messages: messages, Wire: w.wire.reading(), Finished: finished})
}

// finish stops all clients and reports the records of each.
func (w *controllersWorker) finish() error {
	for _, simulated := range w.simulated {
		simulated.stopAndWait()
	}
	var final []event
	for _, simulated := range w.simulated {
		final = append(final, simulated.finalEvent())
	}
	if err := w.reportQueued(final); err != nil {
		return err
	}
	return w.reportMessages(true)
}
