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

// reloadInterval is the interval at which the file of nodes and the certificates are checked for changes.
const reloadInterval = time.Second

// errNoNodes is logged when the file of nodes lists none; the previous list stays in effect.
var errNoNodes = errors.New("the list contains no nodes")

// watcher applies changed lists of nodes, changed certificates and agreed configuration while the program runs. If a
// new version cannot be used, the previous one stays in effect.
type watcher struct {
	settings     *config.Controller
	server       *transport.Server
	certificates *certs.Reloader
	log          *zap.Logger
	// pendingOverrides contains one element while changed overrides are waiting for run to apply them.
	pendingOverrides chan struct{}
	// setEffectiveNodes sets the nodes of the server and the controller; tests replace it.
	setEffectiveNodes func([]config.Node)

	// applyLock is locked from reading the nodes in effect until they are applied, so that an older list cannot
	// replace a newer one.
	applyLock sync.Mutex

	stateLock       sync.Mutex     // guards the fields below
	listedNodes     []config.Node  // the list as read or received, without overrides
	agreed          *config.Agreed // nil if nothing has been agreed on
	routingRevision uint64         // revision with which sidecars receive the agreed routes
}

func newWatcher(settings *config.Controller, nodes []config.Node, server *transport.Server, certificates *certs.Reloader, log *zap.Logger) *watcher {
	w := &watcher{
		settings:         settings,
		server:           server,
		certificates:     certificates,
		log:              log,
		pendingOverrides: make(chan struct{}, 1),
		listedNodes:      nodes,
	}
	w.setEffectiveNodes = w.setNodes
	return w
}

// run reloads changed files at each interval and on each signal, and applies changed overrides, until ctx is
// canceled.
func (w *watcher) run(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	var lastError string
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.pendingOverrides:
			w.applyNodes()
			continue
		case <-reload:
		case <-ticker.C:
		}
		w.certificates.ReloadIfChanged(w.log)
		if w.settings.NodeService == "" {
			lastError = w.reloadNodes(lastError)
		}
	}
}

// reloadNodes reads the file of nodes and applies the list if it has changed. It returns the text of the error, or an
// empty string if there is none. An error that equals lastError is not logged again.
func (w *watcher) reloadNodes(lastError string) string {
	nodes, err := w.settings.ReadNodes()
	if err == nil && len(nodes) == 0 {
		err = errNoNodes
	}
	if err != nil {
		if err.Error() != lastError {
			w.log.Error("cannot use the new list of nodes, keeping the previous one", zap.Error(err))
		}
		return err.Error()
	}
	if w.setListedNodes(nodes) {
		w.log.Info("list of nodes read", zap.Int("nodes", len(nodes)))
		w.applyNodes()
	}
	return ""
}

// setListedNodes replaces the list and reports whether it has changed.
func (w *watcher) setListedNodes(nodes []config.Node) (changed bool) {
	w.stateLock.Lock()
	defer w.stateLock.Unlock()
	if slices.Equal(nodes, w.listedNodes) {
		return false
	}
	w.listedNodes = nodes
	return true
}

// applyReceivedList applies a list received from the service that provides the list of nodes.
func (w *watcher) applyReceivedList(version string, endpoints []transport.Endpoint) {
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
	w.setListedNodes(nodes)
	w.log.Info("list of nodes received", zap.String("version", version), zap.Int("nodes", len(nodes)))
	w.applyNodes()
}

// applyNodes puts the list with the agreed overrides into effect.
func (w *watcher) applyNodes() {
	w.applyLock.Lock()
	defer w.applyLock.Unlock()
	w.setEffectiveNodes(w.effectiveNodes())
}

// effectiveNodes returns the list with the agreed overrides.
func (w *watcher) effectiveNodes() []config.Node {
	w.stateLock.Lock()
	defer w.stateLock.Unlock()
	if w.agreed == nil {
		return w.listedNodes
	}
	return w.agreed.ApplyOverrides(w.listedNodes)
}

// setNodes sets the addresses of the server and the endpoints of the controller.
func (w *watcher) setNodes(nodes []config.Node) {
	var addresses []transport.Node
	for _, node := range nodes {
		addresses = append(addresses, transport.Node{Name: node.Node, Zone: node.Zone, Address: node.Address})
	}
	w.server.AddAddresses(addresses)
	w.server.Controller.ReplaceEndpoints(endpointsOf(nodes))
}
