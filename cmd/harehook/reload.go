package main

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/platform/transport"
)

const (
	reloadAttempts      = 5
	reloadRetryInterval = 100 * time.Millisecond
)

// reloadOnSignals reads the configuration again at each signal until ctx ends. What was decided, learned and sent so far
// lives on. A configuration that cannot be used leaves the old one in effect.
func reloadOnSignals(ctx context.Context, signals <-chan os.Signal, started *configuration, server *transport.Server) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		config, err := reloadConfiguration(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			server.Log.Error("configuration reload failed", zap.Error(err))
			continue
		}
		config.applyLimits()
		relayMoved := server.Relay.Move(config.Relay.Address)
		discoveryMoved := server.Discovery.Move(config.Discovery)
		server.Log.Info("configuration reloaded", zap.Bool("relay_moved", relayMoved),
			zap.Bool("discovery_moved", discoveryMoved), zap.Strings("needs_restart", started.restartKeys(config)))
	}
}

// reloadConfiguration reads the configuration. The signal may come while the file is still being written: one that
// cannot be used is read again after a while.
func reloadConfiguration(ctx context.Context) (config *configuration, err error) {
	for range reloadAttempts {
		config, err = loadConfiguration(os.Getenv(configurationVariable))
		if err == nil {
			return config, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(reloadRetryInterval):
		}
	}
	return nil, err
}

// restartKeys are the keys whose values differ between the configuration of the start and a new one, and which take
// effect only after a restart.
func (c *configuration) restartKeys(other *configuration) (keys []string) {
	for _, field := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == other.Name},
		{"listen", c.Listen == other.Listen},
		{"limits.sockets", c.Limits.Sockets == other.Limits.Sockets},
		{"settings", bytes.Equal(c.Settings, other.Settings)},
	} {
		if !field.same {
			keys = append(keys, field.key)
		}
	}
	return keys
}
