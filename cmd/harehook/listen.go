package main

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	listenTimeout       = 2 * time.Second // for the process before to end: it is killed 0.7 s after SIGTERM or later
	listenRetryInterval = 20 * time.Millisecond
)

// listen listens at an address. The process before may not have given it up yet: that is waited for. Both results are
// nil if ctx ends meanwhile.
func listen(ctx context.Context, address string) (net.Listener, error) {
	giveUp := time.Now().Add(listenTimeout)
	for {
		listener, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(giveUp) {
			return listener, err
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(listenRetryInterval):
		}
	}
}
