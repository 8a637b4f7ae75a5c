package loadtest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
)

// hooks holds the faults that a test plants. They apply only to workers that run as goroutines of the test's process.
type hooks struct {
	member     memberHooks
	controller controllerHooks
}

// Work runs a worker: it reads commands from in until in ends, and writes reports to out. The role is one of the Role
// constants. An error is also written as a report, unless ctx has been canceled.
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
		return fmt.Errorf("read the setup of a worker with the role %q: %w", role, err)
	}
	actions := make(chan *action)
	// Work does not wait for this goroutine: it may block in a read until the process exits.
	go readActions(ctx, stop, decoder, actions)
	err := runRole(ctx, role, &setup, actions, planted, writer)
	if err != nil && ctx.Err() == nil {
		writer.write(workerReport{Failed: err.Error()})
	}
	return err
}

// readActions sends the actions that it reads to a channel. It stops the worker when the input ends, because the run
// that sent the commands has then exited.
func readActions(ctx context.Context, stop context.CancelFunc, decoder *json.Decoder, actions chan<- *action) {
	defer stop()
	for {
		var command workerCommand
		if decoder.Decode(&command) != nil {
			return
		}
		select {
		case actions <- command.Action:
		case <-ctx.Done():
			return
		}
	}
}

// runRole runs a worker of the given role until ctx is canceled.
func runRole(ctx context.Context, role string, setup *workerCommand, actions <-chan *action, planted hooks, out *lineWriter) error {
	switch {
	case role == RoleMember && setup.Member != nil:
		return runMember(ctx, setup.Member, planted.member, out)
	case role == RoleControllers && setup.Controllers != nil:
		return newControllers(setup.Controllers, planted.controller, out).run(ctx, actions)
	case role == RoleProgram && setup.Program != nil:
		worker := &programWorker{setup: setup.Program, out: out}
		return worker.run(ctx)
	default:
		return fmt.Errorf("worker role %q is unknown or does not match its setup", role)
	}
}
