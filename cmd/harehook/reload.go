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

// reloadOnSignals reloads the configuration on each signal until ctx is done. The controller keeps its decisions, its
// learned state and the state of sent commands. If the new configuration is invalid, the old one stays in effect.
func reloadOnSignals(ctx context.Context, signals <-chan os.Signal, initial *configuration, server *transport.Server) {
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
			server.Log.Error("configuration reload failed, previous configuration stays in use", zap.Error(err))
			continue
		}
		config.applyLimits()
		relayMoved := server.Relay.Move(config.Relay.Address)
		discoveryMoved := server.Discovery.Move(config.Discovery)
		server.Log.Info("configuration reloaded", zap.Bool("relay_moved", relayMoved),
			zap.Bool("discovery_moved", discoveryMoved), zap.Strings("needs_restart", initial.keysNeedingRestart(config)))
	}
}

// reloadConfiguration loads the configuration. The signal may arrive while the file is still being written, so an
// invalid configuration is read again after reloadRetryInterval, at most reloadAttempts times in all.
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

// keysNeedingRestart returns the keys whose values differ between c and other and that take effect only after a
// restart.
func (c *configuration) keysNeedingRestart(other *configuration) (keys []string) {
	for _, field := range []struct {
		key   string
		equal bool
	}{
		{"name", c.Name == other.Name},
		{"listen", c.Listen == other.Listen},
		{"limits.sockets", c.Limits.Sockets == other.Limits.Sockets},
		{"settings", bytes.Equal(c.Settings, other.Settings)},
	} {
		if !field.equal {
			keys = append(keys, field.key)
		}
	}
	return keys
}
