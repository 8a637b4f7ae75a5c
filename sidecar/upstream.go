package sidecar

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"harehook.dev/harehook/internal/connprobe"
	"harehook.dev/harehook/xds"
)

const (
	maxIdlePerNode = 8
	// upstreamIdleTimeout is the maximum idle time of a pooled connection. It is short because a node may close an idle
	// connection at any time.
	upstreamIdleTimeout = 5 * time.Second
)

// upstream is a connection to a node.
type upstream struct {
	net.Conn
	reader   *bufio.Reader
	address  xds.Address
	lastUsed time.Time
}

// upstreamPool holds the idle connections to nodes. It is safe for concurrent use.
type upstreamPool struct {
	connectTimeout time.Duration

	idleMutex sync.Mutex // guards the fields below
	idle      map[xds.Address][]*upstream
	lastSweep time.Time // time at which sweep was last called
}

func newUpstreamPool(connectTimeout time.Duration) *upstreamPool {
	return &upstreamPool{connectTimeout: connectTimeout, idle: map[xds.Address][]*upstream{}}
}

// connect returns a connection to a node: an idle one that is still open, or a new one.
func (p *upstreamPool) connect(ctx context.Context, address xds.Address, deadline time.Time) (*upstream, error) {
	if pooled := p.popIdle(address); pooled != nil {
		return pooled, nil
	}
	dialer := net.Dialer{Timeout: min(p.connectTimeout, time.Until(deadline))}
	port := strconv.FormatUint(uint64(address.Port), 10)
	conn, err := dialer.DialContext(ctx, "tcp", net.JoinHostPort(address.Host, port))
	if err != nil {
		return nil, err
	}
	return &upstream{Conn: conn, reader: bufio.NewReader(conn), address: address}, nil
}

// popIdle removes the most recently used idle connection to a node from the pool and returns it, or nil if no connection
// is usable. A connection with unread input is not usable: the node has closed it, or sent data outside of a response.
func (p *upstreamPool) popIdle(address xds.Address) *upstream {
	p.idleMutex.Lock()
	defer p.idleMutex.Unlock()
	conns := p.idle[address]
	for len(conns) > 0 {
		last := len(conns) - 1
		candidate := conns[last]
		conns = conns[:last]
		recent := time.Since(candidate.lastUsed) < upstreamIdleTimeout
		if recent && candidate.reader.Buffered() == 0 && connprobe.IsIdle(candidate.Conn) {
			p.idle[address] = conns
			return candidate
		}
		candidate.Close()
	}
	delete(p.idle, address)
	return nil
}

// release returns a connection to the pool after a request.
func (p *upstreamPool) release(conn *upstream) {
	p.idleMutex.Lock()
	defer p.idleMutex.Unlock()
	if len(p.idle[conn.address]) >= maxIdlePerNode {
		conn.Close()
		return
	}
	now := time.Now()
	conn.lastUsed = now
	p.idle[conn.address] = append(p.idle[conn.address], conn)
	if now.Sub(p.lastSweep) >= upstreamIdleTimeout {
		p.sweep(now)
	}
}

// sweep closes connections that are idle for upstreamIdleTimeout or longer; otherwise connections to removed nodes
// would stay open forever. The caller must hold idleMutex.
func (p *upstreamPool) sweep(now time.Time) {
	p.lastSweep = now
	for address, conns := range p.idle {
		recent := conns[:0]
		for _, conn := range conns {
			if now.Sub(conn.lastUsed) < upstreamIdleTimeout {
				recent = append(recent, conn)
			} else {
				conn.Close()
			}
		}
		p.idle[address] = recent
		if len(recent) == 0 {
			delete(p.idle, address)
		}
	}
}

// close closes all idle connections.
func (p *upstreamPool) close() {
	p.idleMutex.Lock()
	defer p.idleMutex.Unlock()
	for _, conns := range p.idle {
		for _, conn := range conns {
			conn.Close()
		}
	}
}
