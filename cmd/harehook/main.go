package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync"

	"go.uber.org/zap"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/internal/invariant"
	"harehook.dev/harehook/internal/logging"
	"harehook.dev/harehook/platform/transport"
	"harehook.dev/harehook/platform/wire"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "harehook:", err)
		os.Exit(1)
	}
}

// run runs the controller until SIGTERM. It returns an error if the controller cannot start.
func run() error {
	ctx, reloads, stop := watchSignals()
	defer stop()
	config, err := loadConfiguration(os.Getenv(configurationVariable))
	switch {
	case ctx.Err() != nil:
		return nil
	case err != nil:
		return err
	}
	config.applyLimits()
	config.deployment.Planner.Seed, err = parseSeed(config.Seed)
	if err != nil {
		return err
	}
	listener, err := listen(ctx, config.Listen)
	if listener == nil {
		return err // nil if ctx is done
	}
	defer listener.Close()
	log := logging.New(config.Name, os.Stdout)
	defer log.Sync()
	invariant.Watch(func(description string) { log.Error("invariant broken", zap.String("what", description)) })
	serve(ctx, config, listener, reloads, log)
	return nil
}

// serve runs the controller and its transport until ctx is done.
func serve(ctx context.Context, config *configuration, listener net.Listener, reloads <-chan os.Signal, log *zap.Logger) {
	endpoints := parseKnownEndpoints(config.Known, log)
	commands := transport.NewCommandSender()
	ctrl := controller.New(config.deployment, endpoints, commands, log)
	server := &transport.Server{
		Controller:     ctrl,
		Commands:       commands,
		Listener:       listener,
		Relay:          transport.NewParty(config.Relay.Address),
		Discovery:      transport.NewParty(config.Discovery),
		MaxSockets:     config.Limits.Sockets,
		MaxMemoryBytes: int64(config.Limits.MemoryMB * bytesPerMB),
		Log:            log,
	}
	log.Info("started", zap.String("listen", listener.Addr().String()), zap.Int("known", len(endpoints)))
	var tasks sync.WaitGroup
	tasks.Go(func() { ctrl.Run(ctx) })
	tasks.Go(func() { server.Run(ctx) })
	tasks.Go(func() { reloadOnSignals(ctx, reloads, config, server) })
	tasks.Wait()
	log.Info("stopped")
}

// parseKnownEndpoints decodes the endpoint list of the configuration. The list is optional and may be out of date, so a
// list that cannot be decoded is logged and ignored: discovery provides the current one.
func parseKnownEndpoints(text json.RawMessage, log *zap.Logger) []controller.Endpoint {
	if len(text) == 0 {
		return nil
	}
	var list wire.EndpointList
	if err := json.Unmarshal(text, &list); err != nil {
		log.Warn("known endpoint list ignored", zap.Error(err))
	}
	return list.Endpoints
}
