package transport

import (
	"context"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"go.uber.org/zap"
	rpc "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"harehook.dev/harehook/xds"
)

const (
	maxListBytes   = 16 << 20
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 5 * time.Second

	watcherUserAgent = "harehookd"
)

// EndpointWatcher watches the endpoints of a cluster that another xDS service keeps: they are the installation's nodes. A
// version with a fault is rejected (NACK) and the last good one stays in use; so does it while the service can't be reached.
type EndpointWatcher struct {
	Address, Cluster string // of the service; Cluster: whose endpoints are watched
	Name             string // the node id that the service is told
	KnowsZone        func(name string) bool
	Credentials      credentials.TransportCredentials // nil: plain text
	// Accepted is called with each version that is accepted, by Run's goroutine.
	Accepted func(version string, nodes []Endpoint)
	Log      *zap.Logger
}

// Run watches until ctx ends.
func (w *EndpointWatcher) Run(ctx context.Context) {
	backoff := initialBackoff
	version := "" // the last good one
	for ctx.Err() == nil {
		began := time.Now()
		err := w.watch(ctx, &version)
		if ctx.Err() != nil {
			return
		}
		w.Log.Warn("endpoint watch ended, the last list stays", zap.String("service", w.Address), zap.Error(err))
		if time.Since(began) > maxBackoff {
			backoff = initialBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// watch runs one stream until it ends, which it returns the reason of. It sets version to each that is accepted.
func (w *EndpointWatcher) watch(ctx context.Context, version *string) error {
	conn, err := w.dial()
	if err != nil {
		return err
	}
	defer conn.Close()
	stream, err := discoveryv3.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	request := w.request(*version)
	request.Node = &corev3.Node{Id: w.Name, UserAgentName: watcherUserAgent}
	for {
		if err := stream.Send(request); err != nil {
			return err
		}
		response, err := stream.Recv()
		if err != nil {
			return err
		}
		request = w.handle(response, version)
	}
}

func (w *EndpointWatcher) dial() (*grpc.ClientConn, error) {
	secure := w.Credentials
	if secure == nil {
		secure = insecure.NewCredentials()
	}
	return grpc.NewClient("passthrough:///"+w.Address,
		grpc.WithTransportCredentials(secure),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxListBytes)))
}

func (w *EndpointWatcher) request(version string) *discoveryv3.DiscoveryRequest {
	return &discoveryv3.DiscoveryRequest{
		TypeUrl:       xds.Endpoints.TypeURL(),
		ResourceNames: []string{w.Cluster},
		VersionInfo:   version,
	}
}

// handle accepts or rejects a response, and returns the ACK or NACK.
func (w *EndpointWatcher) handle(response *discoveryv3.DiscoveryResponse, version *string) *discoveryv3.DiscoveryRequest {
	nodes, fault := w.parseEndpoints(response)
	if fault == nil {
		*version = response.GetVersionInfo()
		w.Accepted(*version, nodes)
	} else {
		w.Log.Error("endpoint list rejected, the last one stays",
			zap.String("version", response.GetVersionInfo()), zap.Error(fault))
	}
	answer := w.request(*version)
	answer.ResponseNonce = response.GetNonce()
	if fault != nil {
		answer.ErrorDetail = &rpc.Status{Code: int32(codes.InvalidArgument), Message: fault.Error()}
	}
	return answer
}
