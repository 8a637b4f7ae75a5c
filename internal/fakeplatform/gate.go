package fakeplatform

import (
	"io"
	"net"
	"sync"
)

// Forwarder passes connections on to an address until it is cut: then those that stand end and new ones are refused.
type Forwarder struct {
	listener   net.Listener
	target     string
	connsMutex sync.Mutex
	cut        bool
	conns      map[net.Conn]struct{}
}

// NewForwarder starts one on loopback.
func NewForwarder(target string) (*Forwarder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &Forwarder{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go g.accept()
	return g, nil
}

// Address is where it listens.
func (g *Forwarder) Address() string { return g.listener.Addr().String() }

// Cut has nothing pass from now on, or lets it again.
func (g *Forwarder) Cut(yes bool) {
	g.connsMutex.Lock()
	defer g.connsMutex.Unlock()
	if g.cut = yes; yes {
		for conn := range g.conns {
			conn.Close()
		}
	}
}

// Close ends it.
func (g *Forwarder) Close() {
	g.listener.Close()
	g.Cut(true)
}

func (g *Forwarder) accept() {
	for {
		near, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.forward(near)
	}
}

func (g *Forwarder) forward(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	defer far.Close()
	g.connsMutex.Lock()
	if g.cut {
		g.connsMutex.Unlock()
		return
	}
	g.conns[near], g.conns[far] = struct{}{}, struct{}{}
	g.connsMutex.Unlock()
	var both sync.WaitGroup
	for _, way := range [][2]net.Conn{{near, far}, {far, near}} {
		both.Go(func() {
			io.Copy(way[0], way[1])
			way[0].Close()
			way[1].Close()
		})
	}
	both.Wait()
	g.connsMutex.Lock()
	delete(g.conns, near)
	delete(g.conns, far)
	g.connsMutex.Unlock()
}
