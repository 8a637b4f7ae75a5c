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
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"harehook.dev/harehook/xds"
)

func duration(d time.Duration) *durationpb.Duration { return durationpb.New(d) }

// statusService answers operators: what each sidecar holds, is to hold and refused, by the client status discovery service.
type statusService struct {
	statusv3.UnimplementedClientStatusDiscoveryServiceServer
	f *Server
}

func (c statusService) FetchClientStatus(_ context.Context, r *statusv3.ClientStatusRequest) (*statusv3.ClientStatusResponse, error) {
	return c.response(r)
}

func (c statusService) StreamClientStatus(wire statusv3.ClientStatusDiscoveryService_StreamClientStatusServer) error {
	for {
		r, err := wire.Recv()
		if err != nil {
			return err
		}
		out, err := c.response(r)
		if err != nil {
			return err
		}
		if err := wire.Send(out); err != nil {
			return err
		}
	}
}

func (c statusService) response(r *statusv3.ClientStatusRequest) (*statusv3.ClientStatusResponse, error) {
	out, bare := &statusv3.ClientStatusResponse{}, r.GetExcludeResourceContents()
	asked := map[string]bool{}
	for _, m := range r.GetNodeMatchers() {
		asked[m.GetNodeId().GetExact()] = true
	}
	if !c.f.call(func() {
		now := c.f.now()
		for _, s := range c.f.Streams.Sidecars(now) {
			if len(asked) == 0 || asked[s.ID] {
				out.Config = append(out.Config, clientConfig(s, now, bare))
			}
		}
	}) {
		return nil, status.Error(codes.Unavailable, "the conductor stops")
	}
	return out, nil
}

// Keys of a node's metadata in these answers.
const (
	StatusJoined              = "joined"
	StatusTable               = "table"
	StatusDisconnectedSeconds = "away_s"
	StatusVariant             = "variant"
	StatusStaleAnswers        = "stale_answers"
	StatusRejected            = "refused"
	StatusAccepted            = "accepted"
	StatusUnconfirmed         = "unconfirmed"
)

func clientConfig(s xds.SidecarStatus, now float64, bare bool) *statusv3.ClientConfig {
	table, variant := "", "state"
	if s.Bound {
		table = fmt.Sprint(s.Table)
	}
	if s.Delta {
		variant = "delta"
	}
	about, _ := structpb.NewStruct(map[string]any{StatusJoined: s.Connected, StatusTable: table, StatusDisconnectedSeconds: s.DisconnectedSeconds,
		StatusVariant: variant, StatusStaleAnswers: float64(s.Stale), StatusRejected: float64(s.Rejected), StatusAccepted: float64(s.Accepted),
		StatusUnconfirmed: float64(s.Unacknowledged)})
	out := &statusv3.ClientConfig{Node: &corev3.Node{Id: s.ID, Locality: &corev3.Locality{Zone: s.Zone}, Metadata: about}}
	for _, st := range s.Resources {
		one := &statusv3.ClientConfig_GenericXdsConfig{TypeUrl: st.Type.TypeURL(), Name: st.Name, VersionInfo: st.Accepted}
		if !bare {
			one.XdsConfig = st.Body
		}
		switch {
		case st.Rejection != nil:
			one.ConfigStatus, one.ClientStatus = statusv3.ConfigStatus_ERROR, adminv3.ClientResourceStatus_NACKED
			one.ErrorState = &adminv3.UpdateFailureState{Details: st.Rejection.Reason, VersionInfo: st.Rejection.Version,
				LastUpdateAttempt: timestamppb.New(time.Now().Add(-time.Duration((now - st.Rejection.At) * float64(time.Second))))}
		case st.Accepted == st.Target:
			one.ConfigStatus, one.ClientStatus = statusv3.ConfigStatus_SYNCED, adminv3.ClientResourceStatus_ACKED
		case st.PendingSeconds > 0:
			one.ConfigStatus, one.ClientStatus = statusv3.ConfigStatus_STALE, adminv3.ClientResourceStatus_REQUESTED
		default:
			one.ConfigStatus, one.ClientStatus = statusv3.ConfigStatus_NOT_SENT, adminv3.ClientResourceStatus_REQUESTED
		}
		out.GenericXdsConfigs = append(out.GenericXdsConfigs, one)
	}
	return out
}
