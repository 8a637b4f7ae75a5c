package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
)

// errMemberTimeout says that a member sent nothing, or took nothing, for a lease's time.
var errMemberTimeout = errors.New("the member was not heard for a lease's time")

type deltaClient = discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient

// memberStream is a stream to a member. Its receiver is a goroutine of its own; all else is the client's Run goroutine.
type memberStream struct {
	client     *Client
	grpcStream deltaClient
	cancel     context.CancelCauseFunc

	responses       chan *response
	receiverErr     chan error    // why the receiver ended, with room for it
	receiverStopped chan struct{} // closed at the receiver's end
}

// followMember opens a stream to a member and runs it until it ends. It returns the reason of the end; nothing of the
// stream goes on after.
func (c *Client) followMember(ctx context.Context, member string) error {
	options := append(dialOptions(c.config.Credentials, &c.Traffic), c.config.DialOptions...)
	conn, err := grpc.NewClient("passthrough:///"+member, options...)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream := &memberStream{
		client:          c,
		cancel:          cancel,
		responses:       make(chan *response),
		receiverErr:     make(chan error, 1),
		receiverStopped: make(chan struct{}),
	}
	opening := stream.startTimeout()
	stream.grpcStream, err = discoveryv3.NewAggregatedDiscoveryServiceClient(conn).DeltaAggregatedResources(ctx)
	opening.Stop()
	if err != nil {
		return streamError(ctx, err)
	}
	go func() {
		defer close(stream.receiverStopped)
		stream.receiverErr <- stream.receive(ctx)
	}()
	err = stream.run(ctx, member)
	cancel(nil)
	<-stream.receiverStopped
	return streamError(ctx, err)
}

// streamError returns why a stream ended: the timeout if one has ended it.
func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// startTimeout ends the stream after a lease's time unless the timer is stopped or reset.
func (s *memberStream) startTimeout() *time.Timer {
	return time.AfterFunc(s.client.config.Lease, func() { s.cancel(errMemberTimeout) })
}

// run sends the handshake, answers responses and renews the lease, until the stream ends or the member sends nothing for a
// lease's time.
func (s *memberStream) run(ctx context.Context, member string) error {
	if err := s.send(s.client.handshakeRequest()); err != nil {
		return err
	}
	renew := time.NewTicker(s.client.renewInterval())
	defer renew.Stop()
	silence := s.startTimeout()
	defer silence.Stop()
	answered := false
	for {
		select {
		case err := <-s.receiverErr:
			return receiverEnded(err)
		case <-ctx.Done():
			return ctx.Err()
		case <-renew.C:
			if err := s.send(s.client.renewRequest()); err != nil {
				return err
			}
		case in := <-s.responses:
			silence.Reset(s.client.config.Lease)
			reply, err := s.client.receive(in)
			if err != nil {
				return err
			}
			if !answered {
				answered = true
				s.client.memberAnswered(member)
			}
			if reply == nil {
				continue
			}
			if err := s.send(reply); err != nil {
				return err
			}
		}
	}
}

// send sends a request; one that blocks for a lease's time ends the stream.
func (s *memberStream) send(out *request) error {
	timer := s.startTimeout()
	defer timer.Stop()
	if err := s.grpcStream.Send(out); err != nil {
		return s.sendError(err)
	}
	return nil
}

// sendError returns why nothing can be sent: if the member has ended the stream, that is what is received last.
func (s *memberStream) sendError(err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	for {
		select {
		case <-s.responses: // too late to be answered
		case err := <-s.receiverErr:
			return receiverEnded(err)
		}
	}
}

// receiverEnded wraps the error with which the receiver ended.
func receiverEnded(err error) error { return fmt.Errorf("stream ended: %w", err) }

// receive passes responses on until the stream ends.
func (s *memberStream) receive(ctx context.Context) error {
	for {
		in, err := s.grpcStream.Recv()
		if err != nil {
			return err
		}
		select {
		case s.responses <- in:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
