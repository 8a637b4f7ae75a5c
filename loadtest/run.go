package loadtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

const (
	controllersPerWorker = 450              // simulated controllers per process
	startTimeout         = 30 * time.Second // until a worker is ready
	leaderTimeout        = 30 * time.Second // until the group has a leader
	inStepTimeout        = 2 * time.Minute  // until all controllers are in step at the start
	drainTimeout         = 30 * time.Second // until all controllers are in step at the end
	finishTimeout        = time.Minute      // until all workers have reported what they measured
	pollInterval         = 20 * time.Millisecond
	sampleInterval       = time.Second
)

// measuredController is the index of the controller that has a process of its own.
const measuredController = 0

// Options configures the execution of a run.
type Options struct {
	// WorkerProgram is the path of the program that runs as worker processes; it must call Work. If it is empty,
	// workers are goroutines of this process.
	WorkerProgram string
	// WorkerArguments are the arguments of WorkerProgram that precede the role.
	WorkerArguments []string
	// ControllerProgram is the path of harehook-xds, which runs as the controller that has its own process. If it is
	// empty, that controller is only a client.
	ControllerProgram string
	// Progress receives a line for each stage, unless it is nil.
	Progress io.Writer

	planted hooks // faults that tests plant; they require workers that are goroutines
}

// withDefaults replaces a nil Progress by a writer that discards the lines.
func (o Options) withDefaults() Options {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	return o
}

// launcher returns the launcher of the workers: processes of WorkerProgram if it is set, goroutines otherwise.
func (o Options) launcher() launcher {
	if o.WorkerProgram == "" {
		return launchGoroutines(o.planted)
	}
	return launchProcesses(o.WorkerProgram, o.WorkerArguments...)
}

// run is the state of a load test.
type run struct {
	plan              Plan
	progress          io.Writer
	launch            func(role string) (*worker, error) // the worker may outlive the stage that starts it
	separateProcesses bool                               // workers are processes, not goroutines
	controllerProgram string                             // path of harehook-xds, empty if it is not used
	folder            string                             // directory of the members' logs

	configuration *Configuration
	controllers   []Controller
	model         *Model
	recorder      *recorder

	workers             workerSet
	group               *groupClient
	memberProcesses     []*memberProcess
	controllerProcesses []*controllerProcess

	workloadStart    time.Time // when the first change was due
	faultFreeUntil   time.Time // end of the time before the first fault
	programViolation string    // set if harehook-xds did not have the agreed configuration at the end
}

// Play executes a plan and returns a report with the plan and the measurements. It returns an error if the run could
// not be completed; broken bounds are in the report.
func Play(ctx context.Context, plan Plan, options Options) (*Report, error) {
	if err := plan.Validate(); err != nil {
		return nil, err
	}
	options = options.withDefaults()
	folder, err := os.MkdirTemp("", "harehook-fleet-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	r := newRun(ctx, plan, options)
	r.folder = folder
	defer r.releaseAddresses()
	defer r.workers.stopAll()
	defer func() { r.group.close() }()
	if err := r.prepare(); err != nil {
		return nil, err
	}
	if err := r.runStages(ctx); err != nil {
		return nil, errors.Join(err, r.recorder.firstFailure())
	}
	if err := r.workers.stopAll(); err != nil {
		return nil, err
	}
	return r.report()
}

// runStages executes the stages of the run in order.
func (r *run) runStages(ctx context.Context) error {
	stages := []func(context.Context) error{r.startMembers, r.load, r.startControllers, r.runWorkload, r.drain, r.finish}
	for _, stage := range stages {
		if err := stage(ctx); err != nil {
			return err
		}
	}
	return nil
}

// newRun returns a run whose workers end no later than ctx.
func newRun(ctx context.Context, plan Plan, options Options) *run {
	launch := options.launcher()
	return &run{
		plan:              plan,
		progress:          options.Progress,
		launch:            func(role string) (*worker, error) { return launch(ctx, role) },
		separateProcesses: options.WorkerProgram != "",
		controllerProgram: options.ControllerProgram,
	}
}

// logProgress writes a progress line.
func (r *run) logProgress(format string, args ...any) {
	fmt.Fprintf(r.progress, "fleet: "+format+"\n", args...)
}

// prepare generates the configuration and the state that depends on it.
func (r *run) prepare() error {
	configuration, err := Generate(r.plan)
	if err != nil {
		return fmt.Errorf("generate the configuration: %w", err)
	}
	r.configuration = configuration
	r.controllers = r.configuration.Controllers()
	r.model = NewModel(r.controllers)
	r.recorder = newRecorder(len(r.controllers))
	r.recorder.histories[measuredController].isProgram = r.controllerProgram != ""
	return nil
}

// load proposes the full configuration to the group.
func (r *run) load(ctx context.Context) error {
	startTime := time.Now()
	transactions := r.configuration.LoadTransactions()
	for _, transaction := range transactions {
		revision, err := r.group.propose(ctx, transaction)
		if err != nil {
			return fmt.Errorf("load the configuration: %w", err)
		}
		r.configuration.RecordAgreed(transaction, revision)
		if err := r.model.Load(transaction, revision); err != nil {
			return err
		}
		r.recorder.recordAgreed(revision, time.Now())
	}
	r.model.FinishLoad()
	r.logProgress("loaded %d records in %d transactions in %.1f s", len(r.configuration.bodies), len(transactions), time.Since(startTime).Seconds())
	return nil
}

// sleep waits for a duration. It returns the error of ctx if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// runWorkload makes changes at the plan's rate, injects the faults and samples the resource usage of the processes.
func (r *run) runWorkload(ctx context.Context) error {
	r.workloadStart = time.Now()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var sampling sync.WaitGroup
	sampling.Go(func() { r.sampleUsage(ctx) })
	faults := make(chan error, 1)
	go func() { faults <- r.injectFaults(ctx) }()
	err := r.makeChanges(ctx)
	if err != nil {
		stop()
	}
	faultErr := <-faults
	stop()
	sampling.Wait()
	return errors.Join(err, faultErr, r.recorder.firstFailure())
}

// makeChanges makes one change after the other. A change that is answered late, for example while there is no leader,
// delays the following ones, which are then made without a pause.
func (r *run) makeChanges(ctx context.Context) error {
	count := max(1, int(float64(r.plan.Seconds)*r.plan.Changes))
	for number := range count {
		due := r.workloadStart.Add(time.Duration(number) * r.plan.interval())
		if err := sleep(ctx, time.Until(due)); err != nil {
			return err
		}
		if err := r.makeChange(ctx); err != nil {
			return fmt.Errorf("change %d: %w", number, err)
		}
	}
	return nil
}

// makeChange proposes a change to the group and records the controllers that are interested in it.
func (r *run) makeChange(ctx context.Context) error {
	transaction, err := r.configuration.NextChange()
	if err != nil {
		return err
	}
	revision, err := r.group.propose(ctx, transaction)
	if err != nil {
		return err
	}
	answered := time.Now()
	r.configuration.RecordAgreed(transaction, revision)
	interested, err := r.model.ApplyChange(transaction, revision)
	if err != nil {
		return err
	}
	r.recorder.recordChange(revision, answered, interested)
	return nil
}

// drain waits until all controllers have accepted the last change. A timeout does not fail the run: the check of the
// final state of controllers reports it as a violation.
func (r *run) drain(ctx context.Context) error {
	if err := r.waitConverged(ctx, drainTimeout); err != nil {
		r.logProgress("%v", err)
	}
	if r.controllerProgram != "" {
		if err := r.waitProgramConverged(ctx, drainTimeout); err != nil {
			r.programViolation = err.Error()
		}
	}
	return ctx.Err()
}
