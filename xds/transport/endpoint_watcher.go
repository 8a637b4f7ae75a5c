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

// EndpointWatcher watches the endpoints of a cluster on another xDS service; they are the nodes of the installation. An
// invalid version is rejected (NACK). The last accepted version stays in use then, and also while the service is
// unreachable.
type EndpointWatcher struct {
	Address, Cluster string // address of the service, and name of the cluster whose endpoints are watched
	Name             string // node id in the requests
	KnowsZone        func(name string) bool
	Credentials      credentials.TransportCredentials // nil: plaintext
	// Accepted is called with each accepted version, on the goroutine that runs Run.
	Accepted func(version string, nodes []Endpoint)
	Log      *zap.Logger
}

// Run watches the endpoints until ctx is done. It retries with exponential backoff.
func (w *EndpointWatcher) Run(ctx context.Context) {
	backoff := initialBackoff
	version := "" // the last accepted version
	for ctx.Err() == nil {
		start := time.Now()
		err := w.watch(ctx, &version)
		if ctx.Err() != nil {
			return
		}
		w.Log.Warn("endpoint watch failed, keeping the last accepted endpoint list", zap.String("service", w.Address), zap.Error(err))
		if time.Since(start) > maxBackoff {
			backoff = initialBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// watch runs one stream until it ends, and returns the reason. It sets version to each accepted version.
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
	transportCredentials := w.Credentials
	if transportCredentials == nil {
		transportCredentials = insecure.NewCredentials()
	}
	return grpc.NewClient("passthrough:///"+w.Address,
		grpc.WithTransportCredentials(transportCredentials),
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

// handle accepts or rejects a response and returns the ACK or NACK.
func (w *EndpointWatcher) handle(response *discoveryv3.DiscoveryResponse, version *string) *discoveryv3.DiscoveryRequest {
	nodes, err := w.parseEndpoints(response)
	if err == nil {
		*version = response.GetVersionInfo()
		w.Accepted(*version, nodes)
	} else {
		w.Log.Error("endpoint list rejected, keeping the last accepted one",
			zap.String("version", response.GetVersionInfo()), zap.Error(err))
	}
	answer := w.request(*version)
	answer.ResponseNonce = response.GetNonce()
	if err != nil {
		answer.ErrorDetail = &rpc.Status{Code: int32(codes.InvalidArgument), Message: err.Error()}
	}
	return answer
}
