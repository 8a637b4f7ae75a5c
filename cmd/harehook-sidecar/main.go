// Command harehook-sidecar carries an application's calls by what a conductor decided and streamed to it.
package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"google.golang.org/grpc/credentials"

	"harehook.dev/harehook/install"
	"harehook.dev/harehook/internal/keys"
	"harehook.dev/harehook/sidecar"
)

const (
	lookEvery = time.Second      // for changed keys
	countEach = 10 * time.Second // between two lines of counters
)

func main() {
	var config string
	root := &cobra.Command{Use: "harehook-sidecar", Short: "Carries HTTP/1.1 calls by accepted versions", SilenceUsage: true,
		SilenceErrors: true, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return run(c.Context(), config) }}
	root.Flags().StringVar(&config, "config", "sidecar.kdl", "the configuration")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "harehook-sidecar:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, path string) error {
	told, err := install.ReadSidecar(path)
	if err != nil {
		return err
	}
	log, err := install.Logger(told.Name)
	if err != nil {
		return err
	}
	defer log.Sync()
	listener, err := net.Listen("tcp", told.Listen)
	if err != nil {
		return err
	}
	report := sidecar.NewReport(time.Now())
	link := &sidecar.Link{Conductors: told.Conductors, Report: report, Log: log,
		Holder: &sidecar.Holder{ID: told.Name, Zone: told.Zone, Delta: told.Delta, Mutating: told.Mutating,
			OnRefuse: func(r sidecar.Refused) {
				log.Warn("version refused", zap.Stringer("kind", r.Kind), zap.String("name", r.Name), zap.String("why", r.Why))
			}}}
	if told.Keep != "" {
		link.Store = &sidecar.Store{Path: told.Keep}
	}
	var held *keys.Keys
	if told.Keys.Certificate != "" {
		if held, err = keys.Load(keys.Files(told.Keys)); err != nil {
			return err
		}
		link.Secure = credentials.NewTLS(held.Client("conductor"))
	}
	seed := fnv.New64a()
	fmt.Fprint(seed, told.Name, time.Now().UnixNano())
	plane := &sidecar.Plane{Listener: listener, Table: link.Table, Connect: told.Connect, Most: told.Calls, Seed: seed.Sum64(),
		Log: log, Report: report}
	log.Info("started", zap.Stringer("listen", listener.Addr()), zap.Strings("conductors", told.Conductors))
	var parts sync.WaitGroup
	parts.Go(func() { link.Run(ctx) })
	parts.Go(func() { plane.Run(ctx) })
	parts.Go(func() { look(ctx, link, report, held, log) })
	parts.Wait()
	log.Info("stopped")
	return nil
}

// look logs counters and takes changed keys over until ctx ends.
func look(ctx context.Context, link *sidecar.Link, report *sidecar.Report, held *keys.Keys, log *zap.Logger) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if held != nil {
			if changed, err := held.Reload(); err != nil {
				log.Error("keys kept, the new ones can't be used", zap.Error(err))
			} else if changed {
				log.Info("new keys", zap.Time("until", held.Until()))
			}
		}
		if time.Since(last) >= countEach {
			last = time.Now()
			log.Info("counters", zap.Bool("connected", link.Connected.Load()), zap.Uint64("streams", link.Streams.Load()),
				zap.String("held", link.Describe()), zap.Uint64("answered", report.Answered.Load()),
				zap.Uint64("throttled", report.Throttled.Load()), zap.Uint64("failed", report.Failed.Load()),
				zap.Uint64("again", report.Again.Load()))
		}
	}
}
