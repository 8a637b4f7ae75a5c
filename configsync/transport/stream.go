package transport

import (
	"context"
	"errors"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/configsync"
)

// Reasons for which a member ends a stream, beside those of package configsync.
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
	wakeUp chan struct{} // with room for one: something may have to be sent

	state  *configsync.Stream // guarded by Service.serverMutex
	closed bool               // likewise: requests that are still received are ignored
}

// wake has the stream's supervisor call Send.
func (st *stream) wake() {
	select {
	case st.wakeUp <- struct{}{}:
	default: // it is to do so already
	}
}

// open adds a stream unless the member is unavailable or full.
func (s *Service) open() (opened *stream, err error) {
	if err := s.unavailableReason(); err != nil {
		return nil, err
	}
	opened = &stream{wakeUp: make(chan struct{}, 1)}
	s.withServer(func(now time.Time) { opened.state, err = s.server.Open(now) })
	if err != nil {
		return nil, err
	}
	s.pendingMutex.Lock()
	defer s.pendingMutex.Unlock()
	s.streams[opened] = struct{}{}
	return opened, nil
}

func (s *Service) close(ended *stream) {
	s.pendingMutex.Lock()
	delete(s.streams, ended)
	s.pendingMutex.Unlock()
	s.withServer(func(time.Time) {
		ended.closed = true
		s.server.Close(ended.state)
	})
}

// receive handles requests until the stream ends, and returns the reason.
func (s *Service) receive(grpcStream deltaServer, from *stream) error {
	for {
		in, err := grpcStream.Recv()
		if err != nil {
			return err
		}
		s.withServer(func(now time.Time) {
			if !from.closed {
				err = s.server.Receive(now, from.state, in)
			}
		})
		if err != nil {
			return &invalidRequestError{reason: err}
		}
		from.wake()
	}
}

// nextMessage is what a stream has to send now.
type nextMessage struct {
	response      *response     // nil: nothing
	wait          time.Duration // until the next look at the latest
	handshakeDone bool
}

func (s *Service) next(to *stream) (next nextMessage, err error) {
	s.withServer(func(now time.Time) {
		next.response, next.wait, err = to.state.Send(now)
		next.handshakeDone = to.state.Name() != ""
	})
	return next, err
}

// supervise sends what is due whenever something may have changed. It returns the reason for which the stream ends.
func (s *Service) supervise(ctx context.Context, supervised *stream, received <-chan error, sender *sender) error {
	handshakeDeadline := time.Now().Add(handshakeTimeout)
	timer := time.NewTimer(handshakeTimeout)
	defer timer.Stop()
	for {
		if err := s.unavailableReason(); err != nil {
			return err
		}
		next, err := s.next(supervised)
		if err != nil {
			return err
		}
		if next.response != nil {
			if err := sender.send(ctx, next.response, s.lease, received); err != nil {
				return err
			}
			continue
		}
		wait := next.wait
		if !next.handshakeDone {
			wait = time.Until(handshakeDeadline)
			if wait <= 0 {
				return errNoHandshake
			}
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-received:
			return err
		case <-supervised.wakeUp:
		case <-timer.C:
		}
	}
}

// sender is the goroutine that sends, which blocks while the follower does not read.
type sender struct {
	outbox chan *response
	sent   chan error // with room for the result of one send
}

// run sends until ctx, which is the stream's, ends.
func (s *sender) run(ctx context.Context, grpcStream deltaServer) {
	for {
		select {
		case <-ctx.Done():
			return
		case out := <-s.outbox:
			s.sent <- grpcStream.Send(out) // does not block: send reads it before it passes on another message
		}
	}
}

// send has a message sent. It returns errNotReading after a timeout, and the receiver's reason if that ends first.
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
