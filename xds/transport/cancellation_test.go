package transport

import (
	"context"
	"errors"
	"testing"
)

// heldConn is a stream whose first request was received and is passed on only when it is released.
type heldConn struct {
	release  chan struct{}
	taken    chan struct{} // closed when the first request was taken and the second is awaited
	requests int
}

func (c *heldConn) receive() (streamRequest, error) {
	c.requests++
	if c.requests > 1 {
		close(c.taken)
		return streamRequest{}, errors.New("the stream has ended")
	}
	<-c.release
	node := streamNode{id: "till-1", zone: "north"}
	return streamRequest{node: node, handle: func(uint64) error { return nil }}, nil
}

func (c *heldConn) send(any) error { return nil }

// A stream ended in the instant in which its first request had been received and not yet been handled: it was opened after
// its end, and its sidecar counted as connected for good, with commands for it waiting. A stream that has ended must not be
// opened.
func TestStreamCancelledBeforeItsFirstRequest(t *testing.T) {
	server, _ := startServer(t, 4)
	ctx, cancel := context.WithCancel(t.Context())
	conn := &heldConn{release: make(chan struct{}), taken: make(chan struct{})}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		server.serveStream(ctx, false, conn)
	}()
	cancel()
	<-ended
	close(conn.release)
	<-conn.taken
	if connected := connectedSidecars(server); connected != 0 {
		t.Errorf("%d sidecars count as connected by a stream that has ended", connected)
	}
	server.call(func() {
		if open := len(server.streams); open != 0 {
			t.Errorf("%d streams are open", open)
		}
	})
}
