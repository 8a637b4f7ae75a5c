package main

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// The process before still listens at the address. The start failed. It waits for the address, and is ready once it is
// given up.
func TestAddressOfProcessBeforeIsAwaited(t *testing.T) {
	t.Parallel()
	before, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p, ended := startProcess(t, writeFile(t, configurationText(t, before.Addr().String())), nil)
	select {
	case err := <-ended:
		t.Fatalf("it ended while the address was taken: %v", err)
	case <-time.After(500 * time.Millisecond): // by then it has found the address taken
	}
	before.Close()
	awaitReady(t, before.Addr().String())
	p.Process.Signal(syscall.SIGTERM)
	expectCleanExit(t, ended)
}
