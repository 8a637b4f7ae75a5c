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

// controllerProcess is the run's handle to a worker that simulates controllers or runs harehook-xds.
type controllerProcess struct {
	*worker
	indexes   []int         // indices of its controllers in the fleet
	isProgram bool          // it runs harehook-xds, which reports no events and accepts no actions
	ready     chan struct{} // closed when it is set up
	finished  chan struct{} // closed when it has reported its measurements

	mutex         sync.Mutex     // guards the fields below
	messages      *messageReport // latest report
	wire          []*wireReading
	resident      int64         // maximum observed, in bytes
	samples       []sample      // CPU time in seconds
	startCPU      float64       // CPU time in seconds until all controllers were in step
	startWire     float64       // bytes received and sent until then
	startDuration time.Duration // until a member reported harehook-xds in step; only for harehook-xds
}

// handleReport records a report of a worker.
func (r *run) handleReport(p *controllerProcess, report *workerReport) {
	if report.PID != 0 {
		p.pid = report.PID
	}
	if report.Ready {
		close(p.ready)
	}
	if report.Failed != "" {
		r.recorder.recordFailure(fmt.Errorf("worker of controllers failed: %s", report.Failed))
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

// startControllers starts the controllers' workers, then all controllers simultaneously, and waits until all of them
// are in step.
func (r *run) startControllers(ctx context.Context) error {
	if err := r.startWorkers(ctx); err != nil {
		return err
	}
	start := time.Now()
	all := func(int) bool { return true }
	if err := r.commandControllers(actionRestart, 0, all); err != nil {
		return err
	}
	if err := r.startProgram(ctx); err != nil {
		return err
	}
	if err := r.waitConverged(ctx, inStepTimeout); err != nil {
		return err
	}
	r.logProgress("%d controllers in step after %.1f s", len(r.controllers), time.Since(start).Seconds())
	return r.recordStartUsage(ctx)
}

// startWorkers starts the worker of the measured controller, unless that is harehook-xds, and the workers of the
// simulated controllers.
func (r *run) startWorkers(ctx context.Context) error {
	if r.controllerProgram == "" {
		if err := r.startWorker(ctx, []int{measuredController}); err != nil {
			return err
		}
	}
	var simulated []int
	for index := range r.controllers {
		if index != measuredController {
			simulated = append(simulated, index)
		}
	}
	for indexes := range slices.Chunk(simulated, controllersPerWorker) {
		if err := r.startWorker(ctx, indexes); err != nil {
			return err
		}
	}
	return nil
}

// startWorker starts a worker for the controllers with the given indices and waits until it is set up.
func (r *run) startWorker(ctx context.Context, indexes []int) error {
	w, err := r.launch(RoleControllers)
	if err != nil {
		return err
	}
	p := &controllerProcess{
		worker:   w,
		indexes:  indexes,
		ready:    make(chan struct{}),
		finished: make(chan struct{}),
	}
	r.controllerProcesses = append(r.controllerProcesses, p)
	r.workers.add(w, func(report *workerReport) { r.handleReport(p, report) })
	setup := &controllersSetup{Members: r.memberAddresses(), Lease: configsync.DefaultLimits.Lease, Seed: r.plan.Seed}
	for _, index := range indexes {
		setup.Controllers = append(setup.Controllers, indexedController{Index: index, Controller: r.controllers[index]})
	}
	if err := w.commands.write(workerCommand{Controllers: setup}); err != nil {
		return fmt.Errorf("set up a worker of %d controllers: %w", len(indexes), err)
	}
	return r.waitFor(ctx, p.ready, startTimeout, "worker of controllers did not become ready")
}

// waitFor waits until done is closed. After the timeout it returns an error that starts with timeoutMessage.
func (r *run) waitFor(ctx context.Context, done <-chan struct{}, timeout time.Duration, timeoutMessage string) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(timeout):
		return errors.Join(fmt.Errorf("%s within %s", timeoutMessage, timeout), r.recorder.firstFailure())
	}
}

// commandControllers sends an action on the chosen controllers to all workers. Each worker spreads it evenly over the
// given time.
func (r *run) commandControllers(kind actionKind, spread time.Duration, chosen func(controller int) bool) error {
	for _, p := range r.controllerProcesses {
		a := &action{Kind: kind, Spread: spread}
		for _, index := range p.indexes {
			if chosen(index) {
				a.Controllers = append(a.Controllers, index)
			}
		}
		if len(a.Controllers) == 0 || p.isProgram {
			continue
		}
		if err := p.commands.write(workerCommand{Action: a}); err != nil {
			return fmt.Errorf("send the action %q to a worker of controllers: %w", kind, err)
		}
	}
	return nil
}

// waitConverged waits until all controllers have accepted the newest revision at the time of the call.
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
			return fmt.Errorf("%d of %d controllers are not in step after %s; %s", behind, len(r.controllers), timeout, r.group.describeStatus(ctx))
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// finish stops all controllers and waits until their workers have reported their measurements.
func (r *run) finish(ctx context.Context) error {
	clientWorkers := slices.DeleteFunc(slices.Clone(r.controllerProcesses), func(p *controllerProcess) bool { return p.isProgram })
	for _, p := range clientWorkers {
		if err := p.commands.write(workerCommand{Action: &action{Kind: actionFinish}}); err != nil {
			return fmt.Errorf("send the action %q to a worker of controllers: %w", actionFinish, err)
		}
	}
	for _, p := range clientWorkers {
		if err := r.waitFor(ctx, p.finished, finishTimeout, "worker of controllers did not report its measurements"); err != nil {
			return err
		}
	}
	return nil
}
