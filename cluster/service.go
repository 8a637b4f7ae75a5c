package cluster

import (
	"context"
	"encoding/json"
	"errors"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// The gRPC service of the group. Bodies are bytes: a Raft message in Deliver, and JSON (messages.go) in operators'
// calls.
const (
	serviceName  = "harehook.cluster.v1.Group"
	methodPrefix = "/" + serviceName + "/"
)

// groupServer is the handler type of the service. Only *Node implements it.
type groupServer interface{ isGroupServer() }

func (n *Node) isGroupServer() {}

var service = grpc.ServiceDesc{ServiceName: serviceName, HandlerType: (*groupServer)(nil), Methods: []grpc.MethodDesc{
	unaryMethod("Deliver", (*Node).handleDeliver),
	unaryMethod("Propose", jsonMethod((*Node).handlePropose)),
	unaryMethod("Read", jsonMethod((*Node).handleRead)),
	unaryMethod("Records", jsonMethod((*Node).handleRecords)),
	unaryMethod("Status", jsonMethod((*Node).handleStatus)),
	unaryMethod("Members", jsonMethod((*Node).handleMembers)),
}}

// handler handles a call whose bodies are bytes.
type handler func(n *Node, ctx context.Context, body []byte) ([]byte, error)

func unaryMethod(name string, handle handler) grpc.MethodDesc {
	call := func(server any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		var request wrapperspb.BytesValue
		if err := decode(&request); err != nil {
			return nil, err
		}
		response, err := handle(server.(*Node), ctx, request.GetValue())
		if err != nil {
			return nil, withCode(err)
		}
		return wrapperspb.Bytes(response), nil
	}
	return grpc.MethodDesc{MethodName: name, Handler: call}
}

// withCode adds a gRPC code to an error without one: Unavailable for ErrNoLeader, otherwise FailedPrecondition.
func withCode(err error) error {
	if _, hasCode := status.FromError(err); hasCode {
		return err
	}
	if errors.Is(err, ErrNoLeader) {
		return status.Error(codes.Unavailable, err.Error())
	}
	return status.Error(codes.FailedPrecondition, err.Error())
}

// jsonMethod returns the handler of a call whose bodies are JSON.
func jsonMethod[Request, Response any](handle func(n *Node, ctx context.Context, request Request) (Response, error)) handler {
	return func(n *Node, ctx context.Context, body []byte) ([]byte, error) {
		var request Request
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, status.Error(codes.InvalidArgument, "invalid request body: "+err.Error())
		}
		response, err := handle(n, ctx, request)
		if err != nil {
			return nil, err
		}
		return json.Marshal(response)
	}
}

// Call makes an operator's call: Propose with a Command (response Result), Read with a ReadRequest (ReadResponse),
// Records with a RecordsRequest (RecordsResponse), Status with struct{} or Members with a MembershipRequest (both
// StatusReport). The error has a gRPC code: Unavailable if there is no leader or the member has stopped,
// InvalidArgument for a request that this member cannot accept, DeadlineExceeded if the outcome is unknown, NotFound
// for a text that is not retained, and otherwise FailedPrecondition.
func Call[Response any](ctx context.Context, conn *grpc.ClientConn, name string, request any) (Response, error) {
	var response Response
	body, err := json.Marshal(request)
	if err != nil {
		return response, err
	}
	var received wrapperspb.BytesValue
	if err := conn.Invoke(ctx, methodPrefix+name, wrapperspb.Bytes(body), &received); err != nil {
		return response, err
	}
	return response, json.Unmarshal(received.GetValue(), &response)
}
