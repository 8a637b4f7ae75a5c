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

const stopTimeout = 5 * time.Second // for the conductor to end after SIGTERM; then it is killed

var errStopped = errors.New("it was stopped")

// startConductor builds the conductor and starts it. The channel gets one error once it has ended; it is asked to end
// when the context does.
func startConductor(ctx context.Context, config string) (<-chan error, error) {
	folder, err := os.MkdirTemp("", "harehook-toy-")
	if err != nil {
		return nil, err
	}
	program := filepath.Join(folder, "harehook")
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "harehook.dev/harehook/cmd/harehook")
	if output, err := build.CombinedOutput(); err != nil {
		os.RemoveAll(folder)
		return nil, fmt.Errorf("go build: %w\n%s", err, output)
	}
	conductor := exec.CommandContext(ctx, program)
	conductor.Env = append(os.Environ(), "GW_CONFIG="+config)
	conductor.Stdout, conductor.Stderr = os.Stdout, os.Stderr
	conductor.Cancel = func() error { return conductor.Process.Signal(syscall.SIGTERM) }
	conductor.WaitDelay = stopTimeout
	if err := conductor.Start(); err != nil {
		os.RemoveAll(folder)
		return nil, err
	}
	ended := make(chan error, 1)
	go func() {
		defer close(ended)
		err := conductor.Wait()
		os.RemoveAll(folder)
		if err == nil {
			err = errStopped
		}
		ended <- err
	}()
	return ended, nil
}
