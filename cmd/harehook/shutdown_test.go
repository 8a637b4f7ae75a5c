package main

import (
	"bytes"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// The process is killed and started again at its address: it begins from nothing, and binds what joins. SIGTERM ends it
// at once, with the code 0.
func TestStopAndRestart(t *testing.T) {
	r := startProgram(t, nil)
	r.join(0)
	r.config["listen"] = r.address
	r.process.Process.Kill()
	if err := <-r.exited; err == nil {
		t.Error("a killed program ended well")
	}
	r.relay.Leave(0)
	r.relay.Lock()
	clear(r.relay.Tables)
	r.relay.Unlock()
	r.start()
	r.ping()
	r.relay.Join(proxy(0))
	r.awaitRelay("bound again", allBound(0))
	began := time.Now()
	r.process.Process.Signal(syscall.SIGTERM)
	if err := <-r.exited; err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("it took %v to end", took)
	}
}

// SIGTERM comes while the start still reads the configuration. It killed the program. It ends with the code 0.
func TestTermWhileConfigurationIsRead(t *testing.T) {
	t.Parallel()
	pipe := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	p, ended := startProcess(t, pipe, nil)
	config, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the program reads
	if err != nil {
		t.Fatal(err)
	}
	p.Process.Signal(syscall.SIGTERM)
	config.Write(configurationText(t, "127.0.0.1:0")) // it fails if the signal has killed the program, which shows in how that ends
	config.Close()
	expectCleanExit(t, ended)
}

// Whoever reads the log stops reading, or goes. All stages waited for it, and SIGPIPE killed the program. It serves on
// and ends in time.
func TestUnreadLogBlocksNothing(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(from, to *os.File){
		"stopped": func(_, to *os.File) {
			to.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
			to.Write(bytes.Repeat([]byte("\n"), 1<<20)) // until the pipe takes no more
		},
		"gone": func(from, _ *os.File) { from.Close() },
	} {
		from, to, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		defer from.Close()
		defer to.Close()
		spoil(from, to)
		address := freeAddress(t)
		p, ended := startProcess(t, writeFile(t, configurationText(t, address)), to)
		awaitReady(t, address)
		began := time.Now()
		p.Process.Signal(syscall.SIGTERM)
		expectCleanExit(t, ended)
		if took := time.Since(began); took > 3*time.Second { // it takes 0.2 s; the rest is a busy machine's
			t.Errorf("%s: it took %v to end", name, took)
		}
	}
}

// SIGHUP and SIGTERM come together, in either order, and over a configuration that is only half written. The program
// ends with the code 0.
func TestReloadAndTermInAnyOrder(t *testing.T) {
	t.Parallel()
	for _, signals := range [][]syscall.Signal{{syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGHUP},
		{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM}} {
		for _, half := range []bool{false, true} {
			r := startProgram(t, nil)
			r.join(0)
			if half {
				os.WriteFile(r.configFile, []byte(`{"listen":`), 0o600)
			}
			for _, s := range signals {
				r.process.Process.Signal(s)
			}
			if err := <-r.exited; err != nil {
				t.Errorf("%v, half written %t: %v", signals, half, err)
			}
		}
	}
}
