package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
)

// testProgram is the program under test, connected to fakes of discovery and the relay.
type testProgram struct {
	t          *testing.T
	ctx        context.Context
	discovery  *fakeplatform.Discovery
	relay      *fakeplatform.Relay
	process    *exec.Cmd
	address    string
	config     map[string]any
	configFile string
	exited     chan error

	logMutex sync.Mutex
	log      bytes.Buffer
}

// writeConfiguration writes the configuration file.
func (r *testProgram) writeConfiguration() {
	r.t.Helper()
	text, err := json.Marshal(r.config)
	if err != nil {
		r.t.Fatal(err)
	}
	if err := os.WriteFile(r.configFile, text, 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// awaitLog waits until the log of the program contains text.
func (r *testProgram) awaitLog(text string) {
	r.t.Helper()
	for ; r.ctx.Err() == nil; time.Sleep(time.Millisecond) {
		r.logMutex.Lock()
		found := strings.Contains(r.log.String(), text)
		r.logMutex.Unlock()
		if found {
			return
		}
	}
	r.t.Fatalf("log does not contain %q", text)
}

// start starts the program and waits until it listens.
func (r *testProgram) start() {
	r.t.Helper()
	r.configFile = filepath.Join(r.t.TempDir(), "config.json")
	r.writeConfiguration()
	r.process = exec.Command(binary)
	r.process.Env = append(os.Environ(), "GW_CONFIG="+r.configFile, "GORACE=atexit_sleep_ms=0")
	out, err := r.process.StdoutPipe()
	if err != nil {
		r.t.Fatal(err)
	}
	r.process.Stderr = r.process.Stdout
	if err := r.process.Start(); err != nil {
		r.t.Fatal(err)
	}
	listening, exited := make(chan string, 1), make(chan error, 1)
	r.exited = exited
	program := r.process
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			r.logMutex.Lock()
			fmt.Fprintln(&r.log, lines.Text())
			r.logMutex.Unlock()
			if match := listenPattern.FindStringSubmatch(lines.Text()); match != nil {
				listening <- match[1]
			}
		}
		exited <- program.Wait()
		close(exited)
	}()
	select {
	case r.address = <-listening:
	case err := <-exited:
		r.t.Fatalf("program exited during startup: %v", err)
	}
}

// awaitRelay waits until ok reports true for the relay. The failure message names the awaited state as what.
func (r *testProgram) awaitRelay(what string, ok func(relay *fakeplatform.Relay) bool) {
	r.t.Helper()
	if err := r.relay.Await(r.ctx, func() bool { return ok(r.relay) }); err != nil {
		r.relay.Lock()
		defer r.relay.Unlock()
		r.t.Fatalf("waiting for %q: %v; tables %v, bound %v, calls %q", what, err, r.relay.Tables, r.relay.Bound, r.relay.Calls)
	}
}

// join makes proxies join and waits until they are bound.
func (r *testProgram) join(ids ...int) {
	r.t.Helper()
	var proxies []fakeplatform.Proxy
	for _, id := range ids {
		proxies = append(proxies, proxy(id))
	}
	r.relay.Join(proxies...)
	r.awaitRelay("proxies bound", allBound(ids...))
}

// awaitPollsAfter calls action and waits until discovery has been polled twice since.
func (r *testProgram) awaitPollsAfter(action func()) {
	r.t.Helper()
	r.discovery.Lock()
	polls := r.discovery.Polls
	r.discovery.Unlock()
	action()
	if err := r.discovery.Await(r.ctx, func() bool { return r.discovery.Polls > polls+1 }); err != nil {
		r.t.Fatal(err)
	}
}

// ping fails the test unless the program answers a ping.
func (r *testProgram) ping() {
	r.t.Helper()
	c, err := fakeplatform.NewCollector(r.address, "north")
	if err == nil {
		defer c.Close()
		err = c.Ping()
	}
	if err != nil {
		r.t.Fatalf("ping: %v", err)
	}
}

// restartWithoutKnownList kills the program and restarts it without a known endpoint list. It calls prepare before the
// restart.
func (r *testProgram) restartWithoutKnownList(prepare func()) {
	r.t.Helper()
	r.process.Process.Kill()
	<-r.exited
	delete(r.config, "known")
	r.relay.Lock()
	r.relay.Calls = nil // drops the calls of the killed process
	clear(r.relay.Bound)
	clear(r.relay.Tables)
	r.relay.Unlock()
	prepare()
	r.start()
}

var listenPattern = regexp.MustCompile(`"listen": "([^"]+)"`)

// startProgram starts the fakes and the program. If change is not nil, it modifies the configuration before the start.
func startProgram(t *testing.T, change func(config map[string]any)) *testProgram {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	r := &testProgram{t: t, ctx: ctx}
	t.Cleanup(cancel)
	var err error
	if r.discovery, err = fakeplatform.NewDiscovery("127.0.0.1:0", node("s-1", "north", "in_service"),
		node("s-2", "north", "in_service"), node("s-3", "south", "in_service"),
		node("s-4", "south", "in_service")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.discovery.Close)
	if r.relay, err = fakeplatform.NewRelay("127.0.0.1:0", r.discovery.Listed, nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.relay.Close)
	r.config = map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": r.discovery.Address(),
		"seed": "8c1f30d27a5be964", "store": map[string]any{"address": r.relay.Address()},
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    r.discovery.FullList(),
		"settings": json.RawMessage(settingsJSON)}
	if change != nil {
		change(r.config)
	}
	r.start()
	t.Cleanup(func() {
		if r.process.Process != nil {
			r.process.Process.Kill()
			<-r.exited
		}
		if t.Failed() {
			r.logMutex.Lock()
			defer r.logMutex.Unlock()
			t.Logf("log of the program:\n%s", &r.log)
		}
	})
	return r
}

func node(name, zone, status string) fakeplatform.Node {
	return fakeplatform.Node{Name: name, Zone: zone, Type: "small", Status: status, Weight: 1}
}

func proxy(id int) fakeplatform.Proxy {
	return fakeplatform.Proxy{ID: id, Zone: []string{"north", "south"}[id%2], Rate: 10, IsNew: true}
}

// allBound returns a condition that is true when the given proxies are bound to tables with entries.
func allBound(ids ...int) func(*fakeplatform.Relay) bool {
	return func(relay *fakeplatform.Relay) bool {
		for _, id := range ids {
			table, bound := relay.Bound[id]
			if !bound || len(relay.Tables[table]) == 0 {
				return false
			}
		}
		return true
	}
}

// noTableContains returns a condition that is true when there are tables and none of them contains the node.
func noTableContains(name string) func(*fakeplatform.Relay) bool {
	return func(relay *fakeplatform.Relay) bool {
		for _, table := range relay.Tables {
			if _, found := table[name]; found {
				return false
			}
		}
		return len(relay.Tables) > 0
	}
}

// forEachCase runs test as a parallel subtest for each case, with a separate program to which two proxies are bound.
func forEachCase[Case any](t *testing.T, cases map[string]Case, test func(r *testProgram, c Case)) {
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startProgram(t, nil)
			r.join(0, 1)
			test(r, c)
		})
	}
}
