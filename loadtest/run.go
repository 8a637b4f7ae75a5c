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
	controllersPerWorker = 450              // simulated ones in a process
	startTimeout         = 30 * time.Second // of a worker
	leaderTimeout        = 30 * time.Second // until the group has a leader
	stepTimeout          = 2 * time.Minute  // until all controllers are in step at the start
	drainTimeout         = 30 * time.Second // until all controllers are in step at the end
	finishTimeout        = time.Minute      // until all workers have reported what they measured
	pollInterval         = 20 * time.Millisecond
	sampleInterval       = time.Second
)

// measuredController is the index of the controller that has a process of its own.
const measuredController = 0

// Options say how a run is carried out.
type Options struct {
	// WorkerProgram is the path of the program whose processes the workers are. It has to call Work. Empty: the workers are
	// goroutines of this process.
	WorkerProgram string
	// WorkerArguments are the arguments of WorkerProgram; the role comes after them.
	WorkerArguments []string
	// ControllerProgram is the path of harehook-xds, which then is the controller with a process of its own. Empty: that
	// controller is a client alone.
	ControllerProgram string
	// Progress gets a line for each stage; nil: none is written.
	Progress io.Writer

	planted hooks // faults that tests plant; workers are goroutines then
}

// withDefaults has progress always written to somewhere.
func (o Options) withDefaults() Options {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	return o
}

// launcher starts workers as the options say.
func (o Options) launcher() launcher {
	if o.WorkerProgram == "" {
		return launchGoroutines(o.planted)
	}
	return launchProcesses(o.WorkerProgram, o.WorkerArguments...)
}

// run is a load test under way.
type run struct {
	plan              Plan
	progress          io.Writer
	launch            func(role string) (*worker, error) // a worker that lives as long as the run, whichever stage starts it
	separateProcesses bool                               // workers are processes
	controllerProgram string                             // harehook-xds's path, empty if there is none
	folder            string                             // of the members' logs

	configuration *Configuration
	controllers   []Controller
	model         *Model
	recorder      *recorder

	workers             workerSet
	group               *groupClient
	memberProcesses     []*memberProcess
	controllerProcesses []*controllerProcess

	playStart        time.Time // since when changes are played
	faultFreeUntil   time.Time // no fault was played until then
	programViolation string    // that harehook-xds did not hold what was agreed at the end
}

// Play carries out a plan and reports what was asked and measured. The error is of a run that could not be carried out;
// bounds that broke are in the report.
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
	defer r.workers.endAll()
	defer func() { r.group.close() }()
	if err := r.prepare(); err != nil {
		return nil, err
	}
	if err := r.runStages(ctx); err != nil {
		return nil, errors.Join(err, r.recorder.firstFailure())
	}
	if err := r.workers.endAll(); err != nil {
		return nil, err
	}
	return r.report()
}

// runStages carries out the run, one stage after the other.
func (r *run) runStages(ctx context.Context) error {
	stages := []func(context.Context) error{r.startMembers, r.load, r.startControllers, r.play, r.drain, r.finish}
	for _, stage := range stages {
		if err := stage(ctx); err != nil {
			return err
		}
	}
	return nil
}

// newRun makes a run whose workers end with ctx at the latest.
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

// logProgress writes a line for people.
func (r *run) logProgress(format string, args ...any) {
	fmt.Fprintf(r.progress, "fleet: "+format+"\n", args...)
}

// prepare draws the configuration and what follows from it.
func (r *run) prepare() error {
	configuration, err := Generate(r.plan)
	if err != nil {
		return fmt.Errorf("draw the configuration: %w", err)
	}
	r.configuration = configuration
	r.controllers = r.configuration.Controllers()
	r.model = NewModel(r.controllers)
	r.recorder = newRecorder(len(r.controllers))
	r.recorder.histories[measuredController].external = r.controllerProgram != ""
	return nil
}

// load has the group agree on the whole configuration.
func (r *run) load(ctx context.Context) error {
	began := time.Now()
	transactions := r.configuration.LoadTransactions()
	for _, transaction := range transactions {
		revision, err := r.group.propose(ctx, transaction)
		if err != nil {
			return fmt.Errorf("load: %w", err)
		}
		r.configuration.RecordAgreed(transaction, revision)
		if err := r.model.Load(transaction, revision); err != nil {
			return err
		}
		r.recorder.recordAgreed(revision, time.Now())
	}
	r.model.FinishLoad()
	r.logProgress("%d records loaded by %d transactions in %.1f s", len(r.configuration.bodies), len(transactions), time.Since(began).Seconds())
	return nil
}

// sleep waits for some time; it returns the error of ctx if that ends before.
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

// play makes changes at the plan's rate, plays the faults and samples what the processes use meanwhile.
func (r *run) play(ctx context.Context) error {
	r.playStart = time.Now()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var sampling sync.WaitGroup
	sampling.Go(func() { r.sampleUsage(ctx) })
	faults := make(chan error, 1)
	go func() { faults <- r.playFaults(ctx) }()
	err := r.playChanges(ctx)
	if err != nil {
		stop()
	}
	faultErr := <-faults
	stop()
	sampling.Wait()
	return errors.Join(err, faultErr, r.recorder.firstFailure())
}

// playChanges makes one change after the other. A change that is answered late, as while a leader is missing, delays
// those after it; they are then made without a pause.
func (r *run) playChanges(ctx context.Context) error {
	count := max(1, int(float64(r.plan.Seconds)*r.plan.Changes))
	for number := range count {
		due := r.playStart.Add(time.Duration(number) * r.plan.interval())
		if err := sleep(ctx, time.Until(due)); err != nil {
			return err
		}
		if err := r.playChange(ctx); err != nil {
			return fmt.Errorf("change %d: %w", number, err)
		}
	}
	return nil
}

// playChange has the group agree on a change, and notes who is interested in it.
func (r *run) playChange(ctx context.Context) error {
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

// drain waits until all controllers hold the last change. That they don't is no failure of the run: the check of what
// they held at the end reports it.
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
