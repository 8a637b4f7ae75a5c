// Package daemon is the program harehook-xds: a controller for installations without the platform. It serves sidecars
// over xDS and is alone, a member of a group that agrees on configuration, or a follower of one.
package daemon

import (
	"context"
	"errors"
	"maps"
	"net"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/credentials"

	"harehook.dev/harehook/config"
	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/internal/certs"
	"harehook.dev/harehook/internal/invariant"
	"harehook.dev/harehook/internal/logging"
	"harehook.dev/harehook/records"
	"harehook.dev/harehook/xds"
	front "harehook.dev/harehook/xds/transport"
)

const lookEvery = time.Second // for changes of the list of nodes and of the keys

// Main runs the program under a name, which is also that of its default configuration.
func Main(name string) {
	config.Main(name, "A controller that serves sidecars over xDS", name+".kdl", run)
}

func run(ctx context.Context, path string) error {
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	told, err := config.ReadController(path)
	if err != nil {
		return err
	}
	nodes, err := told.ReadNodes()
	if err != nil {
		return err
	}
	log := logging.New(told.Name, os.Stderr)
	defer log.Sync()
	invariant.Watch(func(what string) { log.Error("invariant broken", zap.String("what", what)) })
	held, err := certs.Load(told.Certificates)
	if err != nil {
		return err
	}
	serving := newFront(told, nodes, held, log)
	listener, err := net.Listen("tcp", told.Listen)
	if err != nil {
		return err
	}
	serving.Controller = controller.New(told.Deployment, entries(nodes), serving, log)
	log.Info("started", zap.Stringer("listen", listener.Addr()), zap.Int("nodes", len(nodes)), zap.Bool("secure", held != nil))

	w := &watcher{told: told, listed: nodes, serving: serving, secure: held, log: log, poke: make(chan struct{}, 1)}
	w.out = w.hear
	member, follows, err := groupRoles(told, w, held, log)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var parts sync.WaitGroup
	if follows != nil {
		parts.Go(func() { follows.run(ctx) })
	}
	parts.Go(func() { serving.Controller.Run(ctx) })
	parts.Go(func() { w.run(ctx, again) })
	if told.NodeService != "" {
		service := nodeService(told, w, held, log)
		parts.Go(func() { service.Run(ctx) })
	}
	var fault error
	if member != nil {
		parts.Go(func() {
			fault = member.run(ctx, w)
			stop() // without its log this conductor must not go on as a member
		})
	}
	served := serving.Run(ctx, listener)
	stop()
	parts.Wait()
	log.Info("stopped")
	return errors.Join(served, fault)
}

// groupRoles prepares this conductor's part in a group: a member, a follower, or neither, which are nil then.
func groupRoles(told *config.Controller, w *watcher, held *certs.Store, log *zap.Logger) (*member, *follower, error) {
	if told.Group != nil {
		joined, err := join(told.Group, w, held, log)
		return joined, nil, err
	}
	if told.Follower == nil {
		return nil, nil, nil
	}
	follows, err := newFollower(told, w, held, log)
	if err != nil {
		return nil, nil, err
	}
	w.serving.RegisterServices = follows.client.Register
	return nil, follows, nil
}

// newFront makes the front that serves sidecars, which knows where the nodes are. Its core is set by the caller.
func newFront(told *config.Controller, nodes []config.Node, held *certs.Store, log *zap.Logger) *front.Server {
	serving := front.NewServer(xds.NewCompiler(told.Routes, told.ConnectTimeout), told.MaxSidecars, log)
	serving.ReportInterval = told.ReportInterval
	if held != nil {
		serving.Credentials = credentials.NewTLS(held.ServerConfig())
	}
	for _, n := range nodes {
		serving.Streams.Compiler.SetAddress(n.Node, n.Zone, n.Address)
	}
	return serving
}

// nodeService follows the service that lists the nodes.
func nodeService(told *config.Controller, w *watcher, held *certs.Store, log *zap.Logger) *front.EndpointWatcher {
	return &front.EndpointWatcher{Address: told.NodeService, Cluster: told.Cluster, Name: told.Name, KnowsZone: w.serving.Controller.KnowsZone, Accepted: w.listedBy, Log: log,
		Credentials: serviceKeys(held)}
}

// serviceKeys are what the service that lists nodes is met with.
func serviceKeys(held *certs.Store) credentials.TransportCredentials {
	if held == nil {
		return nil
	}
	return credentials.NewTLS(held.ClientConfig("conductor"))
}

func entries(nodes []config.Node) (out []controller.Endpoint) {
	for _, n := range nodes {
		out = append(out, n.Endpoint)
	}
	return out
}

// watcher takes a changed list of nodes, changed keys and agreed versions over. A list with a fault leaves the old one
// in place.
type watcher struct {
	told    *config.Controller
	serving *front.Server
	secure  *certs.Store
	log     *zap.Logger
	poke    chan struct{}       // an agreed version came
	out     func([]config.Node) // has the core hear of nodes

	telling sync.Mutex // from looking at what is in force until it is told: an older list must not overtake a newer one
	lock    sync.Mutex
	listed  []config.Node
	agreed  *config.Agreed
	number  uint64 // under which sidecars are told the agreed routes
}

// run looks steadily and at SIGHUP until ctx ends.
func (w *watcher) run(ctx context.Context, again <-chan os.Signal) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	failed := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-again:
		case <-tick.C:
		case <-w.poke:
			w.tell()
			continue
		}
		w.secure.ReloadIfChanged(w.log)
		if w.told.NodeService != "" {
			continue // the service tells
		}
		nodes, err := w.told.ReadNodes()
		if err == nil && len(nodes) == 0 {
			err = errors.New("it names no node")
		}
		if err != nil {
			if failed != err.Error() {
				w.log.Error("list of nodes kept, the new one can't be used", zap.Error(err))
			}
			failed = err.Error()
			continue
		}
		failed = ""
		if w.lock.Lock(); slices.Equal(nodes, w.listed) {
			w.lock.Unlock()
			continue
		}
		w.listed = nodes
		w.lock.Unlock()
		w.log.Info("list of nodes read", zap.Int("nodes", len(nodes)))
		w.tell()
	}
}

// listedBy takes a list that a service keeps.
func (w *watcher) listedBy(version string, nodes []front.Endpoint) {
	var list []config.Node
	for _, n := range nodes {
		list = append(list, config.Node{Address: n.Address, Endpoint: controller.Endpoint{Node: n.Name, Zone: n.Zone, MachineType: w.told.Deployment.MachineTypes[0],
			State: n.State, Weight: n.Weight}})
	}
	w.lock.Lock()
	w.listed = list
	w.lock.Unlock()
	w.log.Info("list of nodes told", zap.String("version", version), zap.Int("nodes", len(list)))
	w.tell()
}

// tell tells of the nodes as the list and the agreed overrides have them.
func (w *watcher) tell() {
	w.telling.Lock()
	defer w.telling.Unlock()
	w.lock.Lock()
	nodes := w.listed
	if w.agreed != nil {
		nodes = w.agreed.ApplyOverrides(nodes)
	}
	w.lock.Unlock()
	w.out(nodes)
}

func (w *watcher) hear(nodes []config.Node) {
	var places []front.Node
	for _, n := range nodes {
		places = append(places, front.Node{Name: n.Node, Zone: n.Zone, Address: n.Address})
	}
	w.serving.SetAddresses(places)
	w.serving.Controller.ReplaceEndpoints(entries(nodes))
}

// fits says why records that are proposed can't be used here.
func (w *watcher) fits(proposed []*records.Record) error {
	a, err := config.AgreedFromRecords(proposed)
	if err != nil {
		return err
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.told.ValidateProposal(a, w.listed)
}

// take has an agreed version count. What was agreed is in force also where this conductor's own list has changed since
// so that it no longer fits: it says so and goes on.
func (w *watcher) take(agreed records.View) {
	a, err := config.AgreedFromRecords(agreed.Records)
	if err != nil {
		w.log.Error("agreed version can't be read", zap.Uint64("number", agreed.Revision), zap.Error(err))
		return
	}
	w.lock.Lock()
	if err := w.told.ValidateProposal(a, w.listed); err != nil {
		w.log.Error("agreed version does not fit this conductor", zap.Uint64("number", agreed.Revision), zap.Error(err))
	}
	w.lock.Unlock()
	w.publish(agreed.RoutingRevision, a)
}

// publish has routes and overrides of records count if they differ from those that do, and tells whether they did. Most
// revisions touch neither. Without a route the conductor's own stay. Number is the routing revision: it is the same at all
// conductors of the same scope, whatever else each has heard of since. Sidecars refuse routes of a lower number than they
// hold, also from another conductor.
func (w *watcher) publish(number uint64, agreed *config.Agreed) bool {
	w.lock.Lock()
	was, numberWas := w.agreed, w.number
	w.agreed, w.number = agreed, number
	w.lock.Unlock()
	if was == nil {
		was = &config.Agreed{}
	}
	routes := len(agreed.Routes) > 0 && (number != numberWas || !slices.Equal(agreed.Routes, was.Routes))
	overrides := !maps.Equal(agreed.Overrides, was.Overrides)
	if routes {
		w.serving.SetAgreedRoutes(number, agreed.Routes)
	}
	if overrides {
		select {
		case w.poke <- struct{}{}:
		default: // run is to tell already
		}
	}
	return routes || overrides
}
