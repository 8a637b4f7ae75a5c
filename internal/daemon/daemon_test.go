package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
)

// The tests start the programs and speak to them over loopback.
var programs string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "harehook-xds")
	if err != nil {
		panic(err)
	}
	programs = dir
	build := []string{"build", "-tags", "debug", "-o", dir}
	if info, ok := debug.ReadBuildInfo(); ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"}) {
		build = append(build, "-race")
	}
	if out, err := exec.Command("go", append(build, "../../cmd/harehook-xds", "../../cmd/harehookd", "../../cmd/harehook-sidecar", "../../cmd/harehookctl")...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// installation is a controller, sidecars and nodes in a folder.
type installation struct {
	t                *testing.T
	folder           string
	listen           string
	certificatesText string
	nodes            map[string]*fakeplatform.NodeServer
	nodeStates       map[string]string // of nodes, as listed
	logs             map[string]*safeBuffer
}

const testTimeout = 20 * time.Second // for what takes a second at most on an idle machine

func newInstallation(t *testing.T, nodes ...string) *installation {
	t.Parallel()
	in := &installation{t: t, folder: t.TempDir(), listen: freeAddress(t), nodes: map[string]*fakeplatform.NodeServer{}, nodeStates: map[string]string{},
		logs: map[string]*safeBuffer{}}
	for _, name := range nodes {
		n, err := fakeplatform.NewNodeServer(name, "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		in.nodes[name], in.nodeStates[name] = n, "ready"
	}
	in.writeNodes()
	in.configure("")
	return in
}

// portCount are counted up below those that the system gives to connections: one of these could take a port between its
// choice and its use.
var portCount atomic.Int32

const (
	firstPort = 20000
	maxPorts  = 12000
)

func freeAddress(t *testing.T) string {
	for range maxPorts {
		port := firstPort + (int32(os.Getpid())*37%maxPorts+portCount.Add(1))%maxPorts
		if l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port)); err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no port is free")
	return ""
}

func (in *installation) write(name, text string) string {
	path := filepath.Join(in.folder, name)
	if err := os.WriteFile(path+".part", []byte(text), 0o600); err != nil {
		in.t.Fatal(err)
	}
	if err := os.Rename(path+".part", path); err != nil {
		in.t.Fatal(err)
	}
	return path
}

// writeNodes writes the nodes' list.
func (in *installation) writeNodes() {
	var text strings.Builder
	for name, n := range in.nodes {
		if in.nodeStates[name] != "" {
			fmt.Fprintf(&text, "node %q zone=%q address=%q state=%q\n", name, zoneOfNode(name), n.Address(), in.nodeStates[name])
		}
	}
	in.write("nodes.kdl", text.String())
}

func zoneOfNode(name string) string { return map[byte]string{'n': "north", 's': "south"}[name[0]] }

func (in *installation) configure(more string) {
	in.write("conductor.kdl", fmt.Sprintf(`conductor "c" { listen %q; seed 3; zone "north"; zone "south"; nodes "nodes.kdl"; report-ms 100
  route "quote" { prefix "/quote"; limit-ms 2000; }
  route "issue" { prefix "/issue"; limit-ms 2000; mutating; }
  %s
}`, in.listen, more))
}

// start runs a program until the function that it gives is called, or the test ends.
func (in *installation) start(program, config string) (stop func()) {
	in.t.Helper()
	cmd := exec.Command(filepath.Join(programs, program), "--config", filepath.Join(in.folder, config))
	log := &safeBuffer{}
	in.logs[config] = log
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		in.t.Fatal(err)
	}
	var once sync.Once
	stop = func() {
		once.Do(func() {
			cmd.Process.Kill()
			cmd.Wait()
			if in.t.Failed() {
				in.t.Logf("%s %s:\n%s", program, config, log.String())
			}
		})
	}
	in.t.Cleanup(stop)
	return stop
}

// safeBuffer keeps a program's log while it is read.
type safeBuffer struct {
	textMutex sync.Mutex
	text      bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.textMutex.Lock()
	defer b.textMutex.Unlock()
	return b.text.Write(p)
}

func (b *safeBuffer) String() string {
	b.textMutex.Lock()
	defer b.textMutex.Unlock()
	return b.text.String()
}

// startSidecar starts one and gives where it takes calls.
func (in *installation) startSidecar(name, zone, variant string) (address string, stop func()) {
	address = freeAddress(in.t)
	in.write(name+".kdl", fmt.Sprintf("sidecar %q { zone %q; listen %q; conductor %q; variant %q; keep %q; mutating \"issue\"; connect-ms 500; %s; }\n",
		name, zone, address, in.listen, variant, name+".held", in.certificatesText))
	return address, in.start("harehook-sidecar", name+".kdl")
}

// call makes a call and gives who answered and the status.
func call(address, path, body string) (who string, status int) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error(), 0
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", path, len(body), body)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error(), 0
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	return string(text), answer.StatusCode
}

// waitUntil waits for what must come.
func (in *installation) waitUntil(what string, ok func() bool) {
	in.t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			out, _ := in.runCtl("sidecars")
			in.t.Fatalf("not within %s: %s\n%s", testTimeout, what, out)
		}
	}
}

func (in *installation) runCtl(args ...string) (out string, code int) {
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	cmd := exec.CommandContext(ctx, filepath.Join(programs, "harehookctl"), append([]string{"--conductor", in.listen}, args...)...)
	text, _ := cmd.CombinedOutput()
	return string(text), cmd.ProcessState.ExitCode()
}

// callAll makes calls and counts who answered; they have to be answered all.
func (in *installation) callAll(address, path string, calls int) map[string]int {
	in.t.Helper()
	got := map[string]int{}
	for range calls {
		who, status := call(address, path, "seat")
		if status != http.StatusOK {
			in.t.Fatalf("%s: %d %s", path, status, who)
		}
		got[who]++
	}
	return got
}

func isAnswering(address string) func() bool {
	return func() bool { _, status := call(address, "/quote", ""); return status == http.StatusOK }
}

// Calls go where the controller decided; a node that drains gets none once sidecars hold that; a controller that dies is
// not missed, and one that comes back finds that sidecars hold its versions.
func TestSidecarsFollowTheirControllerAndOutliveIt(t *testing.T) {
	in := newInstallation(t, "n-1", "n-2", "s-1")
	stop := in.start("harehook-xds", "conductor.kdl")
	first, _ := in.startSidecar("till-1", "north", "delta")
	second, stopSecond := in.startSidecar("till-2", "south", "state")
	in.waitUntil("both answer", func() bool { return isAnswering(first)() && isAnswering(second)() })
	if got := in.callAll(first, "/quote/7", 60); got["n-1"] == 0 || got["n-2"] == 0 {
		t.Errorf("the north's calls went to %v", got)
	}
	if got := in.callAll(second, "/issue", 10); got["s-1"] == 0 {
		t.Errorf("the south's calls went to %v", got)
	}
	if who, status := call(first, "/nothing", ""); status != http.StatusNotFound {
		t.Errorf("no route: %d %s", status, who)
	}

	in.nodeStates["n-1"] = "draining"
	in.writeNodes()
	synced := func(without string) func() bool {
		return func() bool {
			out, code := in.runCtl("tables")
			return code == 0 && strings.Contains(out, "n-2") && !strings.Contains(out, without) && in.isSynced(2)
		}
	}
	in.waitUntil("the drain is held", synced("n-1"))
	before := in.nodes["n-1"].Calls("/quote")
	in.callAll(first, "/quote", 20)
	if in.nodes["n-1"].Calls("/quote") != before {
		t.Error("a drained node got calls")
	}

	stop()
	in.callAll(first, "/quote", 10)
	stopSecond()
	second, _ = in.startSidecar("till-2", "south", "state") // its controller is away: it goes by what it kept
	in.waitUntil("answers by what it kept", isAnswering(second))
	if out, code := in.runCtl("sidecars"); code != exitUnavailable {
		t.Errorf("a conductor that is away: exit %d, %s", code, out)
	}
	in.start("harehook-xds", "conductor.kdl")
	in.waitUntil("all are back", func() bool { return in.isSynced(2) })
	in.callAll(second, "/quote", 10)
}

const exitUnavailable = 3

// isSynced tells whether so many sidecars have joined and hold all that they are to hold.
func (in *installation) isSynced(want int) bool {
	out, code := in.runCtl("sidecars", "-o", "json")
	var rows []struct {
		Joined   bool   `json:"joined"`
		Table    string `json:"table"`
		Versions []struct {
			Status string `json:"status"`
		} `json:"versions"`
	}
	if code != 0 || json.Unmarshal([]byte(out), &rows) != nil {
		return false
	}
	joined := 0
	for _, r := range rows {
		if r.Joined && r.Table != "" && len(r.Versions) >= 4 {
			joined++
		}
		for _, v := range r.Versions {
			if v.Status != "synced" {
				return false
			}
		}
	}
	return joined == want
}

// A try that never ran is made at another node, on a mutating route as well; one that may have run is not.
func TestOnlyAttemptsThatNeverRanAreRetriedOnMutatingRoutes(t *testing.T) {
	in := newInstallation(t, "n-1", "n-2", "s-1")
	in.start("harehook-xds", "conductor.kdl")
	address, _ := in.startSidecar("till", "north", "delta")
	in.waitUntil("answers", isAnswering(address))
	in.waitUntil("further tries are let", func() bool {
		for range 20 {
			call(address, "/quote", "") // until calls tell of a calm fleet there are none
		}
		out, _ := in.runCtl("tables")
		return strings.Count(out, "connect-failure") >= 2
	})
	in.nodes["n-1"].Close()
	for range 20 {
		if who, status := call(address, "/issue", "seat"); status != http.StatusOK {
			t.Fatalf("a node refuses connections: %d %s", status, who)
		}
	}
	ran := func() int { return in.nodes["n-2"].Calls("/issue/one") + in.nodes["s-1"].Calls("/issue/one") }
	for _, n := range in.nodes {
		n.Fail.Store(-1)
	}
	for k := range 10 {
		if _, status := call(address, "/issue/one", "seat"); status == http.StatusOK {
			t.Error("an answer from a node that gives none")
		}
		if ran() > k+1 {
			t.Fatalf("%d calls ran %d times", k+1, ran())
		}
	}
}

// Who has no certificate of the roots gets nothing, and new keys are taken over while streams stand.
func TestSidecarsNeedCertificatesOfTheRoots(t *testing.T) {
	in := newInstallation(t, "n-1", "s-1")
	authority := fakeplatform.NewAuthority(t)
	put := func(who string) string {
		cert, key := authority.Issue(who, time.Now().Add(-time.Hour), time.Now().Add(time.Hour))
		in.write(who+".key", string(key))
		in.write("roots.pem", string(authority.Roots()))
		return in.write(who+".crt", string(cert))
	}
	put("conductor")
	put("till")
	keys := func(who string) string {
		return fmt.Sprintf("keys certificate=%q key=%q roots=\"roots.pem\"", who+".crt", who+".key")
	}
	in.configure(keys("conductor"))
	in.start("harehook-xds", "conductor.kdl")
	stranger, _ := in.startSidecar("stranger", "north", "delta")
	in.certificatesText = keys("till")
	address, _ := in.startSidecar("till", "north", "delta")
	in.waitUntil("answers", isAnswering(address))
	if _, status := call(stranger, "/quote", ""); status == http.StatusOK {
		t.Error("a sidecar without keys was served")
	}
	put("conductor")
	put("till")
	in.waitUntil("a sidecar joins by the new keys", func() bool {
		other, stop := in.startSidecar("other", "south", "state")
		defer stop()
		for range 50 {
			if isAnswering(other)() {
				return true
			}
			time.Sleep(20 * time.Millisecond)
		}
		return false
	})
	in.callAll(address, "/quote", 5)
}

// A configuration with faults is refused with the line of each; the exit code says so.
func TestCheckNamesTheLineOfEachMistake(t *testing.T) {
	in := newInstallation(t, "n-1")
	path := in.write("bad.kdl", "conductor \"c\" {\n listen \"nowhere\"\n zone \"north\"\n zone \"north\"\n nodes \"nodes.kdl\"\n route \"a\" { prefix \"/a\"; limit-ms 10; }\n route \"b\" { prefix \"/a/b\"; limit-ms 2000; mutatin; }\n}\n")
	out, code := in.runCtl("check", path)
	for _, want := range []string{"line 2: \"listen\" takes an address", "line 4: zone \"north\" is there twice", "line 6: route \"a\" has a time limit under its SLO time",
		"line 7: \"mutatin\" is not known", "line 7: route \"b\" is never reached"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is not in:\n%s", want, out)
		}
	}
	if code != 1 {
		t.Errorf("exit %d", code)
	}
	if out, code := in.runCtl("check", filepath.Join(in.folder, "conductor.kdl")); code != 1 || !strings.Contains(out, `zone "south" has no node`) {
		t.Errorf("exit %d: %s", code, out)
	}
	told := in.write("told.kdl", "conductor \"c\" { listen \"127.0.0.1:1\"; zone \"north\"; nodes-from \"127.0.0.1:2\" cluster=\"x\"; route \"a\" { prefix \"/a\"; limit-ms 1000; }; }\n")
	if out, code := in.runCtl("check", told); code != 0 {
		t.Errorf("its nodes are told: exit %d: %s", code, out)
	}
	if _, code := in.runCtl("chek"); code != 2 {
		t.Errorf("exit %d", code)
	}
}
