package transport

import (
	"context"
	"errors"
	"testing"
)

// blockedConn is a stream whose first receive returns a request only after release is closed. The second one fails.
type blockedConn struct {
	release       chan struct{}
	secondReceive chan struct{} // closed when receive is called for the second time, after the first request was posted
	requests      int
}

func (c *blockedConn) receive() (streamRequest, error) {
	c.requests++
	if c.requests > 1 {
		close(c.secondReceive)
		return streamRequest{}, errors.New("the stream has ended")
	}
	<-c.release
	node := streamNode{id: "till-1", zone: "north"}
	return streamRequest{node: node, handle: func(uint64) error { return nil }}, nil
}

func (c *blockedConn) send(any) error { return nil }

// A stream ended after its first request had been received and before the hub handled it. The hub then opened a stream
// that had ended, so its sidecar counted as connected forever, with commands for it pending. An ended stream must not
// be opened.
func TestStreamCancelledBeforeFirstRequestIsHandled(t *testing.T) {
	server, _ := startServer(t, 4)
	ctx, cancel := context.WithCancel(t.Context())
	conn := &blockedConn{release: make(chan struct{}), secondReceive: make(chan struct{})}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		server.serveStream(ctx, false, conn)
	}()
	cancel()
	<-ended
	close(conn.release)
	<-conn.secondReceive
	if connected := connectedSidecars(server); connected != 0 {
		t.Errorf("after the stream ended: got %d connected sidecars, want 0", connected)
	}
	server.call(func() {
		if open := len(server.streams); open != 0 {
			t.Errorf("after the stream ended: got %d open streams, want 0", open)
		}
	})
}
