package loadtest

import (
	"context"
	"io"
	"net"
	"sync"
)

// countingProxy forwards connections to an address and counts the bytes received and sent, from the point of view of
// the client.
type countingProxy struct {
	address string
	wire    *wireCounter
}

// serve accepts connections until ctx is canceled, and closes the listener.
func (p *countingProxy) serve(ctx context.Context, listener net.Listener) {
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		connections.Go(func() { p.forward(ctx, client) })
	}
}

// forward forwards one connection until either side closes it or ctx is canceled.
func (p *countingProxy) forward(ctx context.Context, client net.Conn) {
	defer client.Close()
	dialer := net.Dialer{Timeout: dialTimeout}
	server, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return
	}
	closeBoth := func() {
		client.Close()
		server.Close()
	}
	defer closeBoth()
	defer context.AfterFunc(ctx, closeBoth)()
	var requests sync.WaitGroup
	defer requests.Wait()
	requests.Go(func() {
		defer closeBoth()
		io.Copy(countingWriter{writer: server, count: &p.wire.out}, client)
	})
	defer closeBoth() // runs before Wait and ends the copy in the other direction
	io.Copy(countingWriter{writer: client, count: &p.wire.in}, server)
}
