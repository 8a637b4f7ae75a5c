package fakeplatform

import (
	"io"
	"net"
	"sync"
)

// Gate passes connections on to an address until it is cut: then those that stand end and new ones are refused.
type Gate struct {
	listener net.Listener
	target   string
	lock     sync.Mutex
	cut      bool
	conns    map[net.Conn]struct{}
}

// NewGate starts one on loopback.
func NewGate(target string) (*Gate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &Gate{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go g.accept()
	return g, nil
}

// Address is where it listens.
func (g *Gate) Address() string { return g.listener.Addr().String() }

// Cut has nothing pass from now on, or lets it again.
func (g *Gate) Cut(yes bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.cut = yes; yes {
		for conn := range g.conns {
			conn.Close()
		}
	}
}

// Close ends it.
func (g *Gate) Close() {
	g.listener.Close()
	g.Cut(true)
}

func (g *Gate) accept() {
	for {
		near, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.pass(near)
	}
}

func (g *Gate) pass(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	defer far.Close()
	g.lock.Lock()
	if g.cut {
		g.lock.Unlock()
		return
	}
	g.conns[near], g.conns[far] = struct{}{}, struct{}{}
	g.lock.Unlock()
	var both sync.WaitGroup
	for _, way := range [][2]net.Conn{{near, far}, {far, near}} {
		both.Go(func() {
			io.Copy(way[0], way[1])
			way[0].Close()
			way[1].Close()
		})
	}
	both.Wait()
	g.lock.Lock()
	delete(g.conns, near)
	delete(g.conns, far)
	g.lock.Unlock()
}
