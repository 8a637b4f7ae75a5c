package transport

import (
	"context"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"harehook.dev/harehook/xds"
)

// stream is the aggregated stream of a sidecar. Its goroutines return when its context is done.
type stream struct {
	id        uint64
	responses chan any
	cancel    context.CancelCauseFunc

	closed bool // owned by the hub; if set, requests received earlier and handled later have no effect
}

// streamNode holds the node id and zone in the first request of a stream.
type streamNode struct{ id, zone string }

// streamRequest is a request of either variant, state of the world or delta.
type streamRequest struct {
	node   streamNode
	handle func(stream uint64) error // passes the request to the state machines; must run on the hub
}

// streamConn is a gRPC stream of either variant. Calls of the same method must not be concurrent.
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
	return a.server.serveStream(grpcStream.Context(), false, stateOfTheWorldConn{server: a.server, grpcStream: grpcStream})
}

// DeltaAggregatedResources serves a stream of the delta variant.
func (a adsService) DeltaAggregatedResources(grpcStream discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return a.server.serveStream(grpcStream.Context(), true, deltaConn{server: a.server, grpcStream: grpcStream})
}

// stateOfTheWorldConn is a streamConn of the state-of-the-world variant.
type stateOfTheWorldConn struct {
	server     *Server
	grpcStream discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer
}

func (c stateOfTheWorldConn) receive() (streamRequest, error) {
	r, err := c.grpcStream.Recv()
	if err != nil {
		return streamRequest{}, err
	}
	id, zone := xds.ParseNode(r.GetNode())
	handle := func(stream uint64) error { return c.server.Streams.HandleStateOfTheWorld(c.server.now(), stream, r) }
	return streamRequest{node: streamNode{id: id, zone: zone}, handle: handle}, nil
}

func (c stateOfTheWorldConn) send(response any) error {
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

// serveStream serves a stream until it ends. The calling goroutine sends responses, another one receives requests.
func (s *Server) serveStream(ctx context.Context, delta bool, conn streamConn) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	adsStream := &stream{id: s.lastStreamID.Add(1), responses: make(chan any, responseQueueSize), cancel: cancel}
	firstRequestTimer := time.AfterFunc(firstRequestTimeout, func() {
		cancel(status.Errorf(codes.DeadlineExceeded, "no first request within %s", firstRequestTimeout))
	})
	defer firstRequestTimer.Stop()
	// This goroutine cannot be waited for: receive returns an error only after this method has returned, because that
	// ends the gRPC stream.
	go s.receiveRequests(adsStream, delta, conn, firstRequestTimer)
	defer s.post(func() { s.closeStream(adsStream) })
	return s.sendResponses(ctx, adsStream, conn)
}

// sendResponses sends queued responses until the stream ends or the hub stops.
func (s *Server) sendResponses(ctx context.Context, adsStream *stream, conn streamConn) error {
	for {
		select {
		case <-ctx.Done():
			return streamStatus(ctx)
		case <-s.done:
			return status.Error(codes.Unavailable, "the controller is shutting down")
		case response := <-adsStream.responses:
			if err := conn.send(response); err != nil {
				return err
			}
		}
	}
}

// receiveRequests posts requests to the hub until the stream ends or the hub stops. The first request opens the stream.
func (s *Server) receiveRequests(adsStream *stream, delta bool, conn streamConn, firstRequestTimer *time.Timer) {
	opened := false
	for {
		request, err := conn.receive()
		if err != nil {
			adsStream.cancel(err)
			return
		}
		if !opened {
			firstRequestTimer.Stop()
			opened = true
			if !s.openStream(adsStream, delta, request.node) {
				return
			}
		}
		posted := s.post(func() {
			if err := request.handle(adsStream.id); err != nil {
				s.rejectStream(adsStream, err)
			}
		})
		if !posted {
			return
		}
	}
}

// openStream opens a stream on the hub. It returns false if the zone is unknown or the hub has stopped.
func (s *Server) openStream(adsStream *stream, delta bool, node streamNode) bool {
	if !s.Controller.KnowsZone(node.zone) {
		s.MalformedRequests.Add(1)
		adsStream.cancel(status.Errorf(codes.InvalidArgument, "zone %q is not known", node.zone))
		return false
	}
	return s.post(func() {
		// A stream may end after its first request was received and before the hub opens it. If the hub opened it then,
		// its sidecar would count as connected forever.
		if adsStream.closed {
			return
		}
		s.streams[adsStream.id] = adsStream
		if err := s.Streams.Open(s.now(), adsStream.id, delta, node.id, node.zone); err != nil {
			s.rejectStream(adsStream, err)
		}
	})
}

// rejectStream cancels a stream because of an invalid request.
func (s *Server) rejectStream(adsStream *stream, reason error) {
	s.MalformedRequests.Add(1)
	adsStream.cancel(status.Error(codes.InvalidArgument, reason.Error()))
}

// closeStream removes a stream. It must run on the hub.
func (s *Server) closeStream(adsStream *stream) {
	adsStream.closed = true
	delete(s.streams, adsStream.id)
	s.Streams.Close(s.now(), adsStream.id)
}

// streamStatus returns the cause for which the context of a stream was cancelled, as a gRPC status.
func streamStatus(ctx context.Context) error {
	err := context.Cause(ctx)
	if _, isStatus := status.FromError(err); isStatus {
		return err
	}
	return status.FromContextError(err).Err()
}
