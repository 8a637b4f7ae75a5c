package loadtest

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
)

// dialTimeout is how long a connection may take to be made.
const dialTimeout = 2 * time.Second

// connectionMeter stands between a controller's client and the network: it counts what comes, and cuts connections.
type connectionMeter struct {
	wire     *wireCounter
	messages *messageMeter
	joined   func(member string) // called at the first answer on each stream

	connsMutex sync.Mutex // guards the three below
	member     string     // address dialled last
	conns      map[*meteredConn]struct{}
	healed     chan struct{} // closed at the end of a cut; nil: not cut

	recordsReceived atomic.Bool // records have come since the digest was computed last
	hasAccepted     atomic.Bool // the present incarnation has accepted something
}

func newConnectionMeter(wire *wireCounter, messages *messageMeter, joined func(member string)) *connectionMeter {
	return &connectionMeter{wire: wire, messages: messages, joined: joined, conns: map[*meteredConn]struct{}{}}
}

// options are those that have a client's connections metered.
func (m *connectionMeter) options() []grpc.DialOption {
	return []grpc.DialOption{grpc.WithContextDialer(m.dial), grpc.WithStatsHandler(streamStats{m})}
}

// dial connects to a member, after the end of a cut.
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

// lastMember is the address that was dialled last.
func (m *connectionMeter) lastMember() string {
	m.connsMutex.Lock()
	defer m.connsMutex.Unlock()
	return m.member
}

// cutEnd returns the channel that is closed at the end of a cut; nil if there is none.
func (m *connectionMeter) cutEnd() <-chan struct{} {
	m.connsMutex.Lock()
	defer m.connsMutex.Unlock()
	return m.healed
}

// cut has nothing come through any more, without notice to either end.
func (m *connectionMeter) cut() {
	m.connsMutex.Lock()
	defer m.connsMutex.Unlock()
	if m.healed == nil {
		m.healed = make(chan struct{})
	}
}

// heal ends a cut. Connections that were cut have lost bytes and are closed.
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
	if healed := c.meter.cutEnd(); healed != nil {
		<-c.closed // the end of the cut closes it, if the client does not before
		return 0, net.ErrClosed
	}
	c.meter.wire.in.Add(uint64(n))
	return n, err
}

// Write counts what it writes; during a cut that is lost.
func (c *meteredConn) Write(from []byte) (int, error) {
	if c.meter.cutEnd() != nil {
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
		c.meter.connsMutex.Lock()
		defer c.meter.connsMutex.Unlock()
		delete(c.meter.conns, c)
	})
	return c.Conn.Close()
}
