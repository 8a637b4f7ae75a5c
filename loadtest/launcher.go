package loadtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
)

// launcher starts a worker with the given role.
type launcher func(ctx context.Context, role string) (*worker, error)

// launchProcesses returns a launcher that runs each worker as a process. The program must call Work with its standard
// input and output; the role is its last argument.
func launchProcesses(program string, arguments ...string) launcher {
	return func(_ context.Context, role string) (*worker, error) {
		command := exec.Command(program, append(arguments, role)...)
		command.Stderr = os.Stderr
		input, err := command.StdinPipe()
		if err != nil {
			return nil, fmt.Errorf("open the input of a worker with the role %q: %w", role, err)
		}
		output, err := startWithOutput(command)
		if err != nil {
			return nil, fmt.Errorf("start a worker with the role %q: %w", role, err)
		}
		exited := make(chan struct{})
		go func() {
			command.Wait()
			close(exited)
		}()
		return &worker{
			role:     role,
			pid:      command.Process.Pid,
			commands: newLineWriter(input),
			input:    input,
			output:   output,
			kill:     func() { command.Process.Kill() },
			exited:   exited,
		}, nil
	}
}

// startWithOutput starts a command and returns its output. It creates its own pipe, because Wait closes the read end of
// StdoutPipe, possibly before all output is read.
func startWithOutput(command *exec.Cmd) (output io.Reader, err error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	command.Stdout = writer
	err = command.Start()
	writer.Close() // the process has its own copy
	if err != nil {
		reader.Close()
		return nil, err
	}
	return reader, nil
}

// launchGoroutines returns a launcher that runs each worker as a goroutine.
func launchGoroutines(planted hooks) launcher {
	return func(ctx context.Context, role string) (*worker, error) {
		ctx, kill := context.WithCancel(ctx)
		commandReader, commandWriter := io.Pipe()
		reportReader, reportWriter := io.Pipe()
		exited := make(chan struct{})
		go func() {
			defer close(exited)
			err := work(ctx, role, commandReader, reportWriter, planted)
			commandReader.Close()
			reportWriter.CloseWithError(errors.Join(io.EOF, err))
		}()
		go func() {
			<-ctx.Done()
			// Unblocks the worker's reads and writes.
			commandReader.Close()
			reportReader.Close()
		}()
		return &worker{
			role:     role,
			commands: newLineWriter(commandWriter),
			input:    commandWriter,
			output:   reportReader,
			kill:     kill,
			exited:   exited,
		}, nil
	}
}
