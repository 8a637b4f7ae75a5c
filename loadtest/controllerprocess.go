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

// controllerProcess is a worker that plays controllers.
type controllerProcess struct {
	*worker
	indexes  []int
	external bool // it runs harehook-xds, which tells no events and takes no orders
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

// handleReport notes what the worker tells.
func (r *run) handleReport(p *controllerProcess, report *workerReport) {
	if report.PID != 0 {
		p.pid = report.PID
	}
	if report.Ready {
		close(p.ready)
	}
	if report.Failed != "" {
		r.recorder.recordFailure(fmt.Errorf("a worker of conductors ended: %s", report.Failed))
	}
	r.recorder.recordEvents(report.Events)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if report.Messages != nil {
		p.messages = report.Messages
	}
	if report.Wire != nil {
		p.wire = append(p.wire, report.Wire)
	}
	if report.Finished {
		close(p.finished)
	}
}

// startControllers starts the one controller's process and those of the simulated ones, all controllers at once, and waits
// until all are in step.
func (r *run) startControllers(ctx context.Context) error {
	var hollow []int
	for at := range r.controllers {
		if at != measuredController {
			hollow = append(hollow, at)
		}
	}
	if r.controllerProgram == "" {
		if err := r.startWorker(ctx, []int{measuredController}); err != nil {
			return err
		}
	}
	for indexes := range slices.Chunk(hollow, controllersPerWorker) {
		if err := r.startWorker(ctx, indexes); err != nil {
			return err
		}
	}
	began := time.Now()
	if err := r.commandControllers(actionRestart, 0, func(int) bool { return true }); err != nil {
		return err
	}
	if err := r.startProgram(ctx); err != nil {
		return err
	}
	if err := r.waitConverged(ctx, stepTimeout); err != nil {
		return err
	}
	r.logProgress("%d conductors in step after %.1f s", len(r.controllers), time.Since(began).Seconds())
	return r.recordStartUsage(ctx)
}

func (r *run) startWorker(ctx context.Context, indexes []int) error {
	started, err := r.launch(RoleControllers)
	if err != nil {
		return err
	}
	p := &controllerProcess{worker: started, indexes: indexes, ready: make(chan struct{}), finished: make(chan struct{})}
	r.controllerProcesses = append(r.controllerProcesses, p)
	r.workers.add(started, func(report *workerReport) { r.handleReport(p, report) })
	setup := &controllersSetup{Members: r.addresses(), Lease: configsync.DefaultLimits.Lease, Seed: r.plan.Seed}
	for _, at := range indexes {
		setup.Controllers = append(setup.Controllers, indexedController{at, r.controllers[at]})
	}
	if err := started.commands.write(workerCommand{Controllers: setup}); err != nil {
		return err
	}
	return r.waitFor(ctx, p.ready, startTimeout, "a worker of conductors is not ready")
}

// waitFor waits for something that a worker tells.
func (r *run) waitFor(ctx context.Context, done <-chan struct{}, timeout time.Duration, otherwise string) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(timeout):
		return errors.Join(fmt.Errorf("%s after %s", otherwise, timeout), r.recorder.firstFailure())
	}
}

// commandControllers has something done to the controllers that are chosen, in all workers evenly over a time.
func (r *run) commandControllers(kind actionKind, over time.Duration, chosen func(controller int) bool) error {
	for _, p := range r.controllerProcesses {
		one := &action{Kind: kind, Over: over}
		for _, at := range p.indexes {
			if chosen(at) {
				one.Controllers = append(one.Controllers, at)
			}
		}
		if len(one.Controllers) == 0 || p.external {
			continue
		}
		if err := p.commands.write(workerCommand{Action: one}); err != nil {
			return err
		}
	}
	return nil
}

// waitConverged waits until all controllers hold what was agreed when it was called.
func (r *run) waitConverged(ctx context.Context, timeout time.Duration) error {
	want := r.recorder.newestRevision()
	deadline := time.Now().Add(timeout)
	for {
		behind := r.recorder.countBehind(want)
		if behind == 0 {
			return nil
		}
		if err := r.recorder.firstFailure(); err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d conductors are not in step after %s; %s", behind, len(r.controllers), timeout, r.group.describeStatus(ctx))
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// finish ends all controllers and has the workers tell what they measured.
func (r *run) finish(ctx context.Context) error {
	for _, p := range r.controllerProcesses {
		if p.external {
			continue
		}
		if err := p.commands.write(workerCommand{Action: &action{Kind: actionFinish}}); err != nil {
			return err
		}
	}
	for _, p := range r.controllerProcesses {
		if p.external {
			continue
		}
		if err := r.waitFor(ctx, p.finished, finishTimeout, "a worker has not told what it measured"); err != nil {
			return err
		}
	}
	return nil
}
