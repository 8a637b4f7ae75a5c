package fakeplatform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"sync"
	"testing"
	"time"

	"harehook.dev/harehook/internal/connprobe"
)

// Tests close a node and then check how the rest of the system behaves without it. A connection that was accepted while
// Close ran was closed only after Close had returned, so a call on it failed in the middle of the test. When Close
// returns, all accepted connections must be closed, and new ones must be refused.
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
		if open := len(n.openConns); open > 0 {
			t.Fatalf("open connections after Close: got %d, want 0", open)
		}
		for _, conn := range conns {
			conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := conn.Read(make([]byte, 1)); err == nil {
				t.Error("read on a connection after Close: got a byte, want an error")
			}
		}
		if conn, err := net.Dial("tcp", n.Address()); err == nil {
			conn.Close()
			t.Error("dial after Close: got a connection, want an error")
		}
	}
}

// A node is closed while another test starts processes, which hold copies of the node's descriptors for a moment. A
// sidecar then took an idle connection for open, sent a call and got "connection reset by peer". When Close returns, all
// connections must be closed for their peers, and new ones must be refused.
func TestCloseReachesPeersWhileProcessesStart(t *testing.T) {
	stop := make(chan struct{})
	var starters sync.WaitGroup
	defer starters.Wait()
	defer close(stop)
	for range 4 {
		starters.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					exec.Command("/bin/true").Run() // only its start matters
				}
			}
		})
	}
	for range 50 {
		n, err := NewNodeServer("n", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := n.Address()
		var conns []net.Conn
		for range 8 {
			conns = append(conns, connectAndCall(t, address))
		}
		n.Close()
		for _, conn := range conns {
			if connprobe.IsIdle(conn) {
				t.Error("connection after Close: got an idle one, want one that the node has closed")
			}
			conn.Close()
		}
		if conn, err := net.Dial("tcp", address); err == nil {
			conn.Close()
			t.Error("dial after Close: got a connection, want an error")
		}
	}
}

// connectAndCall connects to a node and makes a call.
func connectAndCall(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return conn
}

// A forwarder that is cut rejects calls, and forwards new connections again when it is no longer cut.
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
		t.Errorf("call before the cut: got error %v, want a response", err)
	}
	f.Cut(true)
	if err := call(); err == nil {
		t.Error("call during the cut: got a response, want an error")
	}
	f.Cut(false)
	if err := call(); err != nil {
		t.Errorf("call after the cut: got error %v, want a response", err)
	}
}

// Each fault and mode must have a unique name, because the names are used as subtest names.
func TestFaultsAndModesHaveNames(t *testing.T) {
	names := map[string]bool{}
	for f := NoFault; f <= ExecutedEndlessResponse; f++ {
		names[f.String()] = true
	}
	for m := PlainResponse; m <= ImmediateResponse; m++ {
		names[m.String()] = true
	}
	if want := int(ExecutedEndlessResponse) + 1 + int(ImmediateResponse) + 1; len(names) != want {
		t.Errorf("unique names of faults and modes: got %d, want %d", len(names), want)
	}
	if Fault(-1).String() != "Fault(-1)" || ResponseMode(99).String() != "ResponseMode(99)" {
		t.Errorf("names of unknown values: got %q and %q, want %q and %q", Fault(-1), ResponseMode(99),
			"Fault(-1)", "ResponseMode(99)")
	}
}
