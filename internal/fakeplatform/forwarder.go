package fakeplatform

import (
	"context"
	"io"
	"net"
	"sync"
)

// Forwarder forwards connections to an address. While it is cut, it has no open connections and closes new ones.
type Forwarder struct {
	*server
	target string
	ctx    context.Context // canceled by Close
	cancel context.CancelFunc

	connsMutex sync.Mutex
	conns      map[net.Conn]struct{} // both sides of each connection
	cut        bool
}

// NewForwarder starts a forwarder to target that listens on loopback.
func NewForwarder(target string) (*Forwarder, error) {
	f := &Forwarder{target: target, conns: map[net.Conn]struct{}{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	var err error
	f.server, err = listen("127.0.0.1:0", f.forward)
	return f, err
}

// Cut closes all connections and rejects new ones if cut is true, and accepts connections again if it is false.
func (f *Forwarder) Cut(cut bool) {
	f.connsMutex.Lock()
	defer f.connsMutex.Unlock()
	f.cut = cut
	if !cut {
		return
	}
	for conn := range f.conns {
		conn.Close()
	}
}

// Close stops the forwarder and closes its connections.
func (f *Forwarder) Close() {
	f.cancel()
	f.Cut(true)
	f.server.Close()
}

func (f *Forwarder) forward(client net.Conn) {
	var dialer net.Dialer
	upstream, err := dialer.DialContext(f.ctx, "tcp", f.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	if !f.addPair(client, upstream) {
		return
	}
	defer f.removePair(client, upstream)
	var copies sync.WaitGroup
	copies.Go(func() { copyAndClose(client, upstream) })
	copies.Go(func() { copyAndClose(upstream, client) })
	copies.Wait()
}

// copyAndClose copies data until one connection fails or ends, and then closes both.
func copyAndClose(dst, src net.Conn) {
	io.Copy(dst, src) //nolint:errcheck // either connection may end or be cut at any time
	dst.Close()
	src.Close()
}

// addPair registers both sides of a connection. It returns false if the forwarder is cut.
func (f *Forwarder) addPair(client, upstream net.Conn) bool {
	f.connsMutex.Lock()
	defer f.connsMutex.Unlock()
	if f.cut {
		return false
	}
	f.conns[client] = struct{}{}
	f.conns[upstream] = struct{}{}
	return true
}

func (f *Forwarder) removePair(client, upstream net.Conn) {
	f.connsMutex.Lock()
	defer f.connsMutex.Unlock()
	delete(f.conns, client)
	delete(f.conns, upstream)
}
