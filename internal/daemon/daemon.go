// Package daemon implements the program harehook-xds, a controller for installations without the platform. It serves
// sidecars over xDS. It runs alone, as a member of a group that agrees on configuration, or as a follower of a group.
//
// [Main] reads the configuration, connects the controller to the xDS server and runs both until the program is
// terminated. A watcher applies changed lists of nodes, changed certificates and agreed configuration.
package daemon

import (
	"context"
	"errors"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"go.uber.org/zap"

	"harehook.dev/harehook/config"
	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/internal/certs"
	"harehook.dev/harehook/internal/invariant"
	"harehook.dev/harehook/internal/logging"
	"harehook.dev/harehook/internal/program"
)

// Main runs the program under the given name. The default configuration file is the name with the suffix .kdl.
func Main(name string) {
	program.Main(name, "Run a controller that serves sidecars over xDS", name+".kdl", run)
}

// run runs the controller with the configuration file at path until ctx is canceled.
func run(ctx context.Context, path string) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	settings, err := config.ReadController(path)
	if err != nil {
		return err
	}
	nodes, err := settings.ReadNodes()
	if err != nil {
		return err
	}
	log := logging.New(settings.Name, os.Stderr)
	defer log.Sync()
	invariant.Watch(func(description string) { log.Error("invariant broken", zap.String("what", description)) })
	certificates, err := certs.Load(settings.Certificates)
	if err != nil {
		return err
	}
	server := newServer(settings, nodes, certificates, log)
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return err
	}
	server.Controller = controller.New(settings.Deployment, endpointsOf(nodes), server, log)
	log.Info("started", zap.Stringer("listen", listener.Addr()), zap.Int("nodes", len(nodes)), zap.Bool("secure", certificates != nil))

	w := newWatcher(settings, nodes, server, certificates, log)
	groupRole, err := newRole(settings, w, certificates, log)
	if err != nil {
		return err
	}
	return serve(ctx, w, groupRole, listener, reload)
}

// serve runs all parts until ctx is canceled, or until the role or the xDS server returns. It returns the errors of
// both.
func serve(ctx context.Context, w *watcher, groupRole role, listener net.Listener, reload <-chan os.Signal) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var parts sync.WaitGroup
	parts.Go(func() { w.server.Controller.Run(ctx) })
	parts.Go(func() { w.run(ctx, reload) })
	if w.settings.NodeService != "" {
		endpointWatcher := newEndpointWatcher(w)
		parts.Go(func() { endpointWatcher.Run(ctx) })
	}
	var roleErr error
	parts.Go(func() {
		roleErr = groupRole.run(ctx)
		stop() // a member must not continue without its log
	})
	serverErr := w.server.Run(ctx, newGatedListener(listener, groupRole.ready()))
	stop()
	parts.Wait()
	w.log.Info("stopped")
	return errors.Join(serverErr, roleErr)
}
