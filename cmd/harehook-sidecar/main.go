// Command harehook-sidecar carries an application's calls by what a conductor decided and streamed to it.
package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/credentials"

	"harehook.dev/harehook/config"
	"harehook.dev/harehook/internal/certs"
	"harehook.dev/harehook/internal/logging"
	"harehook.dev/harehook/sidecar"
)

const (
	reloadInterval  = time.Second      // for changed keys
	counterInterval = 10 * time.Second // between two lines of counters
)

func main() {
	config.Main("harehook-sidecar", "Carries HTTP/1.1 calls by accepted versions", "sidecar.kdl", run)
}

func run(ctx context.Context, path string) error {
	told, err := config.ReadSidecar(path)
	if err != nil {
		return err
	}
	log := logging.New(told.Name, os.Stderr)
	defer log.Sync()
	listener, err := net.Listen("tcp", told.Listen)
	if err != nil {
		return err
	}
	report := sidecar.NewLoadRecorder(time.Now())
	link := &sidecar.Client{Controllers: told.Controllers, Load: report, Log: log,
		Cache: &sidecar.ResourceCache{ID: told.Name, Zone: told.Zone, Delta: told.Delta, MutatingRoutes: told.MutatingRoutes,
			OnReject: func(r sidecar.RejectedResource) {
				log.Warn("version refused", zap.Stringer("kind", r.Type), zap.String("name", r.Name), zap.String("why", r.Reason))
			}}}
	if told.StorePath != "" {
		link.Store = &sidecar.Store{Path: told.StorePath}
	}
	held, err := certs.Load(told.Certificates)
	if err != nil {
		return err
	}
	if held != nil {
		link.Credentials = credentials.NewTLS(held.ClientConfig("conductor"))
	}
	seed := fnv.New64a()
	fmt.Fprint(seed, told.Name, time.Now().UnixNano())
	plane := &sidecar.Proxy{Listener: listener, Table: link.Table, ConnectTimeout: told.ConnectTimeout, MaxConnections: told.MaxConnections, Seed: seed.Sum64(),
		Log: log, Load: report}
	log.Info("started", zap.Stringer("listen", listener.Addr()), zap.Strings("conductors", told.Controllers))
	var parts sync.WaitGroup
	parts.Go(func() { link.Run(ctx) })
	parts.Go(func() { plane.Run(ctx) })
	parts.Go(func() { maintain(ctx, link, report, held, log) })
	parts.Wait()
	log.Info("stopped")
	return nil
}

// maintain logs counters and takes changed keys over until ctx ends.
func maintain(ctx context.Context, link *sidecar.Client, report *sidecar.LoadRecorder, held *certs.Store, log *zap.Logger) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		held.ReloadIfChanged(log)
		if time.Since(last) >= counterInterval {
			last = time.Now()
			log.Info("counters", zap.Bool("connected", link.Connected.Load()), zap.Uint64("streams", link.Streams.Load()),
				zap.String("held", link.Describe()), zap.Uint64("answered", report.Completed.Load()),
				zap.Uint64("throttled", report.Throttled.Load()), zap.Uint64("failed", report.Failed.Load()),
				zap.Uint64("again", report.Retried.Load()))
		}
	}
}
