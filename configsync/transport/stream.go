package transport

import (
	"context"
	"errors"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/configsync"
)

// Reasons why a member ends a stream, in addition to those of package configsync.
var (
	errNoHandshake = errors.New("no request received within the handshake timeout")
	errNotReading  = errors.New("follower did not read within the lease duration")
)

type (
	deltaServer = discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer
	request     = discoveryv3.DeltaDiscoveryRequest
	response    = discoveryv3.DeltaDiscoveryResponse
)

// stream is the connection of one follower.
type stream struct {
	wakeUp chan struct{} // buffered for one signal: a response may be due

	state  *configsync.Stream // guarded by Service.serverMutex
	closed bool               // guarded by Service.serverMutex; later requests are ignored
}

// wake signals the stream's supervisor to call Send. It does not block.
func (st *stream) wake() {
	select {
	case st.wakeUp <- struct{}{}:
	default: // a signal is already pending
	}
}

// open adds a stream. It returns an error if the member is unavailable or has too many streams.
func (s *Service) open() (st *stream, err error) {
	if err := s.unavailableReason(); err != nil {
		return nil, err
	}
	st = &stream{wakeUp: make(chan struct{}, 1)}
	s.withServer(func(now time.Time) { st.state, err = s.server.Open(now) })
	if err != nil {
		return nil, err
	}
	s.pendingMutex.Lock()
	defer s.pendingMutex.Unlock()
	s.streams[st] = struct{}{}
	return st, nil
}

func (s *Service) close(st *stream) {
	s.pendingMutex.Lock()
	delete(s.streams, st)
	s.pendingMutex.Unlock()
	s.withServer(func(time.Time) {
		st.closed = true
		s.server.Close(st.state)
	})
}

// receive handles requests until the stream ends and returns the reason.
func (s *Service) receive(grpcStream deltaServer, st *stream) error {
	for {
		in, err := grpcStream.Recv()
		if err != nil {
			return err
		}
		s.withServer(func(now time.Time) {
			if !st.closed {
				err = s.server.Receive(now, st.state, in)
			}
		})
		if err != nil {
			return &invalidRequestError{reason: err}
		}
		st.wake()
	}
}

// nextMessage describes what a stream must send now.
type nextMessage struct {
	response      *response     // nil if nothing is due
	wait          time.Duration // maximum time until the next check
	handshakeDone bool
}

func (s *Service) next(st *stream) (next nextMessage, err error) {
	s.withServer(func(now time.Time) {
		next.response, next.wait, err = st.state.Send(now)
		next.handshakeDone = st.state.Name() != ""
	})
	return next, err
}

// supervise sends the responses that are due, each time the stream is woken or its wait has passed. It returns the
// reason why the stream ends.
func (s *Service) supervise(ctx context.Context, st *stream, receiverErr <-chan error, sender *sender) error {
	handshakeDeadline := time.Now().Add(handshakeTimeout)
	timer := time.NewTimer(handshakeTimeout)
	defer timer.Stop()
	for {
		if err := s.unavailableReason(); err != nil {
			return err
		}
		next, err := s.next(st)
		if err != nil {
			return err
		}
		if next.response != nil {
			if err := sender.send(ctx, next.response, s.lease, receiverErr); err != nil {
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
		case err := <-receiverErr:
			return err
		case <-st.wakeUp:
		case <-timer.C:
		}
	}
}

// sender sends responses in a separate goroutine, which blocks while the follower does not read.
type sender struct {
	outbox chan *response
	sent   chan error // buffered for the result of one send
}

// run sends messages until the stream's ctx is done.
func (s *sender) run(ctx context.Context, grpcStream deltaServer) {
	for {
		select {
		case <-ctx.Done():
			return
		case out := <-s.outbox:
			s.sent <- grpcStream.Send(out) // does not block: send reads each result before it queues the next message
		}
	}
}

// send passes a message to run and waits for the result. It returns errNotReading after the timeout, or the receiver's
// error if the receiver ends first.
func (s *sender) send(ctx context.Context, out *response, timeout time.Duration, receiverErr <-chan error) error {
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
	case err := <-receiverErr:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return errNotReading
	}
}
