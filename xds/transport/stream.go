package transport

import (
	"context"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"harehook.dev/harehook/xds"
)

// stream is a sidecar's aggregated stream. Its goroutines end with its context.
type stream struct {
	id        uint64
	responses chan any
	cancel    context.CancelCauseFunc

	closed bool // owned by the hub: what was received before and is handled after is void
}

// streamNode is the node that a stream's first request names.
type streamNode struct{ id, zone string }

// streamRequest is a request of either variant.
type streamRequest struct {
	node   streamNode
	handle func(stream uint64) error // by the state machines; the hub calls it
}

// streamConn is the gRPC stream of either variant. One goroutine at a time calls each method.
type streamConn interface {
	receive() (streamRequest, error)
	send(response any) error
}

// adsService implements the aggregated discovery service.
type adsService struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	server *Server
}

// StreamAggregatedResources serves a stream of the state-of-the-world variant.
func (a adsService) StreamAggregatedResources(grpcStream discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	return a.server.serveStream(grpcStream.Context(), false, stateConn{server: a.server, grpcStream: grpcStream})
}

// DeltaAggregatedResources serves a stream of the delta variant.
func (a adsService) DeltaAggregatedResources(grpcStream discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return a.server.serveStream(grpcStream.Context(), true, deltaConn{server: a.server, grpcStream: grpcStream})
}

// stateConn is a streamConn of the state-of-the-world variant.
type stateConn struct {
	server     *Server
	grpcStream discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer
}

func (c stateConn) receive() (streamRequest, error) {
	r, err := c.grpcStream.Recv()
	if err != nil {
		return streamRequest{}, err
	}
	id, zone := xds.ParseNode(r.GetNode())
	handle := func(stream uint64) error { return c.server.Streams.HandleStateOfTheWorld(c.server.now(), stream, r) }
	return streamRequest{node: streamNode{id: id, zone: zone}, handle: handle}, nil
}

func (c stateConn) send(response any) error {
	return c.grpcStream.Send(response.(*discoveryv3.DiscoveryResponse))
}

// deltaConn is a streamConn of the delta variant.
type deltaConn struct {
	server     *Server
	grpcStream discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer
}

func (c deltaConn) receive() (streamRequest, error) {
	r, err := c.grpcStream.Recv()
	if err != nil {
		return streamRequest{}, err
	}
	id, zone := xds.ParseNode(r.GetNode())
	handle := func(stream uint64) error { return c.server.Streams.HandleDelta(c.server.now(), stream, r) }
	return streamRequest{node: streamNode{id: id, zone: zone}, handle: handle}, nil
}

func (c deltaConn) send(response any) error {
	return c.grpcStream.Send(response.(*discoveryv3.DeltaDiscoveryResponse))
}

// serveStream runs a stream until it ends: this goroutine sends, another one receives.
func (s *Server) serveStream(ctx context.Context, delta bool, conn streamConn) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	served := &stream{id: s.lastStreamID.Add(1), responses: make(chan any, responseQueueSize), cancel: cancel}
	firstRequest := time.AfterFunc(firstRequestTimeout, func() {
		cancel(status.Error(codes.DeadlineExceeded, "no first request"))
	})
	defer firstRequest.Stop()
	// It can't be waited for: its receive fails only once this method has returned, which ends the gRPC stream.
	go s.receiveRequests(served, delta, conn, firstRequest)
	defer s.post(func() { s.closeStream(served) })
	return s.sendResponses(ctx, served, conn)
}

// sendResponses sends responses until the stream or the hub ends.
func (s *Server) sendResponses(ctx context.Context, to *stream, conn streamConn) error {
	for {
		select {
		case <-ctx.Done():
			return streamStatus(ctx)
		case <-s.done:
			return status.Error(codes.Unavailable, "the controller stops")
		case response := <-to.responses:
			if err := conn.send(response); err != nil {
				return err
			}
		}
	}
}

// receiveRequests posts requests to the hub until the stream or the hub ends. The first one opens the stream.
func (s *Server) receiveRequests(from *stream, delta bool, conn streamConn, firstRequest *time.Timer) {
	opened := false
	for {
		request, err := conn.receive()
		if err != nil {
			from.cancel(err)
			return
		}
		if !opened {
			firstRequest.Stop()
			opened = true
			if !s.openStream(from, delta, request.node) {
				return
			}
		}
		posted := s.post(func() {
			if err := request.handle(from.id); err != nil {
				s.rejectStream(from, err)
			}
		})
		if !posted {
			return
		}
	}
}

// openStream has the hub open a stream; it returns false if that is not to be.
func (s *Server) openStream(opening *stream, delta bool, node streamNode) bool {
	if !s.Controller.KnowsZone(node.zone) {
		s.MalformedRequests.Add(1)
		opening.cancel(status.Errorf(codes.InvalidArgument, "zone %q is not known", node.zone))
		return false
	}
	return s.post(func() {
		// A stream may end in the instant in which its first request was received: opened after its end, its sidecar would
		// count as connected for good.
		if opening.closed {
			return
		}
		s.streams[opening.id] = opening
		if err := s.Streams.Open(s.now(), opening.id, delta, node.id, node.zone); err != nil {
			s.rejectStream(opening, err)
		}
	})
}

// rejectStream ends a stream whose request was invalid.
func (s *Server) rejectStream(rejected *stream, reason error) {
	s.MalformedRequests.Add(1)
	rejected.cancel(status.Error(codes.InvalidArgument, reason.Error()))
}

// closeStream forgets a stream; the hub calls it.
func (s *Server) closeStream(closing *stream) {
	closing.closed = true
	delete(s.streams, closing.id)
	s.Streams.Close(s.now(), closing.id)
}

// streamStatus returns why a stream's context ended as a gRPC status.
func streamStatus(ctx context.Context) error {
	err := context.Cause(ctx)
	if _, isStatus := status.FromError(err); isStatus {
		return err
	}
	return status.FromContextError(err).Err()
}
