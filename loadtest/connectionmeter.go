package loadtest

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
)

// dialTimeout limits the time to establish a connection.
const dialTimeout = 2 * time.Second

// connectionMeter wraps the connections of a controller's client. It counts bytes and messages, and simulates a network
// cut.
type connectionMeter struct {
	wire     *wireCounter
	messages *messageMeter
	joined   func(member string) // called on the first response of each stream

	connsMutex sync.Mutex // guards the three fields below
	member     string     // address dialed last
	conns      map[*meteredConn]struct{}
	healed     chan struct{} // closed at the end of a cut; nil if there is none

	recordsReceived atomic.Bool // records were received since the digest was last computed
	hasAccepted     atomic.Bool // the current incarnation has accepted a revision
}

func newConnectionMeter(wire *wireCounter, messages *messageMeter, joined func(member string)) *connectionMeter {
	return &connectionMeter{wire: wire, messages: messages, joined: joined, conns: map[*meteredConn]struct{}{}}
}

// dialOptions returns the dial options that route a client's connections through the meter.
func (m *connectionMeter) dialOptions() []grpc.DialOption {
	return []grpc.DialOption{grpc.WithContextDialer(m.dial), grpc.WithStatsHandler(streamStats{m})}
}

// dial connects to a member. During a cut it blocks until the cut ends.
func (m *connectionMeter) dial(ctx context.Context, address string) (net.Conn, error) {
	if healed := m.cutEnd(); healed != nil {
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
	m.connsMutex.Lock()
	defer m.connsMutex.Unlock()
	m.member = address
	m.conns[metered] = struct{}{}
	return metered, nil
}

// lastMember returns the address of the member that was dialed last.
func (m *connectionMeter) lastMember() string {
	m.connsMutex.Lock()
	defer m.connsMutex.Unlock()
	return m.member
}

// cutEnd returns a channel that is closed at the end of the current cut, or nil if there is no cut.
func (m *connectionMeter) cutEnd() <-chan struct{} {
	m.connsMutex.Lock()
	defer m.connsMutex.Unlock()
	return m.healed
}

// cut drops all traffic in both directions without closing the connections.
func (m *connectionMeter) cut() {
	m.connsMutex.Lock()
	defer m.connsMutex.Unlock()
	if m.healed == nil {
		m.healed = make(chan struct{})
	}
}

// heal ends a cut. It closes the connections, because bytes were lost on them.
func (m *connectionMeter) heal() {
	m.connsMutex.Lock()
	healed := m.healed
	m.healed = nil
	m.connsMutex.Unlock()
	if healed == nil {
		return
	}
	m.closeAll()
	close(healed)
}

// closeAll closes all connections.
func (m *connectionMeter) closeAll() {
	m.connsMutex.Lock()
	var conns []*meteredConn
	for conn := range m.conns {
		conns = append(conns, conn)
	}
	m.connsMutex.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
}

// meteredConn is a connection that counts its bytes and may be cut.
type meteredConn struct {
	net.Conn
	meter  *connectionMeter
	once   sync.Once
	closed chan struct{}
}

// Read counts the bytes that it reads. During a cut it blocks until the connection is closed.
func (c *meteredConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if healed := c.meter.cutEnd(); healed != nil {
		<-c.closed // closed by the client or at the end of the cut
		return 0, net.ErrClosed
	}
	c.meter.wire.in.Add(uint64(n))
	return n, err
}

// Write counts the bytes that it writes. During a cut it discards them without counting.
func (c *meteredConn) Write(data []byte) (int, error) {
	if c.meter.cutEnd() != nil {
		return len(data), nil
	}
	n, err := c.Conn.Write(data)
	c.meter.wire.out.Add(uint64(n))
	return n, err
}

// Close closes the connection.
func (c *meteredConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.meter.connsMutex.Lock()
		defer c.meter.connsMutex.Unlock()
		delete(c.meter.conns, c)
	})
	return c.Conn.Close()
}
