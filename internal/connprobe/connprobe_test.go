package connprobe

import (
	"net"
	"testing"
	"time"
)

// connectedPair is both ends of a connection on loopback.
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

// The other side has ended an idle connection, or has sent more: a request on it would get no answer, or a wrong one. An
// open and silent connection is idle, whatever deadline the last read left.
func TestIsIdle(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(near, far net.Conn)
		idle bool
	}{
		{"silent", func(net.Conn, net.Conn) {}, true},
		{"silent, with a deadline that has passed", func(near, _ net.Conn) { near.SetReadDeadline(time.Now().Add(-time.Second)) }, true},
		{"ended", func(_, far net.Conn) { far.Close() }, false},
		{"late response", func(_, far net.Conn) { far.Write([]byte("x")) }, false},
		{"closed here", func(near, _ net.Conn) { near.Close() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := connectedPair(t)
			c.act(near, far)
			until := time.Now().Add(10 * time.Second)
			for IsIdle(near) != c.idle {
				if time.Now().After(until) {
					t.Fatalf("idle %t, not %t", !c.idle, c.idle)
				}
				time.Sleep(time.Millisecond) // what the other side did is on its way
			}
		})
	}
}

// A connection in memory cannot be probed; it is used, and a request that fails shows its end.
func TestConnectionWithoutDescriptorIsIdle(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	far.Close()
	if !IsIdle(near) {
		t.Error("not idle")
	}
}
