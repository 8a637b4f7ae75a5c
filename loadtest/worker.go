package loadtest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"time"
)

// hooks are where tests plant faults; they reach only workers in the test's own process.
type hooks struct {
	member     memberHooks
	controller controllerHooks
}

// Work is the body of a worker: it takes orders until they end, and tells news.
func Work(ctx context.Context, role string, in io.Reader, out io.Writer) error {
	return work(ctx, role, in, out, hooks{})
}

func work(ctx context.Context, role string, in io.Reader, out io.Writer, planted hooks) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	writer := newLineWriter(out)
	decoder := json.NewDecoder(bufio.NewReader(in))
	var setup workerCommand
	if err := decoder.Decode(&setup); err != nil {
		return err
	}
	actions := make(chan *action)
	go func() {
		defer stop() // whoever gives the orders is gone
		for {
			var next workerCommand
			if decoder.Decode(&next) != nil {
				return
			}
			select {
			case actions <- next.Action:
			case <-ctx.Done():
				return
			}
		}
	}()
	var err error
	switch {
	case role == RoleMember && setup.Member != nil:
		err = runMember(ctx, setup.Member, planted.member, writer)
	case role == RoleControllers && setup.Controllers != nil:
		err = newControllers(setup.Controllers, planted.controller, writer).run(ctx, actions)
	case role == RoleProgram && setup.Program != nil:
		err = (&programWorker{setup: setup.Program, out: writer}).run(ctx)
	default:
		err = fmt.Errorf("no worker has the role %q, or its setup does not fit", role)
	}
	if err != nil && ctx.Err() == nil {
		writer.write(workerReport{Failed: err.Error()})
	}
	return err
}

// worker is the far side of one that runs.
type worker struct {
	role     string
	pid      int // 0: in this process
	commands *lineWriter
	input    io.Closer
	output   io.Reader
	kill     func()        // at once, with no time to tidy up
	ended    chan struct{} // closed once it has ended
}

const (
	stopTimeout = 5 * time.Second  // that a worker may take to end by itself
	killTimeout = 30 * time.Second // that one may take to be gone once it is killed
)

// killAndWait ends a worker at once.
func (w *worker) killAndWait() error {
	w.kill()
	defer w.input.Close()
	select {
	case <-w.ended:
		return nil
	case <-time.After(killTimeout):
		return fmt.Errorf("a worker (%s) has not ended %s after it was killed", w.role, killTimeout)
	}
}

// stop has a worker end by itself, and kills it if it does not.
func (w *worker) stop() error {
	w.input.Close()
	select {
	case <-w.ended:
		return nil
	case <-time.After(stopTimeout):
		return w.killAndWait()
	}
}

// readReports hands on what the worker tells until it ends.
func (w *worker) readReports(take func(*workerReport)) {
	decoder := json.NewDecoder(bufio.NewReader(w.output))
	for {
		var report workerReport
		if decoder.Decode(&report) != nil {
			return
		}
		take(&report)
	}
}

// launcher starts a worker of a role.
type launcher func(ctx context.Context, role string) (*worker, error)

// launchProcesses starts each worker as a process of a program, which has to hand its input and output to Work.
func launchProcesses(program string, arguments ...string) launcher {
	return func(_ context.Context, role string) (*worker, error) {
		command := exec.Command(program, append(arguments, role)...)
		command.Stderr = os.Stderr
		input, err := command.StdinPipe()
		if err != nil {
			return nil, err
		}
		// The reading end is our own: Wait would close StdoutPipe's before all of it is read.
		output, far, err := os.Pipe()
		if err != nil {
			return nil, err
		}
		command.Stdout = far
		err = command.Start()
		far.Close()
		if err != nil {
			output.Close()
			return nil, err
		}
		stopped := make(chan struct{})
		go func() {
			command.Wait()
			close(stopped)
		}()
		kill := func() { command.Process.Kill() }
		return &worker{role, command.Process.Pid, newLineWriter(input), input, output, kill, stopped}, nil
	}
}

// launchGoroutines starts each worker as a goroutine.
func launchGoroutines(planted hooks) launcher {
	return func(ctx context.Context, role string) (*worker, error) {
		ctx, kill := context.WithCancel(ctx)
		in, orders := io.Pipe()
		report, out := io.Pipe()
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			err := work(ctx, role, in, out, planted)
			in.Close()
			out.CloseWithError(errors.Join(io.EOF, err))
		}()
		go func() {
			<-ctx.Done()
			// Reads and writes of the worker end with it.
			in.Close()
			report.Close()
		}()
		return &worker{role, 0, newLineWriter(orders), orders, report, kill, stopped}, nil
	}
}

// workerSet is all workers of a run.
type workerSet struct {
	mutex   sync.Mutex
	workers map[*worker]struct{}
	readers sync.WaitGroup
}

// add has a worker's news taken until it ends.
func (c *workerSet) add(w *worker, take func(*workerReport)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.workers == nil {
		c.workers = map[*worker]struct{}{}
	}
	c.workers[w] = struct{}{}
	c.readers.Go(func() { w.readReports(take) })
}

// kill ends one worker at once.
func (c *workerSet) kill(w *worker) error {
	c.mutex.Lock()
	delete(c.workers, w)
	c.mutex.Unlock()
	return w.killAndWait()
}

// endAll ends all workers and waits until all that they told is taken.
func (c *workerSet) endAll() error {
	c.mutex.Lock()
	workers := c.workers
	c.workers = nil
	c.mutex.Unlock()
	ending := make(chan error, len(workers))
	for w := range workers {
		go func() { ending <- w.stop() }()
	}
	var failures []error
	for range workers {
		failures = append(failures, <-ending)
	}
	if err := errors.Join(failures...); err != nil {
		return err // what it tells is not waited for
	}
	c.readers.Wait()
	return nil
}
