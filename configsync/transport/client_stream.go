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

// errMemberTimeout is returned when a member sends nothing, or a send to it blocks, for the lease duration.
var errMemberTimeout = errors.New("member did not respond within the lease duration")

type deltaClient = discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient

// memberStream is a stream to a member. It receives in a separate goroutine; everything else runs in the client's Run
// goroutine.
type memberStream struct {
	client     *Client
	grpcStream deltaClient
	cancel     context.CancelCauseFunc

	responses       chan *response
	receiverErr     chan error    // why the receiver ended; buffered for one error
	receiverStopped chan struct{} // closed when the receiver has ended
}

// followMember opens a stream to a member, runs it until it ends and returns the reason. All goroutines of the stream
// have ended when it returns.
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
	openTimer := stream.startTimeout()
	stream.grpcStream, err = discoveryv3.NewAggregatedDiscoveryServiceClient(conn).DeltaAggregatedResources(ctx)
	openTimer.Stop()
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

// streamError returns why a stream ended: errMemberTimeout if a timeout ended it, else err.
func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// startTimeout starts a timer that ends the stream after the lease duration unless it is stopped or reset.
func (s *memberStream) startTimeout() *time.Timer {
	return time.AfterFunc(s.client.config.Lease, func() { s.cancel(errMemberTimeout) })
}

// run sends the handshake, replies to responses and renews the lease, until the stream ends or the member sends nothing
// for the lease duration.
func (s *memberStream) run(ctx context.Context, member string) error {
	if err := s.send(s.client.handshakeRequest()); err != nil {
		return err
	}
	renew := time.NewTicker(s.client.renewInterval())
	defer renew.Stop()
	silenceTimer := s.startTimeout()
	defer silenceTimer.Stop()
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
			silenceTimer.Reset(s.client.config.Lease)
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

// send sends a request. If it blocks for the lease duration, the stream is ended.
func (s *memberStream) send(out *request) error {
	timer := s.startTimeout()
	defer timer.Stop()
	if err := s.grpcStream.Send(out); err != nil {
		return s.sendError(err)
	}
	return nil
}

// sendError returns why a send failed: if the member has ended the stream, the reason is the receiver's error.
func (s *memberStream) sendError(err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	for {
		select {
		case <-s.responses: // discarded: a reply can no longer be sent
		case err := <-s.receiverErr:
			return receiverEnded(err)
		}
	}
}

// receiverEnded wraps the receiver's error.
func receiverEnded(err error) error { return fmt.Errorf("stream ended: %w", err) }

// receive forwards responses to run until the stream ends.
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
