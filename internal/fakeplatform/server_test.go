package fakeplatform

import (
	"io"
	"net"
	"testing"
	"time"
)

// A test closes a node and goes on with what happens without it. A connection that was accepted as the node closed was
// closed later, and a call on it broke in the midst of the test. Once Close has returned, all that were accepted have
// ended, and new ones are refused.
func TestClosedNodeHasNoConnections(t *testing.T) {
	for range 50 {
		n, err := NewNodeServer("n", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var conns []net.Conn
		for range 4 {
			conn, err := net.Dial("tcp", n.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conns = append(conns, conn)
		}
		n.Close()
		if open := len(n.open); open > 0 {
			t.Fatalf("%d connections are open", open)
		}
		for _, conn := range conns {
			conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := conn.Read(make([]byte, 1)); err == nil {
				t.Error("a byte came")
			}
		}
		if conn, err := net.Dial("tcp", n.Address()); err == nil {
			conn.Close()
			t.Error("a connection was accepted")
		}
	}
}

// A forwarder that is cut ends both sides of its connections, and passes new ones once it is not cut any more.
func TestForwarderCutsAndPasses(t *testing.T) {
	n, err := NewNodeServer("n", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	f, err := NewForwarder(n.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	call := func() error {
		conn, err := net.Dial("tcp", f.Address())
		if err != nil {
			return err
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: n\r\n\r\n"); err != nil {
			return err
		}
		_, err = conn.Read(make([]byte, 1))
		return err
	}
	if err := call(); err != nil {
		t.Errorf("passing: %v", err)
	}
	f.Cut(true)
	if err := call(); err == nil {
		t.Error("cut: answered")
	}
	f.Cut(false)
	if err := call(); err != nil {
		t.Errorf("passing again: %v", err)
	}
}

// Faults and modes have names of their own: they stand in the names of tests.
func TestFaultsAndModesHaveNames(t *testing.T) {
	names := map[string]bool{}
	for f := NoFault; f <= ExecutedEndlessResponse; f++ {
		names[f.String()] = true
	}
	for m := PlainResponse; m <= ImmediateResponse; m++ {
		names[m.String()] = true
	}
	if want := int(ExecutedEndlessResponse) + 1 + int(ImmediateResponse) + 1; len(names) != want {
		t.Errorf("%d names of %d values", len(names), want)
	}
	if Fault(-1).String() != "Fault(-1)" || ResponseMode(99).String() != "ResponseMode(99)" {
		t.Error("no values have names")
	}
}
