package transport

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// cuttableProxy forwards the connections of a follower to a member until a test cuts or stalls them.
type cuttableProxy struct {
	listener   net.Listener
	target     string
	goroutines sync.WaitGroup

	mutex     sync.Mutex
	rejecting bool
	stalled   chan struct{} // if not nil, no bytes are forwarded until it is closed
	conns     map[net.Conn]struct{}

	cutAfter atomic.Int64 // bytes to the follower after which the connection is cut, only once; 0: never
	dialled  atomic.Int64
}

func newCuttableProxy(t testing.TB, target string) *cuttableProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &cuttableProxy{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	p.goroutines.Go(p.accept)
	t.Cleanup(p.close)
	return p
}

func (p *cuttableProxy) address() string { return p.listener.Addr().String() }

func (p *cuttableProxy) close() {
	p.listener.Close()
	p.stall(false)
	p.cut(true)
	p.goroutines.Wait()
}

// cut closes all connections and rejects new ones, or accepts new ones again.
func (p *cuttableProxy) cut(active bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.rejecting = active
	if active {
		p.closeConns()
	}
}

func (p *cuttableProxy) closeConns() {
	for conn := range p.conns {
		conn.Close()
	}
}

// stall stops forwarding bytes without closing the connections, or resumes it.
func (p *cuttableProxy) stall(active bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case active && p.stalled == nil:
		p.stalled = make(chan struct{})
	case !active && p.stalled != nil:
		close(p.stalled)
		p.stalled = nil
	}
}

func (p *cuttableProxy) accept() {
	for {
		followerConn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.dialled.Add(1)
		p.goroutines.Go(func() { p.forward(followerConn) })
	}
}

func (p *cuttableProxy) forward(followerConn net.Conn) {
	defer followerConn.Close()
	memberConn, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer memberConn.Close()
	p.mutex.Lock()
	if p.rejecting {
		p.mutex.Unlock()
		return
	}
	p.conns[followerConn], p.conns[memberConn] = struct{}{}, struct{}{}
	p.mutex.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(memberConn, followerConn, nil) })
	both.Go(func() { p.copy(followerConn, memberConn, &p.cutAfter) })
	both.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.conns, followerConn)
	delete(p.conns, memberConn)
}

// copy forwards bytes in one direction until either side closes or the limit is reached.
func (p *cuttableProxy) copy(to, from net.Conn, limit *atomic.Int64) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		p.mutex.Lock()
		stalled := p.stalled
		p.mutex.Unlock()
		if stalled != nil {
			<-stalled
		}
		if limit != nil && limit.Load() > 0 {
			remaining := limit.Add(-int64(n))
			if remaining <= 0 {
				limit.Store(0)
				to.Write(buffer[:max(0, n+int(remaining))])
				return
			}
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}
