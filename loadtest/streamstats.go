package loadtest

import (
	"context"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc/stats"

	"harehook.dev/harehook/configsync"
)

// streamStats implements stats.Handler. gRPC calls it for each message on a client's streams.
type streamStats struct{ meter *connectionMeter }

// streamKey is the context key of a stream's state.
type streamKey struct{}

// streamState holds the state of a stream.
type streamState struct {
	hasMessage bool // a message was received
	hasUpdate  bool // a message with a revision was received
}

// TagRPC implements stats.Handler.
func (s streamStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, streamKey{}, &streamState{})
}

// HandleRPC implements stats.Handler.
func (s streamStats) HandleRPC(ctx context.Context, event stats.RPCStats) {
	payload, isInPayload := event.(*stats.InPayload)
	if !isInPayload {
		return
	}
	response, isResponse := payload.Payload.(*discoveryv3.DeltaDiscoveryResponse)
	stream, isTagged := ctx.Value(streamKey{}).(*streamState)
	if !isResponse || !isTagged {
		return
	}
	if !stream.hasMessage {
		stream.hasMessage = true
		s.meter.joined(s.meter.lastMember())
	}
	if response.GetNonce() == "" {
		s.meter.messages.recordHeartbeat()
		return
	}
	s.handleUpdate(stream, response, payload.WireLength)
}

// handleUpdate counts a message with a revision.
func (s streamStats) handleUpdate(stream *streamState, response *discoveryv3.DeltaDiscoveryResponse, wireBytes int) {
	content := configsync.ContentOf(response)
	if content.FullScope || content.Records > 0 {
		s.meter.recordsReceived.Store(true)
	}
	s.meter.messages.recordUpdate(response, wireBytes, updateContext{
		firstOfStream: !stream.hasUpdate,
		hasAccepted:   s.meter.hasAccepted.Load(),
	})
	stream.hasUpdate = true
}

// TagConn implements stats.Handler.
func (streamStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (streamStats) HandleConn(context.Context, stats.ConnStats) {}
