package loadtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
)

// launcher starts a worker of a role.
type launcher func(ctx context.Context, role string) (*worker, error)

// launchProcesses starts each worker as a process of a program, which has to call Work with its input and output.
func launchProcesses(program string, arguments ...string) launcher {
	return func(_ context.Context, role string) (*worker, error) {
		command := exec.Command(program, append(arguments, role)...)
		command.Stderr = os.Stderr
		input, err := command.StdinPipe()
		if err != nil {
			return nil, fmt.Errorf("input of a worker (%s): %w", role, err)
		}
		output, err := startWithOutput(command)
		if err != nil {
			return nil, fmt.Errorf("start a worker (%s): %w", role, err)
		}
		ended := make(chan struct{})
		go func() {
			command.Wait()
			close(ended)
		}()
		return &worker{
			role:     role,
			pid:      command.Process.Pid,
			commands: newLineWriter(input),
			input:    input,
			output:   output,
			kill:     func() { command.Process.Kill() },
			ended:    ended,
		}, nil
	}
}

// startWithOutput starts a command and returns its output. The pipe is our own: Wait would close the reading end of
// StdoutPipe before all of it is read.
func startWithOutput(command *exec.Cmd) (output io.Reader, err error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	command.Stdout = writer
	err = command.Start()
	writer.Close() // the process has its own
	if err != nil {
		reader.Close()
		return nil, err
	}
	return reader, nil
}

// launchGoroutines starts each worker as a goroutine.
func launchGoroutines(planted hooks) launcher {
	return func(ctx context.Context, role string) (*worker, error) {
		ctx, kill := context.WithCancel(ctx)
		commandReader, commandWriter := io.Pipe()
		reportReader, reportWriter := io.Pipe()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			err := work(ctx, role, commandReader, reportWriter, planted)
			commandReader.Close()
			reportWriter.CloseWithError(errors.Join(io.EOF, err))
		}()
		go func() {
			<-ctx.Done()
			// Reads and writes of the worker end with it.
			commandReader.Close()
			reportReader.Close()
		}()
		return &worker{
			role:     role,
			commands: newLineWriter(commandWriter),
			input:    commandWriter,
			output:   reportReader,
			kill:     kill,
			ended:    ended,
		}, nil
	}
}
