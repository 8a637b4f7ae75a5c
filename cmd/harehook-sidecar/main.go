// Command harehook-sidecar forwards an application's HTTP/1.1 requests by the routing configuration that it receives
// from a controller over xDS.
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
	"harehook.dev/harehook/internal/program"
	"harehook.dev/harehook/sidecar"
)

const (
	reloadInterval  = time.Second      // of certificates
	counterInterval = 10 * time.Second // between log messages with counters

	// controllerName is the server name that a controller's certificate must have.
	controllerName = "conductor"
)

func main() {
	program.Main("harehook-sidecar", "Forward HTTP/1.1 requests by routes received over xDS", "sidecar.kdl", run)
}

// run runs the sidecar until ctx is done. It returns an error only if the sidecar cannot start.
func run(ctx context.Context, configPath string) error {
	settings, err := config.ReadSidecar(configPath)
	if err != nil {
		return err
	}
	log := logging.New(settings.Name, os.Stderr)
	defer log.Sync()
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return err
	}
	certificates, err := certs.Load(settings.Certificates)
	if err != nil {
		return err
	}
	load := sidecar.NewLoadRecorder(time.Now())
	client := newClient(settings, certificates, load, log)
	proxy := &sidecar.Proxy{
		Listener:       listener,
		Table:          client.Table,
		ConnectTimeout: settings.ConnectTimeout,
		MaxConnections: settings.MaxConnections,
		Seed:           newSeed(settings.Name),
		Log:            log,
		Load:           load,
	}
	log.Info("started", zap.Stringer("listen", listener.Addr()), zap.Strings("conductors", settings.Controllers))
	var tasks sync.WaitGroup
	tasks.Go(func() { client.Run(ctx) })
	tasks.Go(func() { proxy.Run(ctx) })
	tasks.Go(func() { maintain(ctx, client, load, certificates, log) })
	tasks.Wait()
	log.Info("stopped")
	return nil
}

func newClient(settings *config.Sidecar, certificates *certs.Reloader, load *sidecar.LoadRecorder, log *zap.Logger) *sidecar.Client {
	cache := &sidecar.ResourceCache{
		ID:             settings.Name,
		Zone:           settings.Zone,
		Delta:          settings.Delta,
		MutatingRoutes: settings.MutatingRoutes,
		OnReject: func(r sidecar.RejectedResource) {
			log.Warn("resource rejected", zap.Stringer("kind", r.Type), zap.String("name", r.Name), zap.String("why", r.Reason))
		},
	}
	client := &sidecar.Client{Cache: cache, Controllers: settings.Controllers, Load: load, Log: log}
	if settings.StorePath != "" {
		client.Store = &sidecar.Store{Path: settings.StorePath}
	}
	if certificates != nil {
		client.Credentials = credentials.NewTLS(certificates.ClientConfig(controllerName))
	}
	return client
}

// newSeed returns a seed that differs between sidecars and between restarts of a sidecar.
func newSeed(name string) uint64 {
	sum := fnv.New64a()
	fmt.Fprint(sum, name, time.Now().UnixNano())
	return sum.Sum64()
}

// maintain periodically reloads changed certificates and logs counters until ctx is done.
func maintain(ctx context.Context, client *sidecar.Client, load *sidecar.LoadRecorder, certificates *certs.Reloader, log *zap.Logger) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastCounters := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		certificates.ReloadIfChanged(log)
		if time.Since(lastCounters) >= counterInterval {
			lastCounters = time.Now()
			logCounters(client, load, log)
		}
	}
}

func logCounters(client *sidecar.Client, load *sidecar.LoadRecorder, log *zap.Logger) {
	log.Info("counters",
		zap.Bool("connected", client.Connected.Load()),
		zap.Uint64("streams", client.Streams.Load()),
		zap.String("held", client.Describe()),
		zap.Uint64("answered", load.Completed.Load()),
		zap.Uint64("throttled", load.Rejected.Load()),
		zap.Uint64("failed", load.Failed.Load()),
		zap.Uint64("again", load.Retried.Load()))
}
