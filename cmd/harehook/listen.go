package main

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// listenTimeout is how long to wait for the previous process to release the address. The platform kills that
	// process no earlier than 0.7 s after SIGTERM.
	listenTimeout = 2 * time.Second

	listenRetryInterval = 20 * time.Millisecond
)

// listen listens on an address. If the previous process still uses the address, listen retries until listenTimeout.
// Both results are nil if ctx is done before the address is free.
func listen(ctx context.Context, address string) (net.Listener, error) {
	deadline := time.Now().Add(listenTimeout)
	for {
		listener, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return listener, err
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(listenRetryInterval):
		}
	}
}
