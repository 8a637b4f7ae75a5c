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

// programs is the folder of the programs, which TestMain builds: tests start them and speak to them over loopback.
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

// installation is a controller, sidecars and nodes, with their files in a folder.
type installation struct {
	t                *testing.T
	folder           string
	listen           string                              // where the controller takes sidecars
	certificatesText string                              // of sidecars, in KDL; empty: none
	nodes            map[string]*fakeplatform.NodeServer // by name
	nodeStates       map[string]string                   // as listed, by name; empty: not listed
	logs             map[string]*safeBuffer              // by the program's configuration file
}

// testTimeout is for what takes a second at most on an idle machine.
const testTimeout = 20 * time.Second

// newInstallation prepares the files of a controller and starts nodes; the first letter of a node's name is its zone's.
func newInstallation(t *testing.T, nodes ...string) *installation {
	t.Helper()
	t.Parallel()
	in := &installation{
		t:          t,
		folder:     t.TempDir(),
		listen:     freeAddress(t),
		nodes:      map[string]*fakeplatform.NodeServer{},
		nodeStates: map[string]string{},
		logs:       map[string]*safeBuffer{},
	}
	for _, name := range nodes {
		node, err := fakeplatform.NewNodeServer(name, "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.Close)
		in.nodes[name] = node
		in.nodeStates[name] = "ready"
	}
	in.writeNodes()
	in.configure("")
	return in
}

// portCount counts the ports that were chosen. They are below those that the system gives to connections: one of these
// could take a port between its choice and its use.
var portCount atomic.Int32

const (
	firstPort = 20000
	maxPorts  = 12000
)

// freeAddress returns one on loopback that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
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

// write replaces a file at once and returns its path.
func (in *installation) write(name, text string) string {
	in.t.Helper()
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

// zoneOfNode is "north" for names with n, "south" for those with s.
func zoneOfNode(name string) string { return map[byte]string{'n': "north", 's': "south"}[name[0]] }

// configure writes the controller's file, with further lines.
func (in *installation) configure(more string) {
	in.write("conductor.kdl", fmt.Sprintf(`conductor "c" { listen %q; seed 3; zone "north"; zone "south"; nodes "nodes.kdl"; report-ms 100
  route "quote" { prefix "/quote"; limit-ms 2000; }
  route "issue" { prefix "/issue"; limit-ms 2000; mutating; }
  %s
}`, in.listen, more))
}

// start runs a program until stop is called, or the test ends. The log of a test that fails has the program's.
func (in *installation) start(program, config string) (stop func()) {
	in.t.Helper()
	cmd := exec.Command(filepath.Join(programs, program), "--config", filepath.Join(in.folder, config))
	log := &safeBuffer{}
	in.logs[config] = log
	cmd.Stdout = log
	cmd.Stderr = log
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

// safeBuffer is a program's log, which tests read while it is written.
type safeBuffer struct {
	textMutex sync.Mutex
	text      bytes.Buffer
}

// Write implements io.Writer.
func (b *safeBuffer) Write(p []byte) (int, error) {
	b.textMutex.Lock()
	defer b.textMutex.Unlock()
	return b.text.Write(p)
}

// String is the log until now.
func (b *safeBuffer) String() string {
	b.textMutex.Lock()
	defer b.textMutex.Unlock()
	return b.text.String()
}

// startSidecar starts a sidecar and returns where it takes calls.
func (in *installation) startSidecar(name, zone, variant string) (address string, stop func()) {
	address = freeAddress(in.t)
	in.write(name+".kdl", fmt.Sprintf("sidecar %q { zone %q; listen %q; conductor %q; variant %q; keep %q; mutating \"issue\"; connect-ms 500; %s; }\n",
		name, zone, address, in.listen, variant, name+".held", in.certificatesText))
	return address, in.start("harehook-sidecar", name+".kdl")
}

// call makes a call and returns who answered, or why nobody did, and the status, which is 0 without an answer.
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

// waitUntil waits until something holds, and fails the test if it does not in time.
func (in *installation) waitUntil(what string, ok func() bool) {
	in.t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			out, _ := in.runCtl("sidecars")
			in.t.Fatalf("not within %s: %s\n%s", testTimeout, what, out)
		}
	}
}

// runCtl runs harehookctl against the controller and returns its output and exit code.
func (in *installation) runCtl(args ...string) (out string, code int) {
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	cmd := exec.CommandContext(ctx, filepath.Join(programs, "harehookctl"), append([]string{"--conductor", in.listen}, args...)...)
	text, _ := cmd.CombinedOutput()
	return string(text), cmd.ProcessState.ExitCode()
}

// callAll makes calls and counts them by who answered; all have to be answered.
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

// isAnswering tells, when it is called, whether a sidecar has a call answered.
func isAnswering(address string) func() bool {
	return func() bool {
		_, status := call(address, "/quote", "")
		return status == http.StatusOK
	}
}

// exitUnavailable is the exit code of harehookctl where a controller is away, or has no majority of its group.
const exitUnavailable = 3

// isSynced tells whether so many sidecars have joined, and all hold what they are to hold.
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
