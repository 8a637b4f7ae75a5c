package daemon

import (
	"go.uber.org/zap"
	"google.golang.org/grpc/credentials"

	"harehook.dev/harehook/config"
	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/internal/certs"
	"harehook.dev/harehook/xds"
	"harehook.dev/harehook/xds/transport"
)

// newServer prepares the xDS server, which knows the addresses of nodes. The caller sets its controller.
func newServer(settings *config.Controller, nodes []config.Node, certificates *certs.Reloader, log *zap.Logger) *transport.Server {
	server := transport.NewServer(xds.NewCompiler(settings.Routes, settings.ConnectTimeout), settings.MaxSidecars, log)
	server.ReportInterval = settings.ReportInterval
	if certificates != nil {
		server.Credentials = credentials.NewTLS(certificates.ServerConfig())
	}
	for _, node := range nodes {
		server.Streams.Compiler.SetAddress(node.Node, node.Zone, node.Address)
	}
	return server
}

// newEndpointWatcher prepares the watch of the service that lists the nodes.
func newEndpointWatcher(w *watcher) *transport.EndpointWatcher {
	var clientCredentials credentials.TransportCredentials
	if w.certificates != nil {
		clientCredentials = credentials.NewTLS(w.certificates.ClientConfig(controllerName))
	}
	return &transport.EndpointWatcher{
		Address:     w.settings.NodeService,
		Cluster:     w.settings.Cluster,
		Name:        w.settings.Name,
		KnowsZone:   w.server.Controller.KnowsZone,
		Accepted:    w.acceptList,
		Credentials: clientCredentials,
		Log:         w.log,
	}
}

// controllerName is the name that certificates of controllers have to state.
const controllerName = "conductor"

func endpointsOf(nodes []config.Node) (endpoints []controller.Endpoint) {
	for _, node := range nodes {
		endpoints = append(endpoints, node.Endpoint)
	}
	return endpoints
}
