package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// watchSignals returns a context that ends with SIGTERM or an interrupt, and a channel of SIGHUPs.
//
// It is called first of all: a signal that comes while the start is under way would kill the program, which then looks
// as if it had failed.
func watchSignals() (ctx context.Context, reloads <-chan os.Signal, stop context.CancelFunc) {
	ctx, stop = signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	hangups := make(chan os.Signal, 1) // one that waits stands for all that came since
	signal.Notify(hangups, syscall.SIGHUP)
	return ctx, hangups, stop
}
