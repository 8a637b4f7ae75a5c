package follow

import (
	"context"
	"encoding/json"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/wrapperspb"

	machine "harehook.dev/harehook/follow"
)

// The operators' call on the wire. Its bodies are bytes: an empty request, and JSON.
const (
	statusService = "harehook.follow.v1.Followers"
	statusMethod  = "Status"
)

// followersServer is what grpc checks an implementation of the operators' call by.
type followersServer interface {
	Status() machine.ForceStatus
}

var statusDescription = grpc.ServiceDesc{
	ServiceName: statusService,
	HandlerType: (*followersServer)(nil),
	Methods:     []grpc.MethodDesc{{MethodName: statusMethod, Handler: answerStatus}},
}

func answerStatus(service any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
	var in wrapperspb.BytesValue
	if err := decode(&in); err != nil {
		return nil, err
	}
	body, err := json.Marshal(service.(followersServer).Status())
	if err != nil {
		return nil, err
	}
	return wrapperspb.Bytes(body), nil
}

// AskStatus asks a member what its followers hold.
func AskStatus(ctx context.Context, conn grpc.ClientConnInterface) (out machine.ForceStatus, err error) {
	var answer wrapperspb.BytesValue
	if err := conn.Invoke(ctx, "/"+statusService+"/"+statusMethod, &wrapperspb.BytesValue{}, &answer); err != nil {
		return out, err
	}
	return out, json.Unmarshal(answer.GetValue(), &out)
}
