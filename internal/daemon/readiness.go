package daemon

import (
	"net"
	"sync"
)

// gatedListener is a listener that accepts no connection until the controller is ready. Meanwhile connections wait in
// the system's queue, so that a sidecar that connects early is served as soon as possible.
type gatedListener struct {
	net.Listener
	ready  <-chan struct{} // closed when connections may be accepted
	closed chan struct{}
	close  sync.Once
}

func newGatedListener(listener net.Listener, ready <-chan struct{}) *gatedListener {
	return &gatedListener{Listener: listener, ready: ready, closed: make(chan struct{})}
}

// Accept waits until the controller is ready, and then for the next connection.
func (l *gatedListener) Accept() (net.Conn, error) {
	select {
	case <-l.ready:
		return l.Listener.Accept()
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener. A waiting Accept returns net.ErrClosed.
func (l *gatedListener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
