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

// newServer creates the xDS server with the addresses of the nodes. The caller must set its Controller.
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

// newEndpointWatcher creates the watcher of the service that provides the list of nodes.
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
		Accepted:    w.applyReceivedList,
		Credentials: clientCredentials,
		Log:         w.log,
	}
}

// controllerName is the name that the certificate of a controller must contain.
const controllerName = "conductor"

func endpointsOf(nodes []config.Node) (endpoints []controller.Endpoint) {
	for _, node := range nodes {
		endpoints = append(endpoints, node.Endpoint)
	}
	return endpoints
}
