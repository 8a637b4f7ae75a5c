package transport

import (
	"context"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/xds"
)

// baselineRate is the baseline rate of a sidecar that joins, in requests per second. It is a rough estimate, because a
// sidecar does not report its rate when it joins.
const baselineRate = 1.0

// Node holds the name, zone and address of a node.
type Node struct {
	Name, Zone string
	Address    xds.Address
}

// runHub runs the hub, which owns the state machines: it runs tasks and applies commands until ctx is done.
func (s *Server) runHub(ctx context.Context) {
	defer close(s.done)
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-s.tasks:
			task()
		case <-s.batchesReady:
			for _, batch := range s.dequeueBatches() {
				s.applyBatch(batch)
			}
		}
	}
}

// applyBatch applies commands and notifies the controller that they were accepted.
func (s *Server) applyBatch(batch []controller.Command) {
	if err := s.Streams.ApplyCommands(s.now(), batch); err != nil {
		s.Log.Error("cannot compile commands into resources, sidecars may keep earlier ones", zap.Error(err))
	}
	for _, command := range batch {
		if command.Kind == controller.RequestAck {
			s.Controller.CommandsAccepted(command.Nonce)
		}
	}
}

// post queues a task to run on the hub and blocks while the queue is full. It returns false if the hub has stopped.
func (s *Server) post(task func()) bool {
	select {
	case s.tasks <- task:
		return true
	case <-s.done:
		return false
	}
}

// call runs a task on the hub and waits until it has finished. It returns false if the hub has stopped.
func (s *Server) call(task func()) bool {
	finished := make(chan struct{})
	posted := s.post(func() {
		task()
		close(finished)
	})
	if !posted {
		return false
	}
	select {
	case <-finished:
		return true
	case <-s.done:
		return false
	}
}

// AddAddresses sets the addresses of the given nodes; those of all other nodes stay. It must be called before the nodes
// are reported to the controller.
func (s *Server) AddAddresses(nodes []Node) {
	s.call(func() {
		for _, node := range nodes {
			s.Streams.Compiler.SetAddress(node.Name, node.Zone, node.Address)
		}
	})
}

// SetAgreedRoutes sends the routes of a routing revision to all sidecars.
func (s *Server) SetAgreedRoutes(routingRevision uint64, routes []xds.Route) {
	s.call(func() {
		if err := s.Streams.SetAgreedRoutes(s.now(), routingRevision, routes); err != nil {
			s.Log.Error("cannot compile agreed routes into resources, sidecars may keep earlier ones", zap.Error(err))
		}
	})
}

// hubSink implements xds.Sink. Its methods run on the hub.
type hubSink struct{ server *Server }

// Send queues a response for its stream.
func (h hubSink) Send(id uint64, r *discoveryv3.DiscoveryResponse) { h.send(id, r) }

// SendDelta queues a response for its stream.
func (h hubSink) SendDelta(id uint64, r *discoveryv3.DeltaDiscoveryResponse) { h.send(id, r) }

// send queues a response for the goroutine that sends on the stream. If the queue is full because the sidecar does not
// read its responses, the stream is cancelled, because the hub must not block.
func (h hubSink) send(id uint64, response any) {
	adsStream := h.server.streams[id]
	if adsStream == nil {
		return
	}
	select {
	case adsStream.responses <- response:
	default:
		adsStream.cancel(status.Error(codes.ResourceExhausted, "response queue is full: the sidecar does not read its responses"))
	}
}

// CloseStream cancels a stream with the given reason.
func (h hubSink) CloseStream(id uint64, reason string) {
	if adsStream := h.server.streams[id]; adsStream != nil {
		adsStream.cancel(status.Error(codes.Aborted, reason))
	}
}

// Joined notifies the controller that a proxy has joined.
func (h hubSink) Joined(proxy int, zone string) {
	h.server.Controller.ProxyJoined(proxy, zone, baselineRate)
}

// Left notifies the controller that a proxy has left.
func (h hubSink) Left(proxy int) { h.server.Controller.ProxyLeft(proxy) }

// Acknowledged notifies the controller that a proxy has acknowledged a nonce.
func (h hubSink) Acknowledged(proxy, nonce int) { h.server.Controller.Acknowledged(proxy, nonce) }

// Rejected logs a NACK.
func (h hubSink) Rejected(sidecar string, t xds.ResourceType, reason string) {
	h.server.Log.Warn("sidecar rejected resources", zap.String("sidecar", sidecar), zap.Stringer("kind", t), zap.String("why", reason))
}
