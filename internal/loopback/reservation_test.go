package loopback

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// A member of a load test is given an address, and a connection of another program gets its port before the member
// listens: the member cannot start. A reserved port must not be assigned to a connection, nor to another reservation.
func TestReservedPortIsNotAssigned(t *testing.T) {
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	reserved := map[string]bool{}
	for range 200 {
		r, err := Reserve()
		if err != nil {
			t.Fatal(err)
		}
		defer r.Close()
		if reserved[r.Address()] {
			t.Fatalf("got %s twice, want another address for each reservation", r.Address())
		}
		reserved[r.Address()] = true
		local, err := net.ResolveTCPAddr("tcp", r.Address())
		if err != nil {
			t.Fatal(err)
		}
		conn, err := (&net.Dialer{LocalAddr: local}).Dial("tcp", peer.Addr().String())
		if err == nil {
			conn.Close()
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			t.Fatalf("connection from the reserved %s: got error %v, want %v", r.Address(), err, syscall.EADDRINUSE)
		}
	}
}

// A member is killed and started again on its address. Listeners must be able to use a reserved port one after another.
func TestListenersUseReservedPort(t *testing.T) {
	r, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	for range 3 {
		listener, err := net.Listen("tcp", r.Address())
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", r.Address())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		accepted.Close()
		conn.Close()
		listener.Close()
	}
}
