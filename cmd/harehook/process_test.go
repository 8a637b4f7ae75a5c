package main

import (
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
)

// configurationText is a configuration that names an address to listen on, and no party that answers.
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

// startProcess starts the program by the path of its configuration; its log goes to a file, nil for none.
func startProcess(t *testing.T, config string, log *os.File) (p *exec.Cmd, ended chan error) {
	t.Helper()
	p = exec.Command(binary)
	p.Env = append(os.Environ(), "GW_CONFIG="+config, "GORACE=atexit_sleep_ms=0")
	p.Stdout = log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	ended = make(chan error, 1)
	go func() { ended <- p.Wait() }()
	t.Cleanup(func() { p.Process.Kill() })
	return p, ended
}

// expectCleanExit waits until a process ends with the code 0.
func expectCleanExit(t *testing.T, ended chan error) {
	t.Helper()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("it ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("it does not end")
	}
}

// writeFile writes a file of the test.
func writeFile(t *testing.T, text []byte) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// freeAddress is an address at which no one listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// awaitReady waits until the controller at an address answers a ping.
func awaitReady(t *testing.T, address string) {
	t.Helper()
	for within := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		c, err := fakeplatform.NewCollector(address, "north")
		if err == nil {
			err = c.Ping()
			c.Close()
		}
		if err == nil {
			return
		}
		if time.Now().After(within) {
			t.Fatalf("not in use: %v", err)
		}
	}
}
