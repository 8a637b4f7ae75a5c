package transport

import (
	"context"
	"errors"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"harehook.dev/harehook/configsync"
)

// Why a member ends a stream, beside the machine's reasons.
var (
	errNoHandshake = errors.New("the first request did not come in time")
	errNotReading  = errors.New("the follower did not read for a lease's time")
)

type (
	deltaServer = discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer
	request     = discoveryv3.DeltaDiscoveryRequest
	response    = discoveryv3.DeltaDiscoveryResponse
)

// stream is the connection of one follower.
type stream struct {
	wakeUp chan struct{} // something may have to be sent

	stream *configsync.Stream // under Service.machineMutex
	closed bool               // likewise: what is still received counts no more
}

// wake has the stream's supervisor ask the machine.
func (st *stream) wake() {
	select {
	case st.wakeUp <- struct{}{}:
	default: // it is to ask already
	}
}

// open begins a stream unless the member is paused or full.
func (s *Service) open() (one *stream, err error) {
	if err := s.unavailableReason(); err != nil {
		return nil, err
	}
	one = &stream{wakeUp: make(chan struct{}, 1)}
	s.withServer(func(now time.Time) { one.stream, err = s.server.Open(now) })
	if err != nil {
		return nil, err
	}
	s.pendingMutex.Lock()
	defer s.pendingMutex.Unlock()
	s.streams[one] = struct{}{}
	return one, nil
}

func (s *Service) close(one *stream) {
	s.pendingMutex.Lock()
	delete(s.streams, one)
	s.pendingMutex.Unlock()
	s.withServer(func(time.Time) {
		one.closed = true
		s.server.Close(one.stream)
	})
}

// receive hands requests to the machine until the stream ends, and gives the reason.
func (s *Service) receive(wire deltaServer, one *stream) error {
	for {
		in, err := wire.Recv()
		if err != nil {
			return err
		}
		s.withServer(func(now time.Time) {
			if !one.closed {
				err = s.server.Receive(now, one.stream, in)
			}
		})
		if err != nil {
			return invalidRequestError{err}
		}
		one.wake()
	}
}

// next asks the machine for a message and when to ask again at the latest.
func (s *Service) next(one *stream) (out *response, wait time.Duration, named bool, err error) {
	s.withServer(func(now time.Time) {
		out, wait, err = one.stream.Send(now)
		named = one.stream.Name() != ""
	})
	return out, wait, named, err
}

// supervise asks the machine what to send whenever something may have changed. It gives the reason for which the stream
// ends.
func (s *Service) supervise(ctx context.Context, one *stream, received <-chan error, sender *sender) error {
	first := time.Now().Add(handshakeTimeout)
	timer := time.NewTimer(handshakeTimeout)
	defer timer.Stop()
	for {
		if err := s.unavailableReason(); err != nil {
			return err
		}
		out, wait, named, err := s.next(one)
		if err != nil {
			return err
		}
		if out != nil {
			if err := sender.send(ctx, out, s.lease, received); err != nil {
				return err
			}
			continue
		}
		if !named {
			if wait = time.Until(first); wait <= 0 {
				return errNoHandshake
			}
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-received:
			return err
		case <-one.wakeUp:
		case <-timer.C:
		}
	}
}

// sender is the goroutine that sends, which blocks while the follower does not read.
type sender struct {
	outbox chan *response
	sent   chan error
}

// run sends until ctx, which is the stream's, ends.
func (s *sender) run(ctx context.Context, wire deltaServer) {
	for {
		select {
		case <-ctx.Done():
			return
		case out := <-s.outbox:
			s.sent <- wire.Send(out) // there is room: nothing more is handed over before it is read
		}
	}
}

// send has a message sent, and gives up after a time.
func (s *sender) send(ctx context.Context, out *response, timeout time.Duration, received <-chan error) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case s.outbox <- out:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-s.sent:
		return err
	case err := <-received:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return errNotReading
	}
}

// invalidRequestError is what a follower sent that is against the protocol.
type invalidRequestError struct{ error }

// Unwrap gives the machine's reason.
func (e invalidRequestError) Unwrap() error { return e.error }

// grpcStatus gives the end of a stream as grpc tells it.
func grpcStatus(err error) error {
	if err == nil {
		return nil
	}
	if _, is := status.FromError(err); is {
		return err
	}
	code := codes.Unavailable
	var invalid invalidRequestError
	switch {
	case errors.Is(err, configsync.ErrTooManyStreams), errors.Is(err, configsync.ErrTooLarge):
		code = codes.ResourceExhausted
	case errors.Is(err, configsync.ErrReplaced):
		code = codes.Aborted
	case errors.Is(err, configsync.ErrFollowerTimeout), errors.Is(err, errNoHandshake), errors.Is(err, errNotReading):
		code = codes.DeadlineExceeded
	case errors.As(err, &invalid):
		code = codes.InvalidArgument
	case errors.Is(err, context.Canceled):
		code = codes.Canceled
	}
	return status.Error(code, err.Error())
}
