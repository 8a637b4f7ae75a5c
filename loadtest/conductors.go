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
	tellEvery      = 50 * time.Millisecond // events are told together
	wireEvery      = time.Second
	refusedOneIn   = 2    // of the changes, while a conductor refuses
	maxQueuedEvent = 8192 // that wait to be told; a conductor that has another to tell waits
)

// conductorHooks are where tests plant faults.
type conductorHooks struct {
	event func(*event) // may change what a conductor tells
}

// conductors is the worker that plays conductors without a data plane.
type conductors struct {
	setup    *conductorsSetup
	hooks    conductorHooks
	out      *lineWriter
	wire     wireCounter
	messages *messageMeter
	events   chan event
	telling  sync.Mutex      // events are taken and written in one go
	done     <-chan struct{} // closed as the worker ends
	hollow   map[int]*hollow // by place in the fleet
	running  sync.WaitGroup
}

// hollow is one conductor: the real client, and nothing behind it.
type hollow struct {
	worker *conductors
	numbered
	meter *meter

	mutex    sync.Mutex
	stop     context.CancelFunc // of the present life
	ended    chan struct{}      // closed at the end of that
	life     int
	refusing bool
	last     event // what was accepted last
	held     map[records.Key]*records.Record
}

func newConductors(setup *conductorsSetup, hooks conductorHooks, out *lineWriter) *conductors {
	w := &conductors{
		setup: setup, hooks: hooks, out: out, messages: newMessageMeter(),
		events: make(chan event, maxQueuedEvent), hollow: map[int]*hollow{},
	}
	for _, one := range setup.Conductors {
		h := &hollow{worker: w, numbered: one}
		h.meter = newMeter(&w.wire, w.messages, h.joined)
		w.hollow[one.Index] = h
	}
	return w
}

// run plays the conductors until ctx ends; actions come meanwhile.
func (w *conductors) run(ctx context.Context, actions <-chan *action) error {
	ctx, stop := context.WithCancel(ctx)
	defer w.running.Wait()
	defer stop()
	w.done = ctx.Done()
	telling := make(chan error, 1)
	go func() { telling <- w.tell(ctx) }()
	if err := w.out.write(news{Ready: true}); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-telling:
			return err
		case one := <-actions:
			if err := w.act(ctx, one); err != nil {
				return err
			}
		}
	}
}

// tell writes events and the wire's counters until ctx ends.
func (w *conductors) tell(ctx context.Context) error {
	tick, wire := time.NewTicker(tellEvery), time.NewTicker(wireEvery)
	defer tick.Stop()
	defer wire.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if err := w.tellWaiting(nil); err != nil {
				return err
			}
		case <-wire.C:
			if err := w.out.write(news{Wire: w.wire.reading()}); err != nil {
				return err
			}
		}
	}
}

// tellWaiting writes the events that wait, and further ones.
func (w *conductors) tellWaiting(further []event) error {
	w.telling.Lock()
	defer w.telling.Unlock()
	var events []event
	for range len(w.events) {
		events = append(events, <-w.events)
	}
	if events = append(events, further...); len(events) == 0 {
		return nil
	}
	return w.out.write(news{Events: events})
}

// act does something to conductors. What takes its time goes on in the background.
func (w *conductors) act(ctx context.Context, one *action) error {
	switch one.Kind {
	case actionReport:
		return w.report(false)
	case actionFinish:
		return w.finish()
	}
	w.running.Go(func() {
		for at, index := range one.Conductors {
			if at > 0 && one.Over > 0 {
				select {
				case <-ctx.Done():
					return
				case <-time.After(one.Over / time.Duration(len(one.Conductors))):
				}
			}
			if h := w.hollow[index]; h != nil && ctx.Err() == nil {
				h.act(ctx, one.Kind)
			}
		}
	})
	return nil
}

func (w *conductors) report(finished bool) error {
	messages, err := w.messages.report()
	if err != nil {
		return err
	}
	return w.out.write(news{Messages: messages, Wire: w.wire.reading(), Finished: finished})
}

// finish ends all clients and tells what each held.
func (w *conductors) finish() error {
	var final []event
	for _, h := range w.hollow {
		h.end()
	}
	for _, h := range w.hollow {
		final = append(final, h.final())
	}
	if err := w.tellWaiting(final); err != nil {
		return err
	}
	return w.report(true)
}

func (h *hollow) act(ctx context.Context, kind actionKind) {
	switch kind {
	case actionRestart:
		h.end()
		h.begin(ctx)
	case actionReconnect:
		h.meter.closeAll()
	case actionCut:
		h.meter.cut()
	case actionHeal:
		h.meter.heal()
	case actionRefuse, actionAccept:
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.refusing = kind == actionRefuse
	}
}

// end ends the present life, if there is one.
func (h *hollow) end() {
	h.mutex.Lock()
	stop, ended := h.stop, h.ended
	h.stop, h.ended = nil, nil
	h.mutex.Unlock()
	if stop == nil {
		return
	}
	stop()
	h.meter.closeAll()
	<-ended
}

// begin starts a life in which nothing is held yet.
func (h *hollow) begin(ctx context.Context) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	ctx, h.stop = context.WithCancel(ctx)
	ended := make(chan struct{})
	h.ended = ended
	h.life++
	h.held, h.last = nil, event{}
	h.meter.holds.Store(false)
	h.tell(event{Kind: eventLife, Life: h.life})
	client, err := front.NewClient(front.Config{
		Name: h.Name, Scope: h.Scope, Members: h.worker.setup.Members, Lease: h.worker.setup.Lease,
		Seed:        h.worker.setup.Seed<<20 + uint64(h.Index)<<4 + uint64(h.life),
		Validate:    h.check,
		Accepted:    h.accepted,
		DialOptions: h.meter.options(),
	})
	if err != nil {
		panic(err) // a setup of our own: a name, members and a lease are always there
	}
	h.worker.running.Go(func() {
		defer close(ended)
		client.Run(ctx)
	})
}

// tell queues an event. It waits while the queue is full, so that nothing is lost.
func (h *hollow) tell(one event) {
	one.Conductor = h.Index
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

func (h *hollow) joined(member string) {
	h.tell(event{Kind: eventJoined, Member: member})
}

// check refuses one change in some while the conductor is to refuse.
func (h *hollow) check(revision uint64, _ map[records.Key]*records.Record) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.refusing {
		return nil
	}
	hash := fnv.New32a()
	fmt.Fprint(hash, h.Name, revision)
	if hash.Sum32()%refusedOneIn != 0 {
		return nil
	}
	return fmt.Errorf("revision %d is refused by the experiment", revision)
}

// accepted tells the revision held and the digest of its records, which is computed where records have come.
func (h *hollow) accepted(revision uint64, held map[records.Key]*records.Record) {
	at := time.Now().UnixNano()
	h.mutex.Lock()
	one := event{Kind: eventAccepted, At: at, Life: h.life, Revision: revision, Digest: h.last.Digest, Outside: h.last.Outside}
	if h.meter.changed.Swap(false) || h.held == nil {
		one.Digest, one.Outside = DigestOfAll(held), outside(h.Scope, held)
	}
	h.last, h.held = one, held
	h.meter.holds.Store(true)
	h.mutex.Unlock()
	h.tell(one)
}

// final is what the conductor held at its end, its digest computed anew.
func (h *hollow) final() event {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return event{
		Kind: eventFinal, Conductor: h.Index, At: time.Now().UnixNano(), Life: h.life,
		Revision: h.last.Revision, Digest: DigestOfAll(h.held), Outside: outside(h.Scope, h.held),
	}
}

// outside counts records that are held but not of a scope.
func outside(scope records.Scope, held map[records.Key]*records.Record) (count int) {
	for _, record := range held {
		if !scope.Contains(record) {
			count++
		}
	}
	return count
}
