package loadtest

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	front "harehook.dev/harehook/configsync/transport"
	"harehook.dev/harehook/records"
)

const (
	reportInterval     = 50 * time.Millisecond // events are told together
	wireReportInterval = time.Second
	rejectOneIn        = 2    // of the changes, while a controller refuses
	maxQueuedEvents    = 8192 // that wait to be told; a controller that has another to tell waits
)

// controllerHooks are where tests plant faults.
type controllerHooks struct {
	event func(*event) // may change what a controller tells
}

// controllersWorker is the worker that plays controllers without a data plane.
type controllersWorker struct {
	setup      *controllersSetup
	hooks      controllerHooks
	out        *lineWriter
	wire       wireCounter
	messages   *messageMeter
	events     chan event
	reportLock sync.Mutex                   // events are taken and written in one go
	done       <-chan struct{}              // closed as the worker ends
	simulated  map[int]*simulatedController // by place in the fleet
	running    sync.WaitGroup
}

// simulatedController is one controller: the real client, and nothing behind it.
type simulatedController struct {
	worker *controllersWorker
	indexedController
	meter *connectionMeter

	mutex        sync.Mutex
	cancel       context.CancelFunc // of the present life
	stopped      chan struct{}      // closed at the end of that
	incarnation  int
	rejecting    bool
	lastAccepted event // what was accepted last
	records      map[records.Key]*records.Record
}

func newControllers(setup *controllersSetup, hooks controllerHooks, out *lineWriter) *controllersWorker {
	w := &controllersWorker{
		setup: setup, hooks: hooks, out: out, messages: newMessageMeter(),
		events: make(chan event, maxQueuedEvents), simulated: map[int]*simulatedController{},
	}
	for _, one := range setup.Controllers {
		h := &simulatedController{worker: w, indexedController: one}
		h.meter = newConnectionMeter(&w.wire, w.messages, h.handleJoined)
		w.simulated[one.Index] = h
	}
	return w
}

// run plays the controllers until ctx ends; actions come meanwhile.
func (w *controllersWorker) run(ctx context.Context, actions <-chan *action) error {
	ctx, stop := context.WithCancel(ctx)
	defer w.running.Wait()
	defer stop()
	w.done = ctx.Done()
	telling := make(chan error, 1)
	go func() { telling <- w.reportEvents(ctx) }()
	if err := w.out.write(workerReport{Ready: true}); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-telling:
			return err
		case one := <-actions:
			if err := w.perform(ctx, one); err != nil {
				return err
			}
		}
	}
}

// reportEvents writes events and the wire's counters until ctx ends.
func (w *controllersWorker) reportEvents(ctx context.Context) error {
	tick, wire := time.NewTicker(reportInterval), time.NewTicker(wireReportInterval)
	defer tick.Stop()
	defer wire.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if err := w.reportQueued(nil); err != nil {
				return err
			}
		case <-wire.C:
			if err := w.out.write(workerReport{Wire: w.wire.reading()}); err != nil {
				return err
			}
		}
	}
}

// reportQueued writes the events that wait, and further ones.
func (w *controllersWorker) reportQueued(further []event) error {
	w.reportLock.Lock()
	defer w.reportLock.Unlock()
	var events []event
	for range len(w.events) {
		events = append(events, <-w.events)
	}
	if events = append(events, further...); len(events) == 0 {
		return nil
	}
	return w.out.write(workerReport{Events: events})
}

// perform does something to controllers. What takes its time goes on in the background.
func (w *controllersWorker) perform(ctx context.Context, one *action) error {
	switch one.Kind {
	case actionReport:
		return w.report(false)
	case actionFinish:
		return w.finish()
	}
	w.running.Go(func() {
		for at, index := range one.Controllers {
			if at > 0 && one.Over > 0 {
				select {
				case <-ctx.Done():
					return
				case <-time.After(one.Over / time.Duration(len(one.Controllers))):
				}
			}
			if h := w.simulated[index]; h != nil && ctx.Err() == nil {
				h.perform(ctx, one.Kind)
			}
		}
	})
	return nil
}

func (w *controllersWorker) report(finished bool) error {
	messages, err := w.messages.report()
	if err != nil {
		return err
	}
	return w.out.write(workerReport{Messages: messages, Wire: w.wire.reading(), Finished: finished})
}

// finish ends all clients and tells what each held.
func (w *controllersWorker) finish() error {
	var final []event
	for _, h := range w.simulated {
		h.stopAndWait()
	}
	for _, h := range w.simulated {
		final = append(final, h.finalEvent())
	}
	if err := w.reportQueued(final); err != nil {
		return err
	}
	return w.report(true)
}

func (h *simulatedController) perform(ctx context.Context, kind actionKind) {
	switch kind {
	case actionRestart:
		h.stopAndWait()
		h.start(ctx)
	case actionReconnect:
		h.meter.closeAll()
	case actionCut:
		h.meter.cut()
	case actionHeal:
		h.meter.heal()
	case actionReject, actionAccept:
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.rejecting = kind == actionReject
	}
}

// stopAndWait ends the present life, if there is one.
func (h *simulatedController) stopAndWait() {
	h.mutex.Lock()
	stop, stopped := h.cancel, h.stopped
	h.cancel, h.stopped = nil, nil
	h.mutex.Unlock()
	if stop == nil {
		return
	}
	stop()
	h.meter.closeAll()
	<-stopped
}

// start starts a life in which nothing is held yet.
func (h *simulatedController) start(ctx context.Context) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	ctx, h.cancel = context.WithCancel(ctx)
	stopped := make(chan struct{})
	h.stopped = stopped
	h.incarnation++
	h.records, h.lastAccepted = nil, event{}
	h.meter.hasAccepted.Store(false)
	h.reportEvent(event{Kind: eventStarted, Incarnation: h.incarnation})
	client, err := front.NewClient(front.Config{
		Name: h.Name, Scope: h.Scope, Members: h.worker.setup.Members, Lease: h.worker.setup.Lease,
		Seed:        h.worker.setup.Seed<<20 + uint64(h.Index)<<4 + uint64(h.incarnation),
		Check:       h.checkRevision,
		Accepted:    h.handleAccepted,
		DialOptions: h.meter.options(),
	})
	if err != nil {
		panic(err) // a setup of our own: a name, members and a lease are always there
	}
	h.worker.running.Go(func() {
		defer close(stopped)
		client.Run(ctx)
	})
}

// reportEvent queues an event. It waits while the queue is full, so that nothing is lost.
func (h *simulatedController) reportEvent(one event) {
	one.Controller = h.Index
	if one.At == 0 {
		one.At = time.Now().UnixNano()
	}
	if h.worker.hooks.event != nil {
		h.worker.hooks.event(&one)
	}
	select {
	case h.worker.events <- one:
	case <-h.worker.done:
	}
}

func (h *simulatedController) handleJoined(member string) {
	h.reportEvent(event{Kind: eventJoined, Member: member})
}

// checkRevision refuses one change in some while the controller is to refuse.
func (h *simulatedController) checkRevision(revision uint64, _ map[records.Key]*records.Record) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.rejecting {
		return nil
	}
	hash := fnv.New32a()
	fmt.Fprint(hash, h.Name, revision)
	if hash.Sum32()%rejectOneIn != 0 {
		return nil
	}
	return fmt.Errorf("revision %d is refused by the experiment", revision)
}

// handleAccepted tells the revision held and the digest of its records, which is computed where records have come.
func (h *simulatedController) handleAccepted(revision uint64, received map[records.Key]*records.Record) {
	at := time.Now().UnixNano()
	h.mutex.Lock()
	one := event{Kind: eventAccepted, At: at, Incarnation: h.incarnation, Revision: revision, Digest: h.lastAccepted.Digest, Outside: h.lastAccepted.Outside}
	if h.meter.recordsReceived.Swap(false) || h.records == nil {
		one.Digest, one.Outside = DigestOfAll(received), countOutside(h.Scope, received)
	}
	h.lastAccepted, h.records = one, received
	h.meter.hasAccepted.Store(true)
	h.mutex.Unlock()
	h.reportEvent(one)
}

// finalEvent is what the controller held at its end, its digest computed anew.
func (h *simulatedController) finalEvent() event {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return event{
		Kind: eventFinal, Controller: h.Index, At: time.Now().UnixNano(), Incarnation: h.incarnation,
		Revision: h.lastAccepted.Revision, Digest: DigestOfAll(h.records), Outside: countOutside(h.Scope, h.records),
	}
}

// countOutside counts records that are held but not of a scope.
func countOutside(scope records.Scope, received map[records.Key]*records.Record) (count int) {
	for _, record := range received {
		if !scope.Contains(record) {
			count++
		}
	}
	return count
}
