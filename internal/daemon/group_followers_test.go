package daemon

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"harehook.dev/harehook/configsync/transport"
	"harehook.dev/harehook/internal/fakeplatform"
)

// followingControllers are controllers that follow a group. Each connects to each member through a forwarder.
type followingControllers struct {
	*testGroup
	configFiles      []string
	forwarders       [][]*fakeplatform.Forwarder // by follower, then by member
	stops            []func()
	followerSidecars []string // addresses of their sidecars, by follower
}

func newFollowingControllers(g *testGroup, count int) *followingControllers {
	f := &followingControllers{testGroup: g}
	for range count {
		k := len(g.sidecarAddresses)
		g.sidecarAddresses = append(g.sidecarAddresses, freeAddress(g.t))
		var forwarders []*fakeplatform.Forwarder
		var members strings.Builder
		for member := range g.members {
			forwarder, err := fakeplatform.NewForwarder(g.groupAddresses[member])
			if err != nil {
				g.t.Fatal(err)
			}
			g.t.Cleanup(forwarder.Close)
			forwarders = append(forwarders, forwarder)
			fmt.Fprintf(&members, "member %q; ", forwarder.Address())
		}
		g.configureController(k, "follow { "+members.String()+"}")
		f.configFiles = append(f.configFiles, f.setUniqueName(k))
		f.forwarders = append(f.forwarders, forwarders)
		f.stops = append(f.stops, g.start("harehook-xds", f.configFiles[len(f.configFiles)-1]))
		f.followerSidecars = append(f.followerSidecars, g.startGroupSidecar(fmt.Sprintf("sidecar-of-%d", k+1), k))
	}
	return f
}

// setUniqueName replaces the name in a follower's configuration file by a unique one, which identifies the follower at
// the members. It returns the name of the file.
func (f *followingControllers) setUniqueName(k int) (file string) {
	file = fmt.Sprintf("c-%d.kdl", k+1)
	text, err := os.ReadFile(filepath.Join(f.folder, file))
	if err != nil {
		f.t.Fatal(err)
	}
	f.write(file, strings.Replace(string(text), `conductor "c"`, fmt.Sprintf(`conductor "follower-%d"`, k+1), 1))
	return file
}

// report returns the output of harehookctl following at a follower.
func (f *followingControllers) report(k int) (report transport.FollowerReport) {
	f.t.Helper()
	out, _ := f.runCtl("--conductor", f.sidecarAddresses[f.members+k], "-o", "json", "following")
	if err := json.NewDecoder(strings.NewReader(out)).Decode(&report); err != nil {
		f.t.Fatalf("following at follower %d: got %q, want JSON: %v", k, out, err)
	}
	return report
}

// followedMember returns the member that a follower follows, -1 if none.
func (f *followingControllers) followedMember(k int) int {
	report := f.report(k)
	for member, forwarder := range f.forwarders[k] {
		if forwarder.Address() == report.Member {
			return member
		}
	}
	return -1
}

// cut disconnects a follower from all members, or reconnects it.
func (f *followingControllers) cut(k int, disconnected bool) {
	for _, forwarder := range f.forwarders[k] {
		forwarder.Cut(disconnected)
	}
}

// waitForVersion waits until the sidecars of all followers have the agreed version with the given prefix.
func (f *followingControllers) waitForVersion(condition, prefix string) {
	f.t.Helper()
	f.waitUntil(condition, func() bool {
		for _, address := range f.followerSidecars {
			if !f.servesPrefix(address, prefix)() {
				return false
			}
		}
		return true
	})
}

// Two controllers follow a group of three while faults occur one after the other: the leader stops during a proposal, a
// member is disconnected from the others so that its follower moves, a follower is disconnected from all members, and
// both followers restart at the same time. After each fault the next agreed version must reach the sidecars of both
// followers, and no sidecar may return to an older version.
func TestFollowersReceiveAgreedVersionsDespiteFaults(t *testing.T) {
	g := newTestGroup(t, 3)
	lead := g.leader()
	f := newFollowingControllers(g, 2)
	prefix, _ := g.agree(lead)
	f.waitForVersion("all sidecars have the agreed version", prefix)

	proposeReturned := make(chan struct{})
	go func() { // the outcome is unknown because the leader stops
		defer close(proposeReturned)
		g.runCtlAt(lead, "propose", filepath.Join(g.folder, "agreed-1.kdl"), "--why", "open")
	}()
	g.stops[lead]()
	<-proposeReturned
	other := (lead + 1) % 3
	prefix, _ = g.agree(other)
	f.waitForVersion("all sidecars have the version that was agreed on without the leader", prefix)
	g.stops[lead] = g.start("harehook-xds", fmt.Sprintf("c-%d.kdl", lead+1))
	g.waitUntil("the restarted member has the agreed version", func() bool {
		out, code := g.runCtlAt(lead, "config")
		return code == 0 && strings.Contains(out, prefix+"\"")
	})

	f.waitUntil("the first follower follows a member", func() bool { return f.followedMember(0) >= 0 })
	disconnected := f.followedMember(0)
	g.cut(disconnected, true)
	f.waitUntil("the follower of the disconnected member moves to another one", func() bool {
		member := f.followedMember(0)
		return member >= 0 && member != disconnected
	})
	prefix, _ = g.agree((disconnected + 1) % 3)
	f.waitForVersion("all sidecars have the version that was agreed on without the disconnected member", prefix)
	g.cut(disconnected, false)

	f.cut(1, true)
	f.waitUntil("the disconnected follower is stale", func() bool { return f.report(1).Stale })
	lastPrefix := prefix
	for range 3 {
		prefix, _ = g.agree(other)
	}
	f.waitUntil("the sidecar of the connected follower has the last version", f.servesPrefix(f.followerSidecars[0], prefix))
	if !f.servesPrefix(f.followerSidecars[1], lastPrefix)() {
		t.Errorf("sidecar of the disconnected follower: the call on %s failed, want it answered", lastPrefix)
	}
	f.cut(1, false)
	f.waitForVersion("all sidecars have the version that was agreed on during the disconnection", prefix)

	for _, stop := range f.stops {
		stop()
	}
	prefix, _ = g.agree(other)
	for k := range f.stops {
		f.stops[k] = g.start("harehook-xds", f.configFiles[k])
	}
	f.waitForVersion("all sidecars have the version that was agreed on while both followers were stopped", prefix)
	f.waitUntil("no follower is stale", func() bool { return !f.report(0).Stale && !f.report(1).Stale })
}
