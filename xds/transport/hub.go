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

// baselineRate is the requests a second of a sidecar that joins: a rough figure, since it tells none.
const baselineRate = 1.0

// Node is a node and where it takes requests.
type Node struct {
	Name, Zone string
	Address    xds.Address
}

// runHub runs tasks and applies commands until ctx ends. It owns the state machines.
func (s *Server) runHub(ctx context.Context) {
	defer close(s.done)
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-s.tasks:
			task()
		case <-s.batchesReady:
			for _, batch := range s.takeBatches() {
				s.applyBatch(batch)
			}
		}
	}
}

// applyBatch applies commands and reports to the controller that they were accepted.
func (s *Server) applyBatch(batch []controller.Command) {
	if err := s.Streams.ApplyCommands(s.now(), batch); err != nil {
		s.Log.Error("commands make no resources", zap.Error(err))
	}
	for _, command := range batch {
		if command.Kind == controller.RequestAck {
			s.Controller.CommandsAccepted(command.Nonce)
		}
	}
}

// post has the hub run a task; it returns false if the hub has ended.
func (s *Server) post(task func()) bool {
	select {
	case s.tasks <- task:
		return true
	case <-s.done:
		return false
	}
}

// call has the hub run a task and waits for its end; it returns false if the hub has ended.
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

// AddAddresses sets where nodes take requests, and keeps those of all other nodes. It has to be called before the controller
// is told of them.
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
			s.Log.Error("agreed routes make no resources", zap.Error(err))
		}
	})
}

// hubSink implements xds.Sink; the hub calls it.
type hubSink struct{ server *Server }

// Send passes a response to its stream.
func (h hubSink) Send(id uint64, r *discoveryv3.DiscoveryResponse) { h.send(id, r) }

// SendDelta passes a response to its stream.
func (h hubSink) SendDelta(id uint64, r *discoveryv3.DeltaDiscoveryResponse) { h.send(id, r) }

// send passes a response to the stream's sender. A sidecar that does not read its responses is disconnected, since the hub
// must not wait for it.
func (h hubSink) send(id uint64, response any) {
	to := h.server.streams[id]
	if to == nil {
		return
	}
	select {
	case to.responses <- response:
	default:
		to.cancel(status.Error(codes.ResourceExhausted, "responses were not read"))
	}
}

// CloseStream ends a stream.
func (h hubSink) CloseStream(id uint64, why string) {
	if closing := h.server.streams[id]; closing != nil {
		closing.cancel(status.Error(codes.Aborted, why))
	}
}

// Joined tells the controller of a proxy.
func (h hubSink) Joined(proxy int, zone string) {
	h.server.Controller.ProxyJoined(proxy, zone, baselineRate)
}

// Left tells the controller that a proxy has left.
func (h hubSink) Left(proxy int) { h.server.Controller.ProxyLeft(proxy) }

// Acknowledged tells the controller of a proxy's acknowledgement.
func (h hubSink) Acknowledged(proxy, nonce int) { h.server.Controller.Acknowledged(proxy, nonce) }

// Rejected logs a NACK.
func (h hubSink) Rejected(sidecar string, t xds.ResourceType, why string) {
	h.server.Log.Warn("version refused", zap.String("sidecar", sidecar), zap.Stringer("kind", t), zap.String("why", why))
}
