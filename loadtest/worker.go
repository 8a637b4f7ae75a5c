package loadtest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
)

// hooks are where tests plant faults; they reach only workers in the test's own process.
type hooks struct {
	member     memberHooks
	controller controllerHooks
}

// Work is the body of a worker: it reads commands until its input ends, and writes reports. The role is one of those that
// begin with Role. The error is also written as a report, unless ctx has ended.
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
	// Nobody waits for the reader: it may be blocked in a read that ends with the process.
	go readActions(ctx, stop, decoder, actions)
	err := runRole(ctx, role, &setup, actions, planted, writer)
	if err != nil && ctx.Err() == nil {
		writer.write(workerReport{Failed: err.Error()})
	}
	return err
}

// readActions passes actions on until the input ends, which is when whoever gives the commands is gone. It then stops the
// worker.
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

// runRole does a worker's work until ctx ends.
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
		return fmt.Errorf("no worker has the role %q, or its setup does not fit", role)
	}
}
