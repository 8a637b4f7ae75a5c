package main

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// The previous process still listens on the address when the program starts. The program must wait for the address
// instead of failing, and be ready when the address is released.
func TestStartWaitsForAddressOfPreviousProcess(t *testing.T) {
	t.Parallel()
	previous, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p, exited := startProcess(t, writeFile(t, configurationText(t, previous.Addr().String())), nil)
	select {
	case err := <-exited:
		t.Fatalf("program exited while the address was in use: %v", err)
	case <-time.After(500 * time.Millisecond): // long enough for a first attempt to listen
	}
	previous.Close()
	awaitReady(t, previous.Addr().String())
	p.Process.Signal(syscall.SIGTERM)
	expectCleanExit(t, exited)
}
