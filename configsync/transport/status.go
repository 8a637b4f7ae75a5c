package transport

import (
	"context"
	"encoding/json"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"harehook.dev/harehook/configsync"
)

// The operators' calls on the wire. Their bodies are bytes: an empty request, and JSON.
const (
	followersService = "harehook.follow.v1.Followers" // of members: what their followers hold
	followerService  = "harehook.follow.v1.Follower"  // of a conductor that follows: how it is doing
	statusMethod     = "Status"
)

// FollowerReport is how a conductor that follows is doing, for operators.
type FollowerReport struct {
	Name      string `json:"name"`
	Member    string `json:"member,omitempty"` // that is followed, empty between two
	Revision  uint64 `json:"revision"`
	Stale     bool   `json:"stale"`
	Accepted  uint64 `json:"accepted"` // offers
	Rejected  uint64 `json:"refused"`
	Failovers uint64 `json:"moves"` // how often a member that answered was left
	LastError string `json:"last_error,omitempty"`
}

// Report tells how the client is doing.
func (c *Client) Report() FollowerReport {
	status := c.Status()
	report := FollowerReport{
		Name: c.config.Name, Member: status.Member, Revision: status.Revision, Stale: status.Stale,
		Accepted: status.Accepted, Rejected: status.Rejected, Failovers: status.Failovers,
	}
	if status.LastError != nil {
		report.LastError = status.LastError.Error()
	}
	return report
}

// Register serves operators on the conductor's gRPC server.
func (c *Client) Register(server grpc.ServiceRegistrar) {
	server.RegisterService(statusDescription(followerService, c.Report), c)
}

// statusDescription is a service with one call that answers with what a function gives, as JSON.
func statusDescription[Out any](name string, tell func() Out) *grpc.ServiceDesc {
	answer := func(_ any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		var in wrapperspb.BytesValue
		if err := decode(&in); err != nil {
			return nil, err
		}
		body, err := json.Marshal(tell())
		if err != nil {
			return nil, err
		}
		return wrapperspb.Bytes(body), nil
	}
	return &grpc.ServiceDesc{
		ServiceName: name, HandlerType: (*any)(nil),
		Methods: []grpc.MethodDesc{{MethodName: statusMethod, Handler: answer}},
	}
}

// FetchMemberStatus asks a member what its followers hold.
func FetchMemberStatus(ctx context.Context, conn grpc.ClientConnInterface) (configsync.MemberStatus, error) {
	return fetchStatus[configsync.MemberStatus](ctx, conn, followersService)
}

// FetchFollowerReport asks a conductor that follows how it is doing.
func FetchFollowerReport(ctx context.Context, conn grpc.ClientConnInterface) (FollowerReport, error) {
	return fetchStatus[FollowerReport](ctx, conn, followerService)
}

func fetchStatus[Out any](ctx context.Context, conn grpc.ClientConnInterface, service string) (out Out, err error) {
	var answer wrapperspb.BytesValue
	if err := conn.Invoke(ctx, "/"+service+"/"+statusMethod, &wrapperspb.BytesValue{}, &answer); err != nil {
		return out, err
	}
	return out, json.Unmarshal(answer.GetValue(), &out)
}
