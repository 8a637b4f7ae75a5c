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

// testProgram is the program under test with its fakes.
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

// configure writes the configuration.
func (r *testProgram) configure() {
	r.t.Helper()
	text, err := json.Marshal(r.config)
	if err != nil {
		r.t.Fatal(err)
	}
	if err := os.WriteFile(r.configFile, text, 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// awaitLog waits until the program has logged something.
func (r *testProgram) awaitLog(what string) {
	r.t.Helper()
	for ; r.ctx.Err() == nil; time.Sleep(time.Millisecond) {
		r.logMutex.Lock()
		found := strings.Contains(r.log.String(), what)
		r.logMutex.Unlock()
		if found {
			return
		}
	}
	r.t.Fatalf("not logged: %q", what)
}

// start starts the program and waits until it listens.
func (r *testProgram) start() {
	r.t.Helper()
	r.configFile = filepath.Join(r.t.TempDir(), "config.json")
	r.configure()
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
	started, exited := make(chan string, 1), make(chan error, 1)
	r.exited = exited
	program := r.process
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			r.logMutex.Lock()
			fmt.Fprintln(&r.log, lines.Text())
			r.logMutex.Unlock()
			if found := listenPattern.FindStringSubmatch(lines.Text()); found != nil {
				started <- found[1]
			}
		}
		exited <- program.Wait()
		close(exited)
	}()
	select {
	case r.address = <-started:
	case err := <-exited:
		r.t.Fatalf("the program ended: %v", err)
	}
}

// awaitRelay waits until the relay's state is as ok wants; what names it.
func (r *testProgram) awaitRelay(what string, ok func(relay *fakeplatform.Relay) bool) {
	r.t.Helper()
	if err := r.relay.Await(r.ctx, func() bool { return ok(r.relay) }); err != nil {
		r.relay.Lock()
		defer r.relay.Unlock()
		r.t.Fatalf("%s: %v; tables %v, bound %v, calls %q", what, err, r.relay.Tables, r.relay.Bound, r.relay.Calls)
	}
}

// join lets proxies join and waits until they are bound.
func (r *testProgram) join(ids ...int) {
	r.t.Helper()
	var proxies []fakeplatform.Proxy
	for _, id := range ids {
		proxies = append(proxies, proxy(id))
	}
	r.relay.Join(proxies...)
	r.awaitRelay("bound", allBound(ids...))
}

// awaitPollsAfter lets something happen and waits until discovery has been polled twice since.
func (r *testProgram) awaitPollsAfter(happen func()) {
	r.t.Helper()
	r.discovery.Lock()
	asked := r.discovery.Polls
	r.discovery.Unlock()
	happen()
	if err := r.discovery.Await(r.ctx, func() bool { return r.discovery.Polls > asked+1 }); err != nil {
		r.t.Fatal(err)
	}
}

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

// restartWithoutKnownList kills the program and starts it anew, without a known list; prepare is called in between.
func (r *testProgram) restartWithoutKnownList(discovery func()) {
	r.t.Helper()
	r.process.Process.Kill()
	<-r.exited
	delete(r.config, "known")
	r.relay.Lock()
	r.relay.Calls = nil // what the process before ordered is gone with it
	clear(r.relay.Bound)
	clear(r.relay.Tables)
	r.relay.Unlock()
	discovery()
	r.start()
}

var listenPattern = regexp.MustCompile(`"listen": "([^"]+)"`)

// startProgram starts the fakes and the program; change, if not nil, changes its configuration.
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

// allBound holds if the proxies are bound to tables with entries.
func allBound(ids ...int) func(*fakeplatform.Relay) bool {
	return func(relay *fakeplatform.Relay) bool {
		for _, id := range ids {
			table, yes := relay.Bound[id]
			if !yes || len(relay.Tables[table]) == 0 {
				return false
			}
		}
		return true
	}
}

// noTableHas holds if tables have entries, and none for the node.
func noTableHas(name string) func(*fakeplatform.Relay) bool {
	return func(relay *fakeplatform.Relay) bool {
		for _, table := range relay.Tables {
			if _, has := table[name]; has {
				return false
			}
		}
		return len(relay.Tables) > 0
	}
}

// forEachCase runs a test for each case, on a program of its own with two proxies bound.
func forEachCase[Case any](t *testing.T, cases map[string]Case, play func(r *testProgram, c Case)) {
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startProgram(t, nil)
			r.join(0, 1)
			play(r, c)
		})
	}
}
