// Command harehook is one conductor on sockets.
package main

import (
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

	"go.uber.org/zap"

	"harehook.dev/harehook/conductor"
	"harehook.dev/harehook/front"
	"harehook.dev/harehook/internal/invariant"
	"harehook.dev/harehook/protocol"
	"harehook.dev/harehook/site"
)

const (
	memoryPart   = 0.7  // of the memory limit at which the collector works harder: the rest is not the heap's
	memoryUsual  = 192  // MB, where the configuration states no limit
	socketsUsual = 1024 // descriptors, likewise
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
	Known    *protocol.List  `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "harehook:", err)
		os.Exit(1)
	}
}

func run() error {
	told, err := read(os.Getenv("GW_CONFIG"))
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(told.Limits.Cores))))
	debug.SetMemoryLimit(int64(memoryPart * told.Limits.MemoryMB * 1e6))
	deployment, err := site.Decode(told.Settings)
	if err != nil {
		return err
	}
	if deployment.Site.Seed, err = seed(told.Seed); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", told.Listen)
	if err != nil {
		return err
	}
	defer listener.Close()
	log, err := logger(told.Name)
	if err != nil {
		return err
	}
	defer log.Sync()
	invariant.Watch(func(what string) { log.Error("invariant broken", zap.String("what", what)) })

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var known []conductor.Entry
	if told.Known != nil {
		known = told.Known.Entries
	}
	orders := front.NewOrders()
	core := conductor.New(deployment, known, orders, log)
	serving := front.Front{Core: core, Orders: orders, Listener: listener, Relay: told.Store.Address,
		Discovery: told.Discovery, Sockets: told.Limits.Sockets, Log: log}
	log.Info("started", zap.String("listen", listener.Addr().String()), zap.Int("known", len(known)))

	var parts sync.WaitGroup
	parts.Go(func() { core.Run(ctx) })
	parts.Go(func() { serving.Run(ctx) })
	parts.Wait()
	log.Info("stopped")
	return nil
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

// logger writes plain lines to standard output, the first few of a kind each second.
func logger(name string) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.Encoding = "console"
	c.OutputPaths = []string{"stdout"}
	c.Sampling = &zap.SamplingConfig{Initial: 3, Thereafter: 1000}
	c.DisableCaller, c.DisableStacktrace = true, true
	c.EncoderConfig = zap.NewDevelopmentEncoderConfig()
	log, err := c.Build()
	if err != nil {
		return nil, err
	}
	return log.Named(name), nil
}
