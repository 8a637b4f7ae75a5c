// Command harehook is one conductor on sockets.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/internal/invariant"
	"harehook.dev/harehook/internal/logging"
	"harehook.dev/harehook/platform/transport"
	"harehook.dev/harehook/platform/wire"
	"harehook.dev/harehook/settings"
)

const (
	memoryPart   = 0.7  // of the memory limit at which the collector works harder: the rest is not the heap's
	memoryUsual  = 192  // MB, where the configuration states no limit
	socketsUsual = 1024 // descriptors, likewise
	bytesPerMB   = 1e6

	readTries = 5                      // times that a new configuration is read until it can be used
	readPause = 100 * time.Millisecond // between these

	listenWithin = 2 * time.Second       // for the process before to end: it is killed 0.7 s after SIGTERM or later
	listenPause  = 20 * time.Millisecond // between two tries
)

// start is what the platform tells a conductor.
type start struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Store struct {
		Address string `json:"address"`
	} `json:"store"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`

	deployment settings.Deployment // what the settings tell
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "harehook:", err)
		os.Exit(1)
	}
}

func run() error {
	// First of all: a signal that comes while the start is under way must not kill the program.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	again := make(chan os.Signal, 1) // one that waits stands for all that came since
	signal.Notify(again, syscall.SIGHUP)
	told, err := read(os.Getenv("GW_CONFIG"))
	switch {
	case ctx.Err() != nil:
		return nil
	case err != nil:
		return err
	}
	told.limit()
	deployment := told.deployment
	if deployment.Planner.Seed, err = seed(told.Seed); err != nil {
		return err
	}
	listener, err := listen(ctx, told.Listen)
	if listener == nil {
		return err // nil if we are told to end
	}
	defer listener.Close()
	log := logging.New(told.Name, os.Stdout)
	defer log.Sync()
	invariant.Watch(func(what string) { log.Error("invariant broken", zap.String("what", what)) })

	var known wire.EndpointList // it may be old, and a start can do without
	if err := json.Unmarshal(told.Known, &known); err != nil && len(told.Known) > 0 {
		log.Warn("the list as last known is left out", zap.Error(err))
	}
	orders := transport.NewCommandSender()
	core := controller.New(deployment, known.Endpoints, orders, log)
	serving := transport.Server{Controller: core, Commands: orders, Listener: listener, MaxSockets: told.Limits.Sockets,
		MaxMemoryBytes: int64(told.Limits.MemoryMB * bytesPerMB), Log: log,
		Relay: transport.NewParty(told.Store.Address), Discovery: transport.NewParty(told.Discovery)}
	log.Info("started", zap.String("listen", listener.Addr().String()), zap.Int("known", len(known.Endpoints)))

	var parts sync.WaitGroup
	parts.Go(func() { core.Run(ctx) })
	parts.Go(func() { serving.Run(ctx) })
	parts.Go(func() { reload(ctx, again, told, &serving) })
	parts.Wait()
	log.Info("stopped")
	return nil
}

// listen takes the address. The process before may be about to give it up: that is waited for.
func listen(ctx context.Context, address string) (listener net.Listener, err error) {
	for until := time.Now().Add(listenWithin); ; {
		listener, err = net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return listener, err
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(listenPause):
		}
	}
}

// limit has the runtime keep to the limits.
func (s *start) limit() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(s.Limits.Cores))))
	debug.SetMemoryLimit(int64(memoryPart * s.Limits.MemoryMB * bytesPerMB))
}

// reload reads the configuration again at each signal until ctx ends. What was decided, learned and ordered so far
// lives on; a configuration that can't be used leaves the old one in place.
func reload(ctx context.Context, again <-chan os.Signal, held *start, serving *transport.Server) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-again:
		}
		told, err := readAgain(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			serving.Log.Error("configuration kept, the new one can't be used", zap.Error(err))
			continue
		}
		told.limit()
		serving.Log.Info("configuration read again",
			zap.Bool("relay moved", serving.Relay.Move(told.Store.Address)),
			zap.Bool("discovery moved", serving.Discovery.Move(told.Discovery)),
			zap.Strings("needs a restart", held.fixed(told)))
	}
}

// readAgain reads the configuration. The signal may come while the file is still being written: what can't be used
// is read once more after a while.
func readAgain(ctx context.Context) (told *start, err error) {
	for range readTries {
		if told, err = read(os.Getenv("GW_CONFIG")); err == nil {
			return told, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(readPause):
		}
	}
	return nil, err
}

// fixed names what is other in told and only counts at a start.
func (s *start) fixed(told *start) (names []string) {
	for _, part := range []struct {
		name string
		same bool
	}{
		{"name", s.Name == told.Name},
		{"listen", s.Listen == told.Listen},
		{"limits.sockets", s.Limits.Sockets == told.Limits.Sockets},
		{"settings", bytes.Equal(s.Settings, told.Settings)},
	} {
		if !part.same {
			names = append(names, part.name)
		}
	}
	return names
}

// read reads the configuration; the variables of the platform count where it lacks something.
func read(path string) (*start, error) {
	if path == "" {
		return nil, errors.New("GW_CONFIG names no configuration")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var s start
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, v := range []struct {
		into     *string
		variable string
	}{{&s.Name, "GW_NAME"}, {&s.Listen, "GW_LISTEN"}, {&s.Discovery, "GW_DISCOVERY"}} {
		if *v.into == "" {
			*v.into = os.Getenv(v.variable)
		}
	}
	switch {
	case s.Listen == "":
		return nil, fmt.Errorf("%s: no address to listen on", path)
	case s.Discovery == "":
		return nil, fmt.Errorf("%s: no address of discovery", path)
	case s.Store.Address == "":
		return nil, fmt.Errorf("%s: no address of the relay", path)
	case len(s.Settings) == 0:
		return nil, fmt.Errorf("%s: no settings", path)
	}
	for _, address := range []string{s.Discovery, s.Store.Address} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	if s.deployment, err = settings.Decode(s.Settings); err != nil {
		return nil, err
	}
	if s.Limits.MemoryMB <= 0 {
		s.Limits.MemoryMB = memoryUsual
	}
	if s.Limits.Sockets <= 0 {
		s.Limits.Sockets = socketsUsual
	}
	return &s, nil
}

// seed reads the configuration's hexadecimal seed; another text counts by its hash.
func seed(text string) (uint64, error) {
	if text == "" {
		return 0, errors.New("no seed")
	}
	if v, err := strconv.ParseUint(text, 16, 64); err == nil {
		return v, nil
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64(), nil
}
