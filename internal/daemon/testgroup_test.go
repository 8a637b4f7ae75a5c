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

// maxRecovery is the maximum time after which a group must have a leader again and accept proposals, as stated in
// docs/raft.md.
const maxRecovery = 5 * time.Second

// testGroup is an installation with several controllers that are members of a group. Tests number the members from 0;
// their IDs in the group start at 1.
type testGroup struct {
	*installation
	members          int
	sidecarAddresses []string // addresses at which members serve sidecars
	groupAddresses   []string // addresses at which members serve members and operators
	forwarders       map[direction]*fakeplatform.Forwarder
	stops            []func() // stop the programs of the members

	sidecarNames     []string
	textOfVersion    map[uint64]string // of each agreed version that a sidecar has accepted
	newestVersion    map[string]uint64 // by sidecar
	proposedVersions int
}

// direction is the direction from one member to another, in which a forwarder can cut connections.
type direction struct{ from, to int }

// newTestGroup starts a group with the given number of members.
func newTestGroup(t *testing.T, members int) *testGroup {
	t.Helper()
	g := &testGroup{
		installation:  newInstallation(t, "n-1", "n-2", "s-1"),
		members:       members,
		forwarders:    map[direction]*fakeplatform.Forwarder{},
		stops:         make([]func(), members),
		textOfVersion: map[uint64]string{},
		newestVersion: map[string]uint64{},
	}
	for range members {
		g.sidecarAddresses = append(g.sidecarAddresses, freeAddress(t))
		g.groupAddresses = append(g.groupAddresses, freeAddress(t))
	}
	for from := range members {
		for to := range members {
			if from != to {
				g.forwarders[direction{from, to}] = newForwarder(t, g.groupAddresses[to])
			}
		}
	}
	for member := range members {
		g.configureController(member, g.groupSection(member, fmt.Sprintf("data-%d", member+1), false))
		g.stops[member] = g.start("harehook-xds", configFile(member))
	}
	return g
}

// newForwarder returns a forwarder to an address. The end of the test closes it.
func newForwarder(t *testing.T, address string) *fakeplatform.Forwarder {
	t.Helper()
	forwarder, err := fakeplatform.NewForwarder(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(forwarder.Close)
	return forwarder
}

// configFile returns the name of a member's configuration file.
func configFile(member int) string { return fmt.Sprintf("c-%d.kdl", member+1) }

// groupSection returns the group section of a member's configuration.
func (g *testGroup) groupSection(k int, dataFolder string, addedLater bool) string {
	var text strings.Builder
	fmt.Fprintf(&text, "group { id %d; listen %q; data %q; ", k+1, g.groupAddresses[k], dataFolder)
	for other := range g.members {
		address := g.groupAddresses[other]
		if forwarder := g.forwarders[direction{k, other}]; forwarder != nil {
			address = forwarder.Address()
		}
		fmt.Fprintf(&text, "member %d %q; ", other+1, address)
	}
	if addedLater {
		text.WriteString("added-later; ")
	}
	return text.String() + "}"
}

// configureController writes a controller's configuration file with the given group or follow section.
func (g *testGroup) configureController(k int, group string) {
	listen := g.listen
	g.listen = g.sidecarAddresses[k]
	g.configure(group)
	g.listen = listen
	path := filepath.Join(g.folder, "conductor.kdl")
	text, err := os.ReadFile(path)
	if err != nil {
		g.t.Fatal(err)
	}
	g.write(configFile(k), string(text))
}

// runCtlAt runs harehookctl at one member and returns its output and exit code.
func (g *testGroup) runCtlAt(k int, args ...string) (string, int) {
	return g.runCtl(append([]string{"--conductor", g.groupAddresses[k]}, args...)...)
}

// startGroupSidecar starts a sidecar that tries the controllers in the given order, and returns its address.
func (g *testGroup) startGroupSidecar(name string, members ...int) string {
	address := freeAddress(g.t)
	var controllers strings.Builder
	for _, k := range members {
		fmt.Fprintf(&controllers, "conductor %q; ", g.sidecarAddresses[k])
	}
	g.write(name+".kdl", fmt.Sprintf("sidecar %q { zone \"north\"; listen %q; %s keep %q; }\n", name, address, controllers.String(), name+".held"))
	g.start("harehook-sidecar", name+".kdl")
	g.sidecarNames = append(g.sidecarNames, name)
	return address
}

// propose proposes a version at a member. The version is identified by its prefix.
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

// agree proposes versions at a member until one is agreed on. It returns the prefix of that version and the duration.
func (g *testGroup) agree(k int) (prefix string, duration time.Duration) {
	g.t.Helper()
	start := time.Now()
	for {
		prefix, out, code := g.propose(k)
		if code == 0 {
			return prefix, time.Since(start)
		}
		if time.Since(start) > testTimeout {
			g.t.Fatalf("propose at member %d: got exit code %d and %q, want 0 within %s", k+1, code, out, testTimeout)
		}
	}
}

// checkSidecars reads the resources that the sidecars have stored and checks that a version has the same text at all of
// them and that no sidecar returns to an older version.
func (g *testGroup) checkSidecars() {
	g.t.Helper()
	for _, name := range g.sidecarNames {
		cache := &sidecar.ResourceCache{ID: name}
		if (&sidecar.Store{Path: filepath.Join(g.folder, name+".held")}).Load(cache) != nil {
			continue
		}
		revision, text := cache.RoutingRevision(), ""
		for _, route := range cache.Table().Routes {
			if route.Status == 0 {
				text += fmt.Sprint(route.Name, route.Prefix, route.Mutating, route.RoutingRevision, " ")
			}
		}
		if revision == 0 {
			continue
		}
		if want, known := g.textOfVersion[revision]; known && want != text {
			g.t.Errorf("version %d at %s: got %q, want %q as at another sidecar", revision, name, text, want)
		}
		g.textOfVersion[revision] = text
		if revision < g.newestVersion[name] {
			g.t.Errorf("version at %s: got %d, want at least %d", name, revision, g.newestVersion[name])
		}
		g.newestVersion[name] = revision
	}
}

// cut disconnects a member from all others, or reconnects it.
func (g *testGroup) cut(k int, disconnected bool) {
	for d, forwarder := range g.forwarders {
		if d.from == k || d.to == k {
			forwarder.Cut(disconnected)
		}
	}
}

// atLeader runs a command at the leader. The command must succeed; only if it is rejected because another member is the
// leader now is it repeated at that one, as the leader may change on a busy machine.
func (g *testGroup) atLeader(args ...string) (out string) {
	g.t.Helper()
	g.waitUntil(strings.Join(args, " ")+" is accepted by the leader", func() bool {
		code := 0
		out, code = g.runCtlAt(g.leader(), args...)
		if code != 0 && !strings.Contains(out, "the leader, which is") {
			g.t.Fatalf("%v at the leader: got exit code %d and %q, want 0", args, code, out)
		}
		return code == 0
	})
	return out
}

// leader waits until a member reports itself as the leader, and returns its number.
func (g *testGroup) leader() int {
	g.t.Helper()
	lead := -1
	g.waitUntil("a member is the leader", func() bool {
		for k := range g.members {
			out, code := g.runCtlAt(k, "status")
			var id, leader int
			if n, _ := fmt.Sscanf(out, "member %d, leader %d,", &id, &leader); code == 0 && n == 2 && leader > 0 {
				if confirmation, _ := g.runCtlAt(leader-1, "status"); strings.HasPrefix(confirmation, fmt.Sprintf("member %d, leader %d,", leader, leader)) {
					lead = leader - 1
					return true
				}
			}
		}
		return false
	})
	return lead
}

// servesPrefix returns a condition that reports whether a sidecar has the agreed version with the given prefix.
func (g *testGroup) servesPrefix(address, prefix string) func() bool {
	return func() bool {
		g.checkSidecars()
		_, status := call(address, prefix, "")
		return status == http.StatusOK
	}
}
