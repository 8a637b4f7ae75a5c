package daemon

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
	"harehook.dev/harehook/sidecar"
)

// maxRecovery is the time within which a group has a leader again and takes proposals, as docs/raft.md states it.
const maxRecovery = 5 * time.Second

// testGroup are controllers that agree, each way between two of them through a gate.
type testGroup struct {
	*installation
	members          int
	sidecarAddresses []string // where they take sidecars
	groupAddresses   []string // where members and operators reach them
	gates            map[[2]int]*fakeplatform.Gate
	stops            []func()
	textOfVersion    map[uint64]string // of each agreed version that any sidecar held
	newestVersion    map[string]uint64 // by sidecar
	sidecars         []string
	proposedVersions int
}

func newTestGroup(t *testing.T, n int) *testGroup {
	g := &testGroup{installation: newInstallation(t, "n-1", "n-2", "s-1"), members: n, gates: map[[2]int]*fakeplatform.Gate{}, textOfVersion: map[uint64]string{},
		newestVersion: map[string]uint64{}, stops: make([]func(), n)}
	for range n {
		g.sidecarAddresses, g.groupAddresses = append(g.sidecarAddresses, freeAddress(t)), append(g.groupAddresses, freeAddress(t))
	}
	for a := range n {
		for b := range n {
			if a != b {
				gate, err := fakeplatform.NewGate(g.groupAddresses[b])
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(gate.Close)
				g.gates[[2]int{a, b}] = gate
			}
		}
	}
	for k := range n {
		g.configureController(k, g.memberText(k, fmt.Sprintf("data-%d", k+1), false))
		g.stops[k] = g.start("harehook-xds", fmt.Sprintf("c-%d.kdl", k+1))
	}
	return g
}

// memberText is a controller's part in the group, as it is configured.
func (g *testGroup) memberText(k int, data string, later bool) string {
	var text strings.Builder
	fmt.Fprintf(&text, "group { id %d; listen %q; data %q; ", k+1, g.groupAddresses[k], data)
	for other := range g.members {
		address := g.groupAddresses[other]
		if gate := g.gates[[2]int{k, other}]; gate != nil {
			address = gate.Address()
		}
		fmt.Fprintf(&text, "member %d %q; ", other+1, address)
	}
	if later {
		text.WriteString("added-later; ")
	}
	return text.String() + "}"
}

func (g *testGroup) configureController(k int, group string) {
	listen := g.installation.listen
	g.installation.listen = g.sidecarAddresses[k]
	g.configure(group)
	g.installation.listen = listen
	path := filepath.Join(g.folder, "conductor.kdl")
	text, err := os.ReadFile(path)
	if err != nil {
		g.t.Fatal(err)
	}
	g.write(fmt.Sprintf("c-%d.kdl", k+1), string(text))
}

// runCtlAt runs harehookctl against one member.
func (g *testGroup) runCtlAt(k int, args ...string) (string, int) {
	return g.runCtl(append([]string{"--conductor", g.groupAddresses[k]}, args...)...)
}

// startGroupSidecar starts a sidecar that asks the controllers in an order of its own.
func (g *testGroup) startGroupSidecar(name string, conductors ...int) string {
	address := freeAddress(g.t)
	var asks strings.Builder
	for _, k := range conductors {
		fmt.Fprintf(&asks, "conductor %q; ", g.sidecarAddresses[k])
	}
	g.write(name+".kdl", fmt.Sprintf("sidecar %q { zone \"north\"; listen %q; %s keep %q; }\n", name, address, asks.String(), name+".held"))
	g.start("harehook-sidecar", name+".kdl")
	g.sidecars = append(g.sidecars, name)
	return address
}

// propose has a version agreed that is told by its prefix, and gives that.
func (g *testGroup) propose(k int) (prefix, out string, code int) {
	g.proposedVersions++
	prefix = fmt.Sprintf("/v%d", g.proposedVersions)
	file := g.write(fmt.Sprintf("agreed-%d.kdl", g.proposedVersions), fmt.Sprintf(`agreed {
  route "quote" { prefix %q; limit-ms 2000; }
  route "issue" { prefix "/issue"; limit-ms 2000; mutating; }
}
`, prefix))
	out, code = g.runCtlAt(k, "propose", file, "--why", prefix)
	return prefix, out, code
}

// agree proposes until it is agreed; it gives how long that took.
func (g *testGroup) agree(k int) (prefix string, took time.Duration) {
	g.t.Helper()
	began := time.Now()
	for {
		prefix, out, code := g.propose(k)
		if code == 0 {
			return prefix, time.Since(began)
		}
		if time.Since(began) > testTimeout {
			g.t.Fatalf("not agreed at member %d: exit %d, %s", k+1, code, out)
		}
	}
}

// checkSidecars reads what the sidecars hold and checks it: one text a version over all of them, and none goes back.
func (g *testGroup) checkSidecars() {
	g.t.Helper()
	for _, name := range g.sidecars {
		h := &sidecar.ResourceCache{ID: name}
		if (&sidecar.Store{Path: filepath.Join(g.folder, name+".held")}).Load(h) != nil {
			continue
		}
		version, text := h.Agreed(), ""
		for _, e := range h.Table().Routes {
			if e.Status == 0 {
				text += fmt.Sprint(e.Name, e.Prefix, e.Mutating, e.Agreed, " ")
			}
		}
		if version == 0 {
			continue
		}
		if was, known := g.textOfVersion[version]; known && was != text {
			g.t.Errorf("version %d is %q at %s, %q elsewhere", version, text, name, was)
		}
		g.textOfVersion[version] = text
		if version < g.newestVersion[name] {
			g.t.Errorf("%s went back from version %d to %d", name, g.newestVersion[name], version)
		}
		g.newestVersion[name] = version
	}
}

// cut has a member reach no other, and none it, or lets it again.
func (g *testGroup) cut(k int, yes bool) {
	for pair, gate := range g.gates {
		if pair[0] == k || pair[1] == k {
			gate.Cut(yes)
		}
	}
}

// atLeader has the leader take a command, which has to succeed. Only a refusal because another member leads by now is
// followed to that one: on a busy machine the lead changes hands.
func (g *testGroup) atLeader(args ...string) (out string) {
	g.t.Helper()
	g.waitUntil(strings.Join(args, " ")+" is taken by the leader", func() bool {
		code := 0
		out, code = g.runCtlAt(g.leader(), args...)
		if code != 0 && !strings.Contains(out, "the leader, which is") {
			g.t.Fatalf("exit %d: %s", code, out)
		}
		return code == 0
	})
	return out
}

func (g *testGroup) leader() int {
	g.t.Helper()
	lead := -1
	g.waitUntil("a leader", func() bool {
		for k := range g.members {
			out, code := g.runCtlAt(k, "status")
			var id, leader int
			if n, _ := fmt.Sscanf(out, "member %d, leader %d,", &id, &leader); code == 0 && n == 2 && leader > 0 {
				if again, _ := g.runCtlAt(leader-1, "status"); strings.HasPrefix(again, fmt.Sprintf("member %d, leader %d,", leader, leader)) {
					lead = leader - 1
					return true
				}
			}
		}
		return false
	})
	return lead
}

func (g *testGroup) holdsPrefix(address, prefix string) func() bool {
	return func() bool {
		g.checkSidecars()
		_, status := call(address, prefix, "")
		return status == http.StatusOK
	}
}
