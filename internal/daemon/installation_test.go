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
	"testing"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
	"harehook.dev/harehook/internal/loopback"
)

// programFolder is the folder of the programs that TestMain builds. Tests start them and connect to them over loopback.
var programFolder string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "harehook-xds")
	if err != nil {
		panic(err)
	}
	programFolder = dir
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

// installation is a controller, sidecars and nodes, whose files are in one folder.
type installation struct {
	t                *testing.T
	folder           string
	listen           string                              // address at which the controller serves sidecars
	certificatesText string                              // certificate settings of sidecars in KDL, empty if none
	nodes            map[string]*fakeplatform.NodeServer // by name
	nodeStates       map[string]string                   // state in the list of nodes, by name; empty if not listed
	logs             map[string]*safeBuffer              // by the program's configuration file
}

// testTimeout is the timeout of operations that take at most one second on an idle machine.
const testTimeout = 20 * time.Second

// newInstallation writes the files of a controller and starts nodes. The first letter of a node's name is that of its
// zone.
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

// freeAddress returns a loopback address on which no process listens. It stays reserved until the test ends.
func freeAddress(t *testing.T) string {
	t.Helper()
	reservation, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reservation.Close)
	return reservation.Address()
}

// write replaces a file atomically and returns its path.
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

// writeNodes writes the list of nodes.
func (in *installation) writeNodes() {
	var text strings.Builder
	for name, n := range in.nodes {
		if in.nodeStates[name] != "" {
			fmt.Fprintf(&text, "node %q zone=%q address=%q state=%q\n", name, zoneOfNode(name), n.Address(), in.nodeStates[name])
		}
	}
	in.write("nodes.kdl", text.String())
}

// zoneOfNode returns "north" for names that begin with n and "south" for names that begin with s.
func zoneOfNode(name string) string { return map[byte]string{'n': "north", 's': "south"}[name[0]] }

// configure writes the controller's configuration file, including extraLines.
func (in *installation) configure(extraLines string) {
	in.write("conductor.kdl", fmt.Sprintf(`conductor "c" { listen %q; seed 3; zone "north"; zone "south"; nodes "nodes.kdl"; report-ms 100
  route "quote" { prefix "/quote"; limit-ms 2000; }
  route "issue" { prefix "/issue"; limit-ms 2000; mutating; }
  %s
}`, in.listen, extraLines))
}

// start runs a program until stop is called or the test ends. If the test has failed by then, the log of the program is
// added to that of the test.
func (in *installation) start(program, config string) (stop func()) {
	in.t.Helper()
	cmd := exec.Command(filepath.Join(programFolder, program), "--config", filepath.Join(in.folder, config))
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

// safeBuffer is a buffer for the log of a program, which tests read while it is written.
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

// String returns the log written so far.
func (b *safeBuffer) String() string {
	b.textMutex.Lock()
	defer b.textMutex.Unlock()
	return b.text.String()
}

// startSidecar starts a sidecar and returns the address at which it accepts calls.
func (in *installation) startSidecar(name, zone, variant string) (address string, stop func()) {
	address = freeAddress(in.t)
	in.write(name+".kdl", fmt.Sprintf("sidecar %q { zone %q; listen %q; conductor %q; variant %q; keep %q; mutating \"issue\"; connect-ms 500; %s; }\n",
		name, zone, address, in.listen, variant, name+".held", in.certificatesText))
	return address, in.start("harehook-sidecar", name+".kdl")
}

// call makes a call and returns the status and the name of the node that answered. If there is no response, it returns
// the status 0 and the text of the error.
func call(address, path, body string) (node string, status int) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error(), 0
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", path, len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error(), 0
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return string(text), response.StatusCode
}

// waitUntil polls a condition until it is true, and fails the test if it is still false after testTimeout.
func (in *installation) waitUntil(condition string, ok func() bool) {
	in.t.Helper()
	for deadline := time.Now().Add(testTimeout); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			out, _ := in.runCtl("sidecars")
			in.t.Fatalf("got no success within %s, want: %s\nsidecars:\n%s", testTimeout, condition, out)
		}
	}
}

// runCtl runs harehookctl against the controller and returns its output and exit code.
func (in *installation) runCtl(args ...string) (out string, code int) {
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	cmd := exec.CommandContext(ctx, filepath.Join(programFolder, "harehookctl"), append([]string{"--conductor", in.listen}, args...)...)
	text, _ := cmd.CombinedOutput()
	return string(text), cmd.ProcessState.ExitCode()
}

// callAll makes calls and returns their numbers by answering node. It fails the test if a call is not answered with
// status 200.
func (in *installation) callAll(address, path string, calls int) map[string]int {
	in.t.Helper()
	callsByNode := map[string]int{}
	for range calls {
		node, status := call(address, path, "body")
		if status != http.StatusOK {
			in.t.Fatalf("call on %s: got status %d and %q, want status %d", path, status, node, http.StatusOK)
		}
		callsByNode[node]++
	}
	return callsByNode
}

// isAnswering returns a condition that reports whether a call at a sidecar succeeds.
func isAnswering(address string) func() bool {
	return func() bool {
		_, status := call(address, "/quote", "")
		return status == http.StatusOK
	}
}

// exitUnavailable is the exit code of harehookctl if the controller does not answer or has no majority of its group.
const exitUnavailable = 3

// isSynced reports whether exactly want sidecars have joined and all versions of all sidecars are synced.
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
