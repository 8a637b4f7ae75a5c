package transport

import (
	"context"
	"encoding/json"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"harehook.dev/harehook/configsync"
)

// Names of the operators' queries on the wire. The request is empty, the response is JSON; both are sent as BytesValue.
const (
	followersService = "harehook.follow.v1.Followers" // on members: the state of their followers
	followerService  = "harehook.follow.v1.Follower"  // on followers: their own state
	statusMethod     = "Status"
)

// FollowerReport describes the state of a follower for operators.
type FollowerReport struct {
	Name      string `json:"name"`
	Member    string `json:"member,omitempty"` // the member that is followed; empty while there is none
	Revision  uint64 `json:"revision"`         // last accepted revision
	Stale     bool   `json:"stale"`
	Accepted  uint64 `json:"accepted"` // number of accepted updates
	Rejected  uint64 `json:"refused"`
	Failovers uint64 `json:"moves"` // number of streams that ended after the member had responded
	LastError string `json:"last_error,omitempty"`
}

// Report returns the client's state for operators.
func (c *Client) Report() FollowerReport {
	status := c.Status()
	report := FollowerReport{
		Name:      c.config.Name,
		Member:    status.Member,
		Revision:  status.Revision,
		Stale:     status.Stale,
		Accepted:  status.Accepted,
		Rejected:  status.Rejected,
		Failovers: status.Failovers,
	}
	if status.LastError != nil {
		report.LastError = status.LastError.Error()
	}
	return report
}

// Register adds the operators' service to the controller's gRPC server.
func (c *Client) Register(registrar grpc.ServiceRegistrar) {
	registrar.RegisterService(statusServiceDesc(followerService, c.Report), c)
}

// statusServiceDesc returns the description of a service with one method that responds with the result of current as
// JSON.
func statusServiceDesc[Status any](name string, current func() Status) *grpc.ServiceDesc {
	handler := func(_ any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		var in wrapperspb.BytesValue
		if err := decode(&in); err != nil {
			return nil, err
		}
		body, err := json.Marshal(current())
		if err != nil {
			return nil, err
		}
		return wrapperspb.Bytes(body), nil
	}
	return &grpc.ServiceDesc{
		ServiceName: name,
		HandlerType: (*any)(nil),
		Methods:     []grpc.MethodDesc{{MethodName: statusMethod, Handler: handler}},
	}
}

// FetchMemberStatus queries a member for the state of its followers.
func FetchMemberStatus(ctx context.Context, conn grpc.ClientConnInterface) (configsync.MemberStatus, error) {
	return fetchStatus[configsync.MemberStatus](ctx, conn, followersService)
}

// FetchFollowerReport queries a follower for its state.
func FetchFollowerReport(ctx context.Context, conn grpc.ClientConnInterface) (FollowerReport, error) {
	return fetchStatus[FollowerReport](ctx, conn, followerService)
}

func fetchStatus[Status any](ctx context.Context, conn grpc.ClientConnInterface, service string) (current Status, err error) {
	var answer wrapperspb.BytesValue
	if err := conn.Invoke(ctx, "/"+service+"/"+statusMethod, &wrapperspb.BytesValue{}, &answer); err != nil {
		return current, err
	}
	return current, json.Unmarshal(answer.GetValue(), &current)
}
