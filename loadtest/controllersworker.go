package loadtest

import (
	"context"
	"sync"
	"time"
)

const (
	reportInterval     = 50 * time.Millisecond // events are reported together
	wireReportInterval = time.Second
	maxQueuedEvents    = 8192 // that wait to be reported; a controller that has another one waits
)

// controllerHooks are where tests plant faults.
type controllerHooks struct {
	event func(*event) // may change what a controller reports
}

// controllersWorker is the worker that plays controllers without a data plane.
type controllersWorker struct {
	setup     *controllersSetup
	hooks     controllerHooks
	out       *lineWriter
	wire      wireCounter
	messages  *messageMeter
	simulated map[int]*simulatedController // by index in the fleet
	done      <-chan struct{}              // closed as the worker ends
	tasks     sync.WaitGroup               // clients, and actions that take their time

	reportMutex sync.Mutex // held while events are taken from the queue and written, so that they stay in order
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

// run plays the controllers until ctx ends; actions come meanwhile.
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

// reportEvents writes events and the wire's counters until ctx ends.
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

// reportQueued writes the events that wait, and further ones after them.
func (w *controllersWorker) reportQueued(further []event) error {
	w.reportMutex.Lock()
	defer w.reportMutex.Unlock()
	var events []event
	for range len(w.events) {
		events = append(events, <-w.events)
	}
	events = append(events, further...)
	if len(events) == 0 {
		return nil
	}
	return w.out.write(workerReport{Events: events})
}

// perform carries out an action. What is done to controllers goes on in the background.
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

// performAll does something to one controller after the other, evenly over the action's time.
func (w *controllersWorker) performAll(ctx context.Context, a *action) {
	for position, index := range a.Controllers {
		if position > 0 && a.Over > 0 {
			if sleep(ctx, a.Over/time.Duration(len(a.Controllers))) != nil {
				return
			}
		}
		simulated := w.simulated[index]
		if simulated != nil && ctx.Err() == nil {
			simulated.perform(ctx, a.Kind)
		}
	}
}

// reportMessages reports what was measured until now.
func (w *controllersWorker) reportMessages(finished bool) error {
	messages, err := w.messages.report()
	if err != nil {
		return err
	}
	return w.out.write(workerReport{Messages: messages, Wire: w.wire.reading(), Finished: finished})
}

// finish ends all clients and reports what each held.
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
