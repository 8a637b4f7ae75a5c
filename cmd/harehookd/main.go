// Command harehookd is a conductor for installations other than the platform: it serves sidecars over xDS.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"google.golang.org/grpc/credentials"

	"harehook.dev/harehook/conductor"
	front "harehook.dev/harehook/front/xds"
	"harehook.dev/harehook/install"
	"harehook.dev/harehook/internal/invariant"
	"harehook.dev/harehook/internal/keys"
	"harehook.dev/harehook/xds"
)

const lookEvery = time.Second // for changes of the list of nodes and of the keys

func main() {
	var config string
	root := &cobra.Command{Use: "harehookd", Short: "A conductor that serves sidecars over xDS", SilenceUsage: true,
		SilenceErrors: true, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return run(c.Context(), config) }}
	root.Flags().StringVar(&config, "config", "harehookd.kdl", "the configuration")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "harehookd:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, path string) error {
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	told, err := install.ReadConductor(path)
	if err != nil {
		return err
	}
	nodes, err := told.ReadNodes()
	if err != nil {
		return err
	}
	log, err := install.Logger(told.Name)
	if err != nil {
		return err
	}
	defer log.Sync()
	invariant.Watch(func(what string) { log.Error("invariant broken", zap.String("what", what)) })
	var held *keys.Keys
	serving := front.New(xds.NewCompiler(told.Routes, told.Connect), told.Sidecars, log)
	if told.Keys.Certificate != "" {
		if held, err = keys.Load(keys.Files(told.Keys)); err != nil {
			return err
		}
		serving.Secure = credentials.NewTLS(held.Server())
	}
	listener, err := net.Listen("tcp", told.Listen)
	if err != nil {
		return err
	}
	for _, n := range nodes {
		serving.Server.Compiler.Place(n.Node, n.Zone, n.Address)
	}
	serving.Core = conductor.New(told.Deployment, entries(nodes), serving, log)
	serving.Report = told.Report
	log.Info("started", zap.Stringer("listen", listener.Addr()), zap.Int("nodes", len(nodes)), zap.Bool("secure", held != nil))

	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var parts sync.WaitGroup
	parts.Go(func() { serving.Core.Run(ctx) })
	parts.Go(func() { watch(ctx, again, told, nodes, serving, held, log) })
	fault := serving.Run(ctx, listener)
	stop()
	parts.Wait()
	log.Info("stopped")
	return fault
}

func entries(nodes []install.Node) (out []conductor.Entry) {
	for _, n := range nodes {
		out = append(out, n.Entry)
	}
	return out
}

// watch takes a changed list of nodes and changed keys over, looked for steadily and at SIGHUP. A list with a fault
// leaves the old one in place.
func watch(ctx context.Context, again <-chan os.Signal, told *install.Conductor, held []install.Node, serving *front.Front,
	secure *keys.Keys, log *zap.Logger) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	var failed error
	for {
		select {
		case <-ctx.Done():
			return
		case <-again:
		case <-tick.C:
		}
		if secure != nil {
			if changed, err := secure.Reload(); err != nil {
				log.Error("keys kept, the new ones can't be used", zap.Error(err))
			} else if changed {
				log.Info("new keys", zap.Time("until", secure.Until()))
			}
		}
		nodes, err := told.ReadNodes()
		if err != nil {
			if failed == nil || failed.Error() != err.Error() {
				log.Error("list of nodes kept, the new one can't be used", zap.Error(err))
			}
			failed = err
			continue
		}
		failed = nil
		if slices.Equal(nodes, held) {
			continue
		}
		if len(nodes) == 0 {
			failed = errors.New("it names no node")
			log.Error("list of nodes kept, the new one can't be used", zap.Error(failed))
			continue
		}
		held = nodes
		var places []front.Node
		for _, n := range nodes {
			places = append(places, front.Node{Name: n.Node, Zone: n.Zone, Address: n.Address})
		}
		serving.Place(places)
		serving.Core.ListWhole(entries(nodes))
		log.Info("list of nodes read", zap.Int("nodes", len(nodes)))
	}
}
