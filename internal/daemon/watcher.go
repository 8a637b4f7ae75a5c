package daemon

import (
	"context"
	"errors"
	"os"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/config"
	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/internal/certs"
	"harehook.dev/harehook/xds/transport"
)

// reloadInterval is the time between two looks at the file of nodes and at the certificates.
const reloadInterval = time.Second

// errNoNodes is why a list of nodes is not used.
var errNoNodes = errors.New("it names no node")

// watcher takes over changed lists of nodes, changed certificates and agreed configuration while the program runs. What
// cannot be used leaves the former in place.
type watcher struct {
	settings     *config.Controller
	server       *transport.Server
	certificates *certs.Reloader
	log          *zap.Logger
	// agreedChanged has one element while agreed overrides wait to be applied by run.
	agreedChanged chan struct{}
	// setNodesInEffect hands the nodes in effect to the server and the controller; tests replace it.
	setNodesInEffect func([]config.Node)

	// applyLock is held from reading the nodes in effect until they are applied: an older list must not overtake a newer
	// one.
	applyLock sync.Mutex

	stateLock       sync.Mutex     // guards what follows
	listed          []config.Node  // the list as read or received
	agreed          *config.Agreed // nil: nothing was agreed
	routingRevision uint64         // under which sidecars get the agreed routes
}

func newWatcher(settings *config.Controller, nodes []config.Node, server *transport.Server, certificates *certs.Reloader, log *zap.Logger) *watcher {
	w := &watcher{
		settings:      settings,
		server:        server,
		certificates:  certificates,
		log:           log,
		agreedChanged: make(chan struct{}, 1),
		listed:        nodes,
	}
	w.setNodesInEffect = w.setNodes
	return w
}

// run reloads files at each interval and at each signal, until ctx ends.
func (w *watcher) run(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	var lastFault string
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.agreedChanged:
			w.applyNodes()
			continue
		case <-reload:
		case <-ticker.C:
		}
		w.certificates.ReloadIfChanged(w.log)
		if w.settings.NodeService == "" {
			lastFault = w.reloadNodes(lastFault)
		}
	}
}

// reloadNodes reads the file of nodes and applies it if it has changed. It returns the text of the fault that the file
// has, empty if none; one that equals the last is not logged again.
func (w *watcher) reloadNodes(lastFault string) string {
	nodes, err := w.settings.ReadNodes()
	if err == nil && len(nodes) == 0 {
		err = errNoNodes
	}
	if err != nil {
		if err.Error() != lastFault {
			w.log.Error("list of nodes kept, the new one can't be used", zap.Error(err))
		}
		return err.Error()
	}
	if w.setListed(nodes) {
		w.log.Info("list of nodes read", zap.Int("nodes", len(nodes)))
		w.applyNodes()
	}
	return ""
}

// setListed replaces the list and reports whether it differs from the former.
func (w *watcher) setListed(nodes []config.Node) (changed bool) {
	w.stateLock.Lock()
	defer w.stateLock.Unlock()
	if slices.Equal(nodes, w.listed) {
		return false
	}
	w.listed = nodes
	return true
}

// acceptList takes a list that the service of nodes has sent.
func (w *watcher) acceptList(revision string, endpoints []transport.Endpoint) {
	var nodes []config.Node
	for _, endpoint := range endpoints {
		nodes = append(nodes, config.Node{
			Address: endpoint.Address,
			Endpoint: controller.Endpoint{
				Node:        endpoint.Name,
				Zone:        endpoint.Zone,
				MachineType: w.settings.Deployment.MachineTypes[0],
				State:       endpoint.State,
				Weight:      endpoint.Weight,
			},
		})
	}
	w.setListed(nodes)
	w.log.Info("list of nodes received", zap.String("version", revision), zap.Int("nodes", len(nodes)))
	w.applyNodes()
}

// applyNodes applies the list with the agreed overrides.
func (w *watcher) applyNodes() {
	w.applyLock.Lock()
	defer w.applyLock.Unlock()
	w.setNodesInEffect(w.nodesInEffect())
}

func (w *watcher) nodesInEffect() []config.Node {
	w.stateLock.Lock()
	defer w.stateLock.Unlock()
	if w.agreed == nil {
		return w.listed
	}
	return w.agreed.ApplyOverrides(w.listed)
}

// setNodes sets the server's addresses and the controller's endpoints.
func (w *watcher) setNodes(nodes []config.Node) {
	var addresses []transport.Node
	for _, node := range nodes {
		addresses = append(addresses, transport.Node{Name: node.Node, Zone: node.Zone, Address: node.Address})
	}
	w.server.AddAddresses(addresses)
	w.server.Controller.ReplaceEndpoints(endpointsOf(nodes))
}
