package main

import (
	"bytes"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// The process is killed and restarted on the same address. It starts without state and must bind proxies that join.
// After SIGTERM it must exit promptly with code 0.
func TestStopAndRestart(t *testing.T) {
	r := startProgram(t, nil)
	r.join(0)
	r.config["listen"] = r.address
	r.process.Process.Kill()
	if err := <-r.exited; err == nil {
		t.Error("killed program: got exit code 0, want an error")
	}
	r.relay.Leave(0)
	r.relay.Lock()
	clear(r.relay.Tables)
	r.relay.Unlock()
	r.start()
	r.ping()
	r.relay.Join(proxy(0))
	r.awaitRelay("rejoined proxy bound", allBound(0))
	start := time.Now()
	r.process.Process.Signal(syscall.SIGTERM)
	if err := <-r.exited; err != nil {
		t.Errorf("after SIGTERM: got exit %v, want exit code 0", err)
	}
	if elapsed := time.Since(start); elapsed > 3*time.Second {
		t.Errorf("exited %v after SIGTERM, want at most 3 s", elapsed)
	}
}

// SIGTERM arrives while the program reads its configuration during startup. The signal must not kill the program,
// which must exit with code 0.
func TestSIGTERMWhileConfigurationIsRead(t *testing.T) {
	t.Parallel()
	pipe := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	p, exited := startProcess(t, pipe, nil)
	config, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns when the program opens the file for reading
	if err != nil {
		t.Fatal(err)
	}
	p.Process.Signal(syscall.SIGTERM)
	config.Write(configurationText(t, "127.0.0.1:0")) // fails if the signal killed the program, which expectCleanExit reports
	config.Close()
	expectCleanExit(t, exited)
}

// The reader of the log stops reading or closes the pipe. A full pipe must not block the stages of the controller,
// and SIGPIPE must not kill the program: it must continue to serve and exit in time.
func TestUnreadLogDoesNotBlock(t *testing.T) {
	t.Parallel()
	for name, disrupt := range map[string]func(reader, writer *os.File){
		"not read": func(_, writer *os.File) {
			writer.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
			writer.Write(bytes.Repeat([]byte("\n"), 1<<20)) // until the pipe is full
		},
		"closed": func(reader, _ *os.File) { reader.Close() },
	} {
		reader, writer, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		defer reader.Close()
		defer writer.Close()
		disrupt(reader, writer)
		address := freeAddress(t)
		p, exited := startProcess(t, writeFile(t, configurationText(t, address)), writer)
		awaitReady(t, address)
		start := time.Now()
		p.Process.Signal(syscall.SIGTERM)
		expectCleanExit(t, exited)
		if elapsed := time.Since(start); elapsed > 3*time.Second { // 0.2 s on an idle machine; more on a busy one
			t.Errorf("%s: exited %v after SIGTERM, want at most 3 s", name, elapsed)
		}
	}
}

// SIGHUP and SIGTERM arrive together in either order, also while the configuration file is only partially written. The
// program must exit with code 0.
func TestSIGHUPAndSIGTERMInAnyOrder(t *testing.T) {
	t.Parallel()
	for _, signals := range [][]syscall.Signal{{syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGHUP},
		{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM}} {
		for _, partial := range []bool{false, true} {
			r := startProgram(t, nil)
			r.join(0)
			if partial {
				os.WriteFile(r.configFile, []byte(`{"listen":`), 0o600)
			}
			for _, s := range signals {
				r.process.Process.Signal(s)
			}
			if err := <-r.exited; err != nil {
				t.Errorf("signals %v, partially written configuration %t: got exit %v, want exit code 0", signals, partial, err)
			}
		}
	}
}
