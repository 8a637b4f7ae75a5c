package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
	"harehook.dev/harehook/internal/loopback"
)

// configurationText returns a configuration with the given listen address, in which discovery and the relay are not
// reachable.
func configurationText(t *testing.T, listen string) []byte {
	t.Helper()
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": listen, "discovery": "127.0.0.1:1", "seed": "1",
		"store": map[string]any{"address": "127.0.0.1:1"}, "settings": json.RawMessage(settingsJSON),
		"known": fakeplatform.EndpointList{Version: 1, Full: true, Endpoints: []fakeplatform.Node{node("s-1", "north", "in_service")}}})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// startProcess starts the program with the configuration file at path config. The program logs to log, or nowhere if
// log is nil.
func startProcess(t *testing.T, config string, log *os.File) (p *exec.Cmd, exited chan error) {
	t.Helper()
	p = exec.Command(binary)
	p.Env = append(os.Environ(), "GW_CONFIG="+config, "GORACE=atexit_sleep_ms=0")
	p.Stdout = log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	exited = make(chan error, 1)
	go func() { exited <- p.Wait() }()
	t.Cleanup(func() { p.Process.Kill() })
	return p, exited
}

// expectCleanExit waits for a process to exit and fails the test unless the exit code is 0.
func expectCleanExit(t *testing.T, exited chan error) {
	t.Helper()
	select {
	case err := <-exited:
		if err != nil {
			t.Errorf("got exit %v, want exit code 0", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("process is running after 10 s, want it to exit")
	}
}

// writeFile writes text to a configuration file in a temporary directory.
func writeFile(t *testing.T, text []byte) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// freeAddress returns a loopback address that is not in use. It stays reserved until the test ends.
func freeAddress(t *testing.T) string {
	t.Helper()
	reservation, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reservation.Close)
	return reservation.Address()
}

// awaitReady waits until the controller at address answers a ping.
func awaitReady(t *testing.T, address string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		c, err := fakeplatform.NewCollector(address, "north")
		if err == nil {
			err = c.Ping()
			c.Close()
		}
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("controller at %s is not ready after 10 s: %v", address, err)
		}
	}
}
