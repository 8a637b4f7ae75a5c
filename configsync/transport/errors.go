package transport

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"harehook.dev/harehook/configsync"
)

// invalidRequestError is returned when a follower's request violates the protocol. It wraps the reason.
type invalidRequestError struct{ reason error }

// Error implements error.
func (e *invalidRequestError) Error() string { return e.reason.Error() }

// Unwrap returns the reason.
func (e *invalidRequestError) Unwrap() error { return e.reason }

// grpcStatus returns the reason why a stream ended as a gRPC status. An error that already is a status is unchanged.
func grpcStatus(err error) error {
	if err == nil {
		return nil
	}
	if _, isStatus := status.FromError(err); isStatus {
		return err
	}
	return status.Error(statusCode(err), err.Error())
}

func statusCode(err error) codes.Code {
	var invalid *invalidRequestError
	switch {
	case errors.Is(err, configsync.ErrTooManyStreams), errors.Is(err, configsync.ErrTooLarge):
		return codes.ResourceExhausted
	case errors.Is(err, configsync.ErrReplaced):
		return codes.Aborted
	case errors.Is(err, configsync.ErrFollowerTimeout), errors.Is(err, errNoHandshake), errors.Is(err, errNotReading):
		return codes.DeadlineExceeded
	case errors.As(err, &invalid):
		return codes.InvalidArgument
	case errors.Is(err, context.Canceled):
		return codes.Canceled
	}
	return codes.Unavailable
}
