package connprobe

import (
	"net"
	"testing"
	"time"
)

// connectedPair returns both ends of a loopback connection.
func connectedPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	far, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return near, far
}

// The peer has closed an idle connection, or has sent more data: a request on it would get no response, or a wrong one.
// An open and silent connection must be reported as idle, also if the deadline of its last read has passed.
func TestIsIdle(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(near, far net.Conn)
		idle    bool
	}{
		{"silent", func(net.Conn, net.Conn) {}, true},
		{"silent with a passed deadline", func(near, _ net.Conn) { near.SetReadDeadline(time.Now().Add(-time.Second)) }, true},
		{"closed by the peer", func(_, far net.Conn) { far.Close() }, false},
		{"late response", func(_, far net.Conn) { far.Write([]byte("x")) }, false},
		{"closed locally", func(near, _ net.Conn) { near.Close() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := connectedPair(t)
			c.prepare(near, far)
			deadline := time.Now().Add(10 * time.Second)
			for IsIdle(near) != c.idle {
				if time.Now().After(deadline) {
					t.Fatalf("IsIdle: got %t, want %t", !c.idle, c.idle)
				}
				time.Sleep(time.Millisecond) // the action of the peer may not have arrived yet
			}
		})
	}
}

// An in-memory connection cannot be probed. It must be reported as idle: if it is closed, the next
// request fails and reveals it.
func TestConnectionWithoutDescriptorIsIdle(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	far.Close()
	if !IsIdle(near) {
		t.Error("IsIdle without a file descriptor: got false, want true")
	}
}
