package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// watchSignals returns a context that is canceled on SIGTERM or an interrupt, and a channel that receives SIGHUPs.
//
// It must be called before anything else: a signal that arrives earlier during startup kills the program, which then
// appears to have failed.
func watchSignals() (ctx context.Context, reloads <-chan os.Signal, stop context.CancelFunc) {
	ctx, stop = signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	hangups := make(chan os.Signal, 1) // several pending SIGHUPs cause one reload
	signal.Notify(hangups, syscall.SIGHUP)
	return ctx, hangups, stop
}
