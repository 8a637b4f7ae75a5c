package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
	"harehook.dev/harehook/platform/wire"
)

// The tests start the program, built with what must hold asserted, and speak to it over loopback.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "harehook")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "harehook")
	build := []string{"build", "-tags", "debug", "-o", binary}
	if raced() {
		build = append(build, "-race")
	}
	if out, err := exec.Command("go", append(build, ".")...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// raced tells whether the tests, and so the program, run with the race detector, which takes much memory.
func raced() bool {
	info, ok := debug.ReadBuildInfo()
	return ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"})
}

const settingsJSON = `{"zones":["north","south"],"machine-types":["small"],"tick-ns":4000000,"peers-total":1,
"discovery":"automatic","weights":"off","report":{"names":[],"source":"off"},
"categories":[{"name":"quote","effect":"safe","promise-ns":750000000,"deadline-ns":2000000000,"gain":2},
{"name":"issue","effect":"unsafe","promise-ns":750000000,"deadline-ns":2000000000,"gain":3}],
"extra":{"backlog":1800,"push-rate":1200,"head":4,"proxy-count":8,"reloads-max":30,"level-kind":"fraction",
"counted-over-ns":10000000000,"interval-ns":500000000},
"rules":{"ramp-time-ns":18000000000,"fall-multiple":4}}`

// rig is the program under test with its stand-ins.
type rig struct {
	t         *testing.T
	ctx       context.Context
	discovery *fakeplatform.Discovery
	relay     *fakeplatform.Relay
	program   *exec.Cmd
	address   string
	config    map[string]any
	file      string
	exited    chan error

	lock sync.Mutex
	log  bytes.Buffer
}

func node(name, zone, status string) fakeplatform.Node {
	return fakeplatform.Node{Name: name, Zone: zone, Type: "small", Status: status, Weight: 1}
}

func proxy(id int) fakeplatform.Proxy {
	return fakeplatform.Proxy{ID: id, Zone: []string{"north", "south"}[id%2], Rate: 10, IsNew: true}
}

// newRig starts the stand-ins and the program; change may change its configuration.
func newRig(t *testing.T, change func(config map[string]any)) *rig {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	r := &rig{t: t, ctx: ctx}
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
		if r.program.Process != nil {
			r.program.Process.Kill()
			<-r.exited
		}
		if t.Failed() {
			r.lock.Lock()
			defer r.lock.Unlock()
			t.Logf("log of the program:\n%s", &r.log)
		}
	})
	return r
}

// configure writes the configuration.
func (r *rig) configure() {
	r.t.Helper()
	text, err := json.Marshal(r.config)
	if err != nil {
		r.t.Fatal(err)
	}
	if err := os.WriteFile(r.file, text, 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// logged waits until the program has logged something.
func (r *rig) logged(what string) {
	r.t.Helper()
	for ; r.ctx.Err() == nil; time.Sleep(time.Millisecond) {
		r.lock.Lock()
		found := strings.Contains(r.log.String(), what)
		r.lock.Unlock()
		if found {
			return
		}
	}
	r.t.Fatalf("not logged: %q", what)
}

var listening = regexp.MustCompile(`"listen": "([^"]+)"`)

// start starts the program and waits until it listens.
func (r *rig) start() {
	r.t.Helper()
	r.file = filepath.Join(r.t.TempDir(), "config.json")
	r.configure()
	r.program = exec.Command(binary)
	r.program.Env = append(os.Environ(), "GW_CONFIG="+r.file, "GORACE=atexit_sleep_ms=0")
	out, err := r.program.StdoutPipe()
	if err != nil {
		r.t.Fatal(err)
	}
	r.program.Stderr = r.program.Stdout
	if err := r.program.Start(); err != nil {
		r.t.Fatal(err)
	}
	started, exited := make(chan string, 1), make(chan error, 1)
	r.exited = exited
	program := r.program
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			r.lock.Lock()
			fmt.Fprintln(&r.log, lines.Text())
			r.lock.Unlock()
			if found := listening.FindStringSubmatch(lines.Text()); found != nil {
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

// relayed waits until the relay has got what ok wants.
func (r *rig) relayed(what string, ok func(relay *fakeplatform.Relay) bool) {
	r.t.Helper()
	if err := r.relay.Await(r.ctx, func() bool { return ok(r.relay) }); err != nil {
		r.relay.Lock()
		defer r.relay.Unlock()
		r.t.Fatalf("%s: %v; tables %v, bound %v, calls %q", what, err, r.relay.Tables, r.relay.Bound, r.relay.Calls)
	}
}

// join lets proxies join and waits until they are bound.
func (r *rig) join(ids ...int) {
	r.t.Helper()
	var proxies []fakeplatform.Proxy
	for _, id := range ids {
		proxies = append(proxies, proxy(id))
	}
	r.relay.Join(proxies...)
	r.relayed("bound", bound(ids...))
}

func bound(ids ...int) func(*fakeplatform.Relay) bool {
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

// without tells that tables have lines, and none has the node.
func without(name string) func(*fakeplatform.Relay) bool {
	return func(relay *fakeplatform.Relay) bool {
		for _, table := range relay.Tables {
			if _, has := table[name]; has {
				return false
			}
		}
		return len(relay.Tables) > 0
	}
}

// askedAnew lets something happen and waits until discovery has been asked twice since.
func (r *rig) askedAnew(happen func()) {
	r.t.Helper()
	r.discovery.Lock()
	asked := r.discovery.Polls
	r.discovery.Unlock()
	happen()
	if err := r.discovery.Await(r.ctx, func() bool { return r.discovery.Polls > asked+1 }); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) ping() {
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

// each plays something for each case, on a rig of its own with two proxies bound.
func each[Case any](t *testing.T, cases map[string]Case, play func(r *rig, c Case)) {
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, nil)
			r.join(0, 1)
			play(r, c)
		})
	}
}

// A conductor that knows no node answers no ping until discovery has told it one.
func TestReady(t *testing.T) {
	r := newRig(t, func(config map[string]any) { delete(config, "known") })
	r.discovery.SetMode(fakeplatform.NoResponse)
	r.program.Process.Kill()
	<-r.exited
	r.start()
	c, err := fakeplatform.NewCollector(r.address, "north")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	answered := make(chan error, 1)
	r.askedAnew(func() { go func() { answered <- c.Ping() }() })
	select {
	case err := <-answered:
		t.Fatalf("answered without a list: %v", err)
	default:
	}
	r.discovery.SetMode(fakeplatform.PlainResponse)
	if err := <-answered; err != nil {
		t.Fatal(err)
	}
}

// Proxies that join are bound to tables with lines of their zone; a node that drains leaves all tables, one
// that is new enters; reports are taken.
func TestServe(t *testing.T) {
	r := newRig(t, nil)
	r.ping()
	r.join(0, 1, 2)
	r.relayed("levels", func(relay *fakeplatform.Relay) bool { return relay.Admissions["0 quote"] != "" })
	c, err := fakeplatform.NewCollector(r.address, "north")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for _, m := range []string{
		`{"@type":"LOAD","site":"north","target":"s-1","count":20,"fail":0,"mean":41.7,"over":500.0}`,
		`{"@type":"RATE","id":0,"lane":"quote","count":19,"fail":0,"over":500.0}`,
	} {
		if err := c.Send(json.RawMessage(m)); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Ping(); err != nil {
		t.Fatal(err)
	}
	r.discovery.Set(node("s-1", "north", "terminating"), node("s-5", "north", "in_service"))
	r.relayed("drained", without("s-1"))
	r.relayed("new", func(relay *fakeplatform.Relay) bool { return relay.Tables[relay.Bound[0]]["s-5"] > 0 })
	r.relay.Leave(2)
	r.relay.Join(proxy(2))
	r.relayed("bound again", bound(2))
}

// Whatever becomes of a call, the orders behind it hold in the end.
func TestCalls(t *testing.T) {
	each(t, map[string]fakeplatform.Fault{
		"silent, done": fakeplatform.ExecutedWithoutResponse, "silent, undone": fakeplatform.IgnoredWithoutResponse,
		"broken, done": fakeplatform.ExecutedThenBroken, "broken, undone": fakeplatform.IgnoredThenBroken,
		"garbled": fakeplatform.ExecutedGarbledResponse, "half an answer": fakeplatform.ExecutedHalfResponse, "late": fakeplatform.ExecutedLateResponse,
		"throttled": fakeplatform.RejectedNotStarted, "invalid": fakeplatform.RejectedInvalid, "internal": fakeplatform.RejectedInternal,
	}, func(r *rig, fault fakeplatform.Fault) {
		r.relay.InjectFaults(fault, fault)
		r.discovery.Set(node("s-1", "north", "terminating"))
		r.relayed("drained", without("s-1"))
		r.discovery.Set(node("s-1", "north", "in_service"))
		r.relayed("back", func(relay *fakeplatform.Relay) bool { return relay.Tables[relay.Bound[0]]["s-1"] > 0 })
	})
}

// A call without an answer is not repeated once its mark is confirmed: a repeat costs messages and lines.
func TestNeedlessRepeat(t *testing.T) {
	each(t, map[string]fakeplatform.Fault{
		"silent": fakeplatform.ExecutedWithoutResponse, "broken": fakeplatform.ExecutedThenBroken, "garbled": fakeplatform.ExecutedGarbledResponse,
	}, func(r *rig, fault fakeplatform.Fault) {
		r.relay.InjectFaults(fault)
		r.discovery.Set(node("s-1", "north", "terminating"))
		r.relayed("drained", without("s-1"))
		r.discovery.Set(node("s-2", "north", "terminating"))
		r.relayed("drained", without("s-2"))
		r.relay.Lock()
		defer r.relay.Unlock()
		if n := strings.Count(strings.Join(r.relay.Calls, "\n"), "s-1,0;"); n > 1 {
			r.t.Errorf("the drain went out %d times: %q", n, r.relay.Calls)
		}
	})
}

// An order that the relay refuses is dropped; the others of its call hold.
func TestRefusedOrder(t *testing.T) {
	r := newRig(t, func(config map[string]any) {
		list := config["known"].(fakeplatform.EndpointList)
		list.Endpoints = append(list.Endpoints, node("s-0", "north", "in_service")) // discovery never listed it
		config["known"] = list
	})
	r.join(0, 1)
	r.discovery.Set(node("s-1", "north", "terminating"))
	r.relayed("drained", without("s-1"))
}

// After the news broke, those that stand are bound again and those that left are forgotten.
func TestNewsCut(t *testing.T) {
	r := newRig(t, nil)
	r.join(0, 1, 2)
	r.relay.BreakWatches(func() {
		r.relay.Leave(0, 1)
		r.relay.Join(proxy(0), proxy(3))
	})
	r.relayed("bound again", bound(0, 2, 3))
	r.relay.Lock()
	before := len(r.relay.Calls)
	r.relay.Unlock()
	r.discovery.Set(node("s-3", "south", "terminating"))
	r.relayed("drained", without("s-3"))
	r.relay.Lock()
	defer r.relay.Unlock()
	if calls := strings.Join(r.relay.Calls[before:], "\n"); strings.Contains(calls, "attach,1,") {
		t.Errorf("a proxy that left is bound: %s", calls)
	}
}

// News that falls silent is noticed by its missing signs and asked for anew.
func TestNewsSilent(t *testing.T) {
	r := newRig(t, nil)
	r.join(0)
	r.relay.Silence(true)
	r.relay.Join(proxy(1)) // no one is told
	r.relayed("asked anew", func(relay *fakeplatform.Relay) bool { return relay.Watches > 1 })
	r.relay.Silence(false)
	r.relayed("bound", bound(0, 1))
}

// However discovery answers, changes come through once it does.
func TestDiscovery(t *testing.T) {
	each(t, map[string]fakeplatform.ResponseMode{
		"chunked": fakeplatform.ChunkedResponse, "pieces": fakeplatform.ByteByByteResponse, "closing": fakeplatform.ClosingResponse,
		"failing": fakeplatform.ErrorResponse, "cut": fakeplatform.TruncatedResponse, "silent": fakeplatform.NoResponse,
	}, func(r *rig, manner fakeplatform.ResponseMode) {
		r.discovery.SetMode(manner)
		r.askedAnew(func() { r.discovery.Set(node("s-2", "north", "terminated")) })
		r.discovery.SetMode(fakeplatform.PlainResponse)
		r.relayed("gone", without("s-2"))
		r.discovery.ResetVersions()
		r.discovery.Set(node("s-2", "north", "in_service"))
		r.relayed("back", func(relay *fakeplatform.Relay) bool { return relay.Tables[relay.Bound[0]]["s-2"] > 0 })
	})
}

// Whatever fails together, in the end the proxies that stand are bound to tables of the nodes in service.
func TestTogether(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := newRig(t, nil)
			chance := rand.New(rand.NewPCG(seed, 1))
			stands, served := map[int]bool{}, map[string]bool{"s-1": true, "s-2": true, "s-3": true, "s-4": true}
			zone := func(k int) string { return []string{"north", "south"}[k/3] }
			for range 60 {
				id, n := chance.IntN(8), 1+chance.IntN(4)
				name := fmt.Sprintf("s-%d", n)
				switch chance.IntN(7) {
				case 0, 1:
					r.relay.InjectFaults(fakeplatform.Fault(chance.IntN(int(fakeplatform.RejectedInternal) + 1)))
				case 2:
					r.discovery.SetMode(fakeplatform.ResponseMode(chance.IntN(int(fakeplatform.NoResponse) + 1)))
				case 3:
					r.relay.BreakWatches(func() {
						if stands[id] {
							r.relay.Leave(id)
						}
						r.relay.Join(proxy(id))
					})
					stands[id] = true
				case 4:
					if stands[id] = !stands[id]; stands[id] {
						r.relay.Join(proxy(id))
					} else {
						r.relay.Leave(id)
					}
				case 5:
					status := "in_service"
					if served[name] = !served[name]; !served[name] {
						status = "terminating"
					}
					r.discovery.Set(node(name, zone(n), status))
				case 6:
					r.relay.Break()
				}
				time.Sleep(time.Duration(chance.IntN(20)) * time.Millisecond) // not waited for: only a pace
			}
			r.discovery.SetMode(fakeplatform.PlainResponse)
			r.discovery.Set(node("s-5", "north", "in_service"), node("s-6", "south", "in_service"))
			served["s-5"], served["s-6"] = true, true
			r.relayed("all in order", func(relay *fakeplatform.Relay) bool {
				for id, yes := range stands {
					table, bound := relay.Bound[id]
					if yes != bound || yes && len(relay.Tables[table]) == 0 {
						return false
					}
					for name := range relay.Tables[table] {
						if yes && !served[name] {
							return false
						}
					}
				}
				return true
			})
			r.ping()
		})
	}
}

// text is a message as it goes over the wire.
func text(body string) string {
	return string(wire.FrameHeader(len(body))) + body
}

const (
	hello = `{"@type":"SOURCE","site":"north"}`
	sums  = `{"@type":"LOAD","site":"north","target":"s-1","count":20,"fail":0,"mean":41.7,"over":500.0}`
)

// Each kind of bad client is closed within the time that the page gives, hundreds at once, and no collector with them.
func TestStrangers(t *testing.T) {
	r := newRig(t, func(config map[string]any) { config["limits"].(map[string]any)["sockets"] = 256 })
	collector, err := fakeplatform.NewCollector(r.address, "north")
	if err != nil {
		t.Fatal(err)
	}
	defer collector.Close()
	if err := collector.Ping(); err != nil { // its zone is known then
		t.Fatal(err)
	}
	kinds := map[string]string{
		"silence": "", "half a message": "\xc8\x00\x00\x00{", "half a head": "\x10", "too long": "\xff\xff\xff\xff{",
		"HTTP": "GET / HTTP/1.1\r\nHost: n0\r\n\r\n", "an order": text(`{"@type":"CONFIG","seq":1}`), "null": text("null"),
		"a proxy": text(`{"@type":"SUBSCRIBE","id":1,"site":"north","rps":3,"new":1}`), "reports first": text(sums),
		"no such zone": text(`{"@type":"SOURCE","site":"nowhere"}`), "no JSON": text("{]"), "a ping": text(`{"@type":"PING"}`),
		"long for a stranger": "\x00\x10\x00\x00{", "bytes after joining": text(hello) + "\x13\x37\x13\x37",
		"half a message after joining": text(hello) + text(sums)[:50],
	}
	var clients sync.WaitGroup
	client := func(act func(conn net.Conn)) {
		clients.Go(func() {
			conn, err := net.Dial("tcp", r.address)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			act(conn)
		})
	}
	for name, say := range kinds {
		for range 20 {
			client(func(conn net.Conn) {
				io.WriteString(conn, say)
				conn.SetReadDeadline(time.Now().Add(3 * time.Second))
				if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("%s: neither closed nor told", name)
				}
			})
		}
	}
	for name, say := range map[string][2]string{"pings": {"", text(`{"@type":"PING"}`)}, "spaces": {"\x00\x04\x00\x00", " "}} {
		client(func(conn net.Conn) {
			go io.Copy(io.Discard, conn)
			io.WriteString(conn, say[0])
			until := time.Now().Add(6 * time.Second)
			var err error
			for ; err == nil && time.Now().Before(until); time.Sleep(time.Millisecond) {
				_, err = io.WriteString(conn, say[1])
			}
			if err == nil {
				t.Errorf("%s without end: not closed", name)
			}
		})
	}
	clients.Wait()
	if err := collector.Ping(); err != nil {
		t.Errorf("the collector was kept out: %v", err)
	}
	r.ping()
	r.join(0)
}

// A report of which a figure is wrong costs itself and not its neighbours nor the connection.
func TestSpoiltReports(t *testing.T) {
	r := newRig(t, nil)
	collector, err := fakeplatform.NewCollector(r.address, "north")
	if err != nil {
		t.Fatal(err)
	}
	defer collector.Close()
	for _, bad := range []string{`{"@type":"LOAD","site":"north","target":"s-1","count":20,"fail":0,"over":500.0}`,
		`{"@type":"LOAD","site":"south","target":"s-1","count":20,"fail":0,"mean":41.7,"over":500.0}`, `{"@type":"LAOD"}`, `{}`} {
		io.WriteString(collector, text(bad))
	}
	if err := collector.Ping(); err != nil {
		t.Fatal(err)
	}
	r.program.Process.Signal(syscall.SIGTERM)
	r.logged(`"rejected_messages": 4`)
}

// However much strangers send, memory stays within the limit and a collector gets through.
func TestMemory(t *testing.T) {
	r := newRig(t, nil)
	collector, err := fakeplatform.NewCollector(r.address, "north")
	if err != nil {
		t.Fatal(err)
	}
	defer collector.Close()
	long := append([]byte{0, 0, 16, 0}, bytes.Repeat([]byte{' '}, 1<<20)...)
	for k := range 300 {
		conn, err := net.Dial("tcp", r.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		c := &fakeplatform.Collector{Conn: conn} // by what it says
		c.Send(json.RawMessage(hello))
		c.SetWriteDeadline(time.Now().Add(10 * time.Second))
		c.Write(long)
		c.Ping() // the long message has been read then, or was closed as the one that holds most
		if k%2 == 1 {
			c.Write(long[:len(long)-1]) // lacks its end
		}
		if err := collector.Ping(); err != nil {
			t.Fatalf("the collector was kept out: %v", err)
		}
	}
	r.ping()
	r.program.Process.Signal(syscall.SIGTERM)
	if err := <-r.exited; err != nil {
		t.Fatal(err)
	}
	peak := r.program.ProcessState.SysUsage().(*syscall.Rusage).Maxrss >> 10
	if t.Logf("%d MB at most", peak); peak > 192 && !raced() {
		t.Errorf("%d MB at most", peak)
	}
}

// SIGTERM ends the program at once and well; killed, it starts again from nothing under its address.
func TestStop(t *testing.T) {
	r := newRig(t, nil)
	r.join(0)
	r.config["listen"] = r.address
	r.program.Process.Kill()
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
	r.relayed("bound again", bound(0))
	began := time.Now()
	r.program.Process.Signal(syscall.SIGTERM)
	if err := <-r.exited; err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("it took %v to end", took)
	}
}

// After SIGHUP relay and discovery are reached where the new configuration has them, with no gap: proxies that stand
// are not bound anew. A configuration that can't be used leaves the old one in place.
func TestReload(t *testing.T) {
	r := newRig(t, nil)
	r.join(0, 1, 2)
	bindings := func() int {
		r.relay.Lock()
		defer r.relay.Unlock()
		return strings.Count(strings.Join(r.relay.Calls, "\n"), "attach,")
	}
	before := bindings()
	os.WriteFile(r.file, []byte("{"), 0o600)
	r.program.Process.Signal(syscall.SIGHUP)
	r.logged("configuration kept")
	for round := range 3 {
		if err := errors.Join(r.relay.Move("127.0.0.1:0"), r.discovery.Move("127.0.0.1:0")); err != nil {
			t.Fatal(err)
		}
		r.config["discovery"], r.config["store"] = r.discovery.Address(), map[string]any{"address": r.relay.Address()}
		r.configure()
		r.relay.Lock()
		follows := r.relay.Watches
		r.relay.Unlock()
		for range 1 + round {
			r.program.Process.Signal(syscall.SIGHUP)
		}
		r.relayed("followed", func(relay *fakeplatform.Relay) bool { return relay.Watches > follows })
		r.relay.Join(proxy(3 + round))
		r.relayed("bound", bound(3+round))
		name := fmt.Sprintf("s-%d", 1+round)
		r.discovery.Set(node(name, "north", "terminating"))
		r.relayed("drained", without(name))
	}
	if n := bindings() - before; n != 3 {
		t.Errorf("%d bindings for 3 proxies that joined: %q", n, r.relay.Calls)
	}
	r.relay.Break()
	r.discovery.Break()
	r.discovery.Set(node("s-5", "north", "in_service"))
	r.relayed("new", func(relay *fakeplatform.Relay) bool { return relay.Tables[relay.Bound[0]]["s-5"] > 0 })
	r.program.Process.Signal(syscall.SIGHUP)
	r.program.Process.Signal(syscall.SIGTERM)
	if err := <-r.exited; err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

// A start that can't work ends with one clear line.
func TestBadStart(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	whole := `{"listen":"` + taken.Addr().String() + `","discovery":"127.0.0.1:1","seed":"1","store":{"address":"127.0.0.1:2"},"settings":%s}`
	for name, text := range map[string]string{
		"":                        "", // names no file
		"no such file":            "-",
		"unexpected end":          "{",
		"no settings":             `{"listen":"a","discovery":"b:1","store":{"address":"c:1"}}`,
		"no address to listen on": `{}`,
		"no address of the relay": `{"listen":"a","discovery":"b"}`,
		"address already in use":  fmt.Sprintf(whole, settingsJSON),
		"cannot unmarshal":        fmt.Sprintf(whole, `[1]`),
		"zones: none is named":    fmt.Sprintf(whole, `{}`),
	} {
		program := exec.Command(binary)
		file := filepath.Join(t.TempDir(), "config.json")
		switch text {
		case "":
			file = ""
		case "-":
		default:
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		program.Env = append(os.Environ(), "GW_CONFIG="+file)
		out, err := program.CombinedOutput()
		if err == nil || bytes.Count(out, []byte("\n")) != 1 || !strings.Contains(string(out), name) {
			t.Errorf("%q: %v, %q", name, err, out)
		}
	}
}

// On the platform memory begins at 32 MB: libraries for other installations cost some of it even when they are off.
func TestLean(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"google.golang.org", "envoyproxy", "spf13", "participle", "go.etcd.io", "harehook/xds", "harehook/front/xds",
		"harehook/sidecar", "harehook/install"} {
		if strings.Contains(string(out), part) {
			t.Errorf("%s is linked", part)
		}
	}
}
