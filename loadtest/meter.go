package loadtest

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"harehook.dev/harehook/configsync"
)

// dialTimeout is how long a connection may take to be made.
const dialTimeout = 2 * time.Second

// wireCounter counts bytes of all connections of a worker.
type wireCounter struct{ in, out atomic.Uint64 }

func (w *wireCounter) reading() *wireReading {
	return &wireReading{At: time.Now().UnixNano(), In: w.in.Load(), Out: w.out.Load()}
}

// countingWriter counts what is written.
type countingWriter struct {
	to    io.Writer
	count *atomic.Uint64
}

// Write writes on.
func (w countingWriter) Write(from []byte) (int, error) {
	n, err := w.to.Write(from)
	w.count.Add(uint64(n))
	return n, err
}

// connectionMeter stands between a controller's client and the network: it counts what comes, and cuts connections.
type connectionMeter struct {
	wire     *wireCounter
	messages *messageMeter
	joined   func(member string) // called at the first answer on each stream

	mutex  sync.Mutex
	member string // dialled last
	conns  map[*meteredConn]struct{}
	healed chan struct{} // closed at the end of a cut; nil: not cut

	recordsReceived atomic.Bool // records have come since this was asked last
	hasAccepted     atomic.Bool // something was accepted in the present life
}

func newConnectionMeter(wire *wireCounter, messages *messageMeter, joined func(member string)) *connectionMeter {
	return &connectionMeter{wire: wire, messages: messages, joined: joined, conns: map[*meteredConn]struct{}{}}
}

// options are those that have a client's connections metered.
func (m *connectionMeter) options() []grpc.DialOption {
	return []grpc.DialOption{grpc.WithContextDialer(m.dial), grpc.WithStatsHandler(streamStats{m})}
}

func (m *connectionMeter) dial(ctx context.Context, address string) (net.Conn, error) {
	if healed := m.cutOff(); healed != nil {
		select {
		case <-healed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	metered := &meteredConn{Conn: conn, meter: m, closed: make(chan struct{})}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.member = address
	m.conns[metered] = struct{}{}
	return metered, nil
}

// cutOff gives the channel that ends a cut, nil if there is none.
func (m *connectionMeter) cutOff() <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.healed
}

// cut has nothing come through any more.
func (m *connectionMeter) cut() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.healed == nil {
		m.healed = make(chan struct{})
	}
}

// heal ends a cut. Connections that were cut have lost bytes and are closed.
func (m *connectionMeter) heal() {
	m.mutex.Lock()
	healed := m.healed
	m.healed = nil
	m.mutex.Unlock()
	if healed == nil {
		return
	}
	m.closeAll()
	close(healed)
}

// closeAll closes all connections.
func (m *connectionMeter) closeAll() {
	m.mutex.Lock()
	var conns []*meteredConn
	for conn := range m.conns {
		conns = append(conns, conn)
	}
	m.mutex.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
}

// meteredConn is a connection whose bytes are counted and that may be cut.
type meteredConn struct {
	net.Conn
	meter  *connectionMeter
	once   sync.Once
	closed chan struct{}
}

// Read counts what it reads; during a cut it blocks.
func (c *meteredConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if healed := c.meter.cutOff(); healed != nil {
		<-c.closed // the end of the cut closes it, if the client does not before
		return 0, net.ErrClosed
	}
	c.meter.wire.in.Add(uint64(n))
	return n, err
}

// Write counts what it writes; during a cut that is lost.
func (c *meteredConn) Write(from []byte) (int, error) {
	if c.meter.cutOff() != nil {
		return len(from), nil
	}
	n, err := c.Conn.Write(from)
	c.meter.wire.out.Add(uint64(n))
	return n, err
}

// Close closes the connection.
func (c *meteredConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.meter.mutex.Lock()
		defer c.meter.mutex.Unlock()
		delete(c.meter.conns, c)
	})
	return c.Conn.Close()
}

// streamStats is told by gRPC of each message of a client's streams.
type streamStats struct{ meter *connectionMeter }

type streamKey struct{}

// streamState is what is known of a stream.
type streamState struct {
	hasMessage bool // a message has come
	hasUpdate  bool // an offer has come
}

// TagRPC implements stats.Handler.
func (s streamStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, streamKey{}, &streamState{})
}

// HandleRPC implements stats.Handler.
func (s streamStats) HandleRPC(ctx context.Context, what stats.RPCStats) {
	payload, is := what.(*stats.InPayload)
	if !is {
		return
	}
	response, is := payload.Payload.(*discoveryv3.DeltaDiscoveryResponse)
	stream, known := ctx.Value(streamKey{}).(*streamState)
	if !is || !known {
		return
	}
	if !stream.hasMessage {
		stream.hasMessage = true
		s.meter.mutex.Lock()
		member := s.meter.member
		s.meter.mutex.Unlock()
		s.meter.joined(member)
	}
	if response.GetNonce() != "" {
		if content := configsync.ContentOf(response); content.FullScope || content.Records > 0 {
			s.meter.recordsReceived.Store(true)
		}
		s.meter.messages.record(response, payload.WireLength, !stream.hasUpdate, s.meter.hasAccepted.Load())
		stream.hasUpdate = true
		return
	}
	s.meter.messages.recordHeartbeat(payload.WireLength)
}

// TagConn implements stats.Handler.
func (streamStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (streamStats) HandleConn(context.Context, stats.ConnStats) {}

// bodyBytes is the length of the record that a resource carries.
func bodyBytes(resource *discoveryv3.Resource) int {
	var body wrapperspb.BytesValue
	if resource.GetResource().UnmarshalTo(&body) != nil {
		return 0
	}
	return len(body.GetValue())
}
