package loadtest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"harehook.dev/harehook/configsync"
)

// conductorProcess is a worker that plays conductors.
type conductorProcess struct {
	*worker
	indexes  []int
	external bool // it runs harehookd, which tells no events and takes no orders
	ready    chan struct{}
	finished chan struct{}

	mutex     sync.Mutex
	messages  *messageReport
	wire      []*wireReading
	resident  int64
	samples   []sample // processor time
	startCPU  float64  // seconds until all were in step
	startWire float64  // bytes in and out until then
	startTime time.Duration
}

// take notes what the worker tells.
func (r *run) take(p *conductorProcess, told *news) {
	if told.PID != 0 {
		p.pid = told.PID
	}
	if told.Ready {
		close(p.ready)
	}
	if told.Failed != "" {
		r.recorder.fail(fmt.Errorf("a worker of conductors ended: %s", told.Failed))
	}
	r.recorder.note(told.Events)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if told.Messages != nil {
		p.messages = told.Messages
	}
	if told.Wire != nil {
		p.wire = append(p.wire, told.Wire)
	}
	if told.Finished {
		close(p.finished)
	}
}

// startConductors starts the one conductor's process and those of the hollow ones, all conductors at once, and waits
// until all are in step.
func (r *run) startConductors(ctx context.Context) error {
	var hollow []int
	for at := range r.conductors {
		if at != ownConductor {
			hollow = append(hollow, at)
		}
	}
	if r.program == "" {
		if err := r.startWorker(ctx, []int{ownConductor}); err != nil {
			return err
		}
	}
	for indexes := range slices.Chunk(hollow, conductorsPerWorker) {
		if err := r.startWorker(ctx, indexes); err != nil {
			return err
		}
	}
	began := time.Now()
	if err := r.order(actionRestart, 0, func(int) bool { return true }); err != nil {
		return err
	}
	if err := r.startProgram(ctx); err != nil {
		return err
	}
	if err := r.untilInStep(ctx, stepTimeout); err != nil {
		return err
	}
	r.tell("%d conductors in step after %.1f s", len(r.conductors), time.Since(began).Seconds())
	return r.noteStart(ctx)
}

func (r *run) startWorker(ctx context.Context, indexes []int) error {
	started, err := r.launch(RoleConductors)
	if err != nil {
		return err
	}
	p := &conductorProcess{worker: started, indexes: indexes, ready: make(chan struct{}), finished: make(chan struct{})}
	r.workers = append(r.workers, p)
	r.crew.add(started, func(told *news) { r.take(p, told) })
	setup := &conductorsSetup{Members: r.addresses(), Lease: configsync.DefaultLimits.Lease, Seed: r.plan.Seed}
	for _, at := range indexes {
		setup.Conductors = append(setup.Conductors, numbered{at, r.conductors[at]})
	}
	if err := started.orders.write(order{Conductors: setup}); err != nil {
		return err
	}
	return r.wait(ctx, p.ready, startTimeout, "a worker of conductors is not ready")
}

// wait waits for something that a worker tells.
func (r *run) wait(ctx context.Context, done <-chan struct{}, timeout time.Duration, otherwise string) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(timeout):
		return errors.Join(fmt.Errorf("%s after %s", otherwise, timeout), r.recorder.failed())
	}
}

// order has something done to the conductors that are chosen, in all workers evenly over a time.
func (r *run) order(kind actionKind, over time.Duration, chosen func(conductor int) bool) error {
	for _, p := range r.workers {
		one := &action{Kind: kind, Over: over}
		for _, at := range p.indexes {
			if chosen(at) {
				one.Conductors = append(one.Conductors, at)
			}
		}
		if len(one.Conductors) == 0 || p.external {
			continue
		}
		if err := p.orders.write(order{Action: one}); err != nil {
			return err
		}
	}
	return nil
}

// untilInStep waits until all conductors hold what was agreed when it was called.
func (r *run) untilInStep(ctx context.Context, timeout time.Duration) error {
	want := r.recorder.newest()
	deadline := time.Now().Add(timeout)
	for {
		behind := r.recorder.behind(want)
		if behind == 0 {
			return nil
		}
		if err := r.recorder.failed(); err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d conductors are not in step after %s; %s", behind, len(r.conductors), timeout, r.group.describe(ctx))
		}
		if err := pause(ctx, lookEvery); err != nil {
			return err
		}
	}
}

// finish ends all conductors and has the workers tell what they measured.
func (r *run) finish(ctx context.Context) error {
	for _, p := range r.workers {
		if p.external {
			continue
		}
		if err := p.orders.write(order{Action: &action{Kind: actionFinish}}); err != nil {
			return err
		}
	}
	for _, p := range r.workers {
		if p.external {
			continue
		}
		if err := r.wait(ctx, p.finished, finishTimeout, "a worker has not told what it measured"); err != nil {
			return err
		}
	}
	return nil
}
