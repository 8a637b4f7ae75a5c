package transport

import (
	"context"
	"fmt"
	"time"

	adminv3 "github.com/envoyproxy/go-control-plane/envoy/admin/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	statusv3 "github.com/envoyproxy/go-control-plane/envoy/service/status/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"harehook.dev/harehook/xds"
)

// Keys of the node metadata in the responses of the client status discovery service.
const (
	StatusConnected           = "joined"
	StatusTable               = "table"
	StatusDisconnectedSeconds = "away_s"
	StatusVariant             = "variant"
	StatusUnmatchedAnswers    = "stale_answers"
	StatusRejected            = "refused"
	StatusAccepted            = "accepted"
	StatusUnconfirmed         = "unconfirmed"
)

// Values of StatusVariant.
const (
	variantDelta           = "delta"
	variantStateOfTheWorld = "state"
)

// statusService implements the client status discovery service. It shows operators the accepted, target and rejected
// version of each resource of each sidecar.
type statusService struct {
	statusv3.UnimplementedClientStatusDiscoveryServiceServer
	server *Server
}

// FetchClientStatus answers one request.
func (c statusService) FetchClientStatus(_ context.Context, r *statusv3.ClientStatusRequest) (*statusv3.ClientStatusResponse, error) {
	return c.response(r)
}

// StreamClientStatus answers requests until the client ends the stream.
func (c statusService) StreamClientStatus(grpcStream statusv3.ClientStatusDiscoveryService_StreamClientStatusServer) error {
	for {
		r, err := grpcStream.Recv()
		if err != nil {
			return err
		}
		response, err := c.response(r)
		if err != nil {
			return err
		}
		if err := grpcStream.Send(response); err != nil {
			return err
		}
	}
}

// response returns the status of the sidecars that the request matches, or of all sidecars if it has no matchers.
func (c statusService) response(r *statusv3.ClientStatusRequest) (*statusv3.ClientStatusResponse, error) {
	response := &statusv3.ClientStatusResponse{}
	requestedIDs := map[string]bool{}
	for _, matcher := range r.GetNodeMatchers() {
		requestedIDs[matcher.GetNodeId().GetExact()] = true
	}
	completed := c.server.call(func() {
		now := c.server.now()
		for _, sidecar := range c.server.Streams.Sidecars(now) {
			if len(requestedIDs) == 0 || requestedIDs[sidecar.ID] {
				response.Config = append(response.Config, clientConfig(sidecar, now, !r.GetExcludeResourceContents()))
			}
		}
	})
	if !completed {
		return nil, status.Error(codes.Unavailable, "the controller is shutting down")
	}
	return response, nil
}

func clientConfig(sidecar xds.SidecarStatus, now float64, withContents bool) *statusv3.ClientConfig {
	node := &corev3.Node{
		Id:       sidecar.ID,
		Locality: &corev3.Locality{Zone: sidecar.Zone},
		Metadata: sidecarMetadata(sidecar),
	}
	config := &statusv3.ClientConfig{Node: node}
	for _, resource := range sidecar.Resources {
		config.GenericXdsConfigs = append(config.GenericXdsConfigs, resourceConfig(resource, now, withContents))
	}
	return config
}

func sidecarMetadata(sidecar xds.SidecarStatus) *structpb.Struct {
	table := ""
	if sidecar.Bound {
		table = fmt.Sprint(sidecar.Table)
	}
	variant := variantStateOfTheWorld
	if sidecar.Delta {
		variant = variantDelta
	}
	metadata, _ := structpb.NewStruct(map[string]any{ // fails only for other types of values
		StatusConnected:           sidecar.Connected,
		StatusTable:               table,
		StatusDisconnectedSeconds: sidecar.DisconnectedSeconds,
		StatusVariant:             variant,
		StatusUnmatchedAnswers:    float64(sidecar.Unmatched),
		StatusRejected:            float64(sidecar.Rejected),
		StatusAccepted:            float64(sidecar.Accepted),
		StatusUnconfirmed:         float64(sidecar.Unacknowledged),
	})
	return metadata
}

func resourceConfig(resource xds.ResourceStatus, now float64, withContents bool) *statusv3.ClientConfig_GenericXdsConfig {
	config := &statusv3.ClientConfig_GenericXdsConfig{
		TypeUrl:     resource.Type.TypeURL(),
		Name:        resource.Name,
		VersionInfo: resource.Accepted,
	}
	if withContents {
		config.XdsConfig = resource.Body
	}
	switch {
	case resource.Rejection != nil:
		config.ConfigStatus = statusv3.ConfigStatus_ERROR
		config.ClientStatus = adminv3.ClientResourceStatus_NACKED
		config.ErrorState = failureState(*resource.Rejection, now)
	case resource.Accepted == resource.Target:
		config.ConfigStatus = statusv3.ConfigStatus_SYNCED
		config.ClientStatus = adminv3.ClientResourceStatus_ACKED
	case resource.PendingSeconds > 0:
		config.ConfigStatus = statusv3.ConfigStatus_STALE
		config.ClientStatus = adminv3.ClientResourceStatus_REQUESTED
	default:
		config.ConfigStatus = statusv3.ConfigStatus_NOT_SENT
		config.ClientStatus = adminv3.ClientResourceStatus_REQUESTED
	}
	return config
}

func failureState(rejection xds.Rejection, now float64) *adminv3.UpdateFailureState {
	age := time.Duration((now - rejection.At) * float64(time.Second))
	return &adminv3.UpdateFailureState{
		Details:           rejection.Reason,
		VersionInfo:       rejection.Version,
		LastUpdateAttempt: timestamppb.New(time.Now().Add(-age)),
	}
}
