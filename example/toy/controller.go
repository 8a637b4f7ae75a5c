package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const stopTimeout = 5 * time.Second // for the controller to exit after SIGTERM, before it is killed

// errExited is returned when the controller exits without an error.
var errExited = errors.New("exit status 0")

// startController builds the controller and starts it. When the controller exits, the returned channel receives one
// error and is closed. When ctx ends, the controller receives SIGTERM.
func startController(ctx context.Context, config string) (<-chan error, error) {
	dir, err := os.MkdirTemp("", "harehook-toy-")
	if err != nil {
		return nil, err
	}
	program, err := buildController(ctx, dir)
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	controller := exec.CommandContext(ctx, program)
	controller.Env = append(os.Environ(), "GW_CONFIG="+config)
	controller.Stdout = os.Stdout
	controller.Stderr = os.Stderr
	controller.Cancel = func() error { return controller.Process.Signal(syscall.SIGTERM) }
	controller.WaitDelay = stopTimeout
	if err := controller.Start(); err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	exited := make(chan error, 1)
	go func() {
		defer close(exited)
		err := controller.Wait()
		if err == nil {
			err = errExited
		}
		exited <- errors.Join(err, os.RemoveAll(dir))
	}()
	return exited, nil
}

// buildController builds the controller in a directory and returns the path of the program.
func buildController(ctx context.Context, dir string) (program string, err error) {
	program = filepath.Join(dir, "harehook")
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "harehook.dev/harehook/cmd/harehook")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %w\n%s", err, output)
	}
	return program, nil
}
