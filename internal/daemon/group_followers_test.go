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

// followingControllers are controllers that follow a group, each way to a member through a gate.
type followingControllers struct {
	*testGroup
	files []string
	gates [][]*fakeplatform.Forwarder // by follower and member
	stop  []func()
	tills []string // address of each one's sidecar
}

func newFollowingControllers(g *testGroup, count int) *followingControllers {
	f := &followingControllers{testGroup: g}
	for range count {
		k := len(g.sidecarAddresses)
		g.sidecarAddresses = append(g.sidecarAddresses, freeAddress(g.t))
		var gates []*fakeplatform.Forwarder
		var members strings.Builder
		for member := range g.members {
			gate, err := fakeplatform.NewForwarder(g.groupAddresses[member])
			if err != nil {
				g.t.Fatal(err)
			}
			g.t.Cleanup(gate.Close)
			gates = append(gates, gate)
			fmt.Fprintf(&members, "member %q; ", gate.Address())
		}
		g.configureController(k, "follow { "+members.String()+"}")
		f.files = append(f.files, f.rename(k))
		f.gates = append(f.gates, gates)
		f.stop = append(f.stop, g.start("harehook-xds", f.files[len(f.files)-1]))
		f.tills = append(f.tills, g.startGroupSidecar(fmt.Sprintf("till-of-%d", k+1), k))
	}
	return f
}

// rename gives a follower's file a name of its own: followers are told apart by it.
func (f *followingControllers) rename(k int) (file string) {
	file = fmt.Sprintf("c-%d.kdl", k+1)
	text, err := os.ReadFile(filepath.Join(f.folder, file))
	if err != nil {
		f.t.Fatal(err)
	}
	f.write(file, strings.Replace(string(text), `conductor "c"`, fmt.Sprintf(`conductor "follower-%d"`, k+1), 1))
	return file
}

// report asks a follower how it is doing.
func (f *followingControllers) report(k int) (report transport.FollowerReport) {
	f.t.Helper()
	out, _ := f.runCtl("--conductor", f.sidecarAddresses[f.members+k], "-o", "json", "following")
	if err := json.NewDecoder(strings.NewReader(out)).Decode(&report); err != nil {
		f.t.Fatal(out)
	}
	return report
}

// followedMember is the member that a follower follows, -1 if none.
func (f *followingControllers) followedMember(k int) int {
	report := f.report(k)
	for member, gate := range f.gates[k] {
		if gate.Address() == report.Member {
			return member
		}
	}
	return -1
}

func (f *followingControllers) cut(k int, yes bool) {
	for _, gate := range f.gates[k] {
		gate.Cut(yes)
	}
}

// waitAllHold waits until the sidecars of all followers hold a version.
func (f *followingControllers) waitAllHold(what, prefix string) {
	f.t.Helper()
	f.waitUntil(what, func() bool {
		for _, address := range f.tills {
			if !f.holdsPrefix(address, prefix)() {
				return false
			}
		}
		return true
	})
}

// Two controllers follow a group of three. The leader dies with a proposal on its way; a member is cut off from the
// others and its follower moves; a follower is cut off from all and comes back; both are started anew at once. What was
// agreed on reaches the sidecars of both each time, and none goes back to an older version.
func TestFollowersReceiveWhatAGroupAgreesOnThroughFaults(t *testing.T) {
	g := newTestGroup(t, 3)
	lead := g.leader()
	f := newFollowingControllers(g, 2)
	prefix, _ := g.agree(lead)
	f.waitAllHold("what was agreed on", prefix)

	proposed := make(chan struct{})
	go func() { // its outcome is open: the leader dies
		defer close(proposed)
		g.runCtlAt(lead, "propose", filepath.Join(g.folder, "agreed-1.kdl"), "--why", "open")
	}()
	g.stops[lead]()
	<-proposed
	other := (lead + 1) % 3
	prefix, _ = g.agree(other)
	f.waitAllHold("what was agreed on without the leader", prefix)
	g.stops[lead] = g.start("harehook-xds", fmt.Sprintf("c-%d.kdl", lead+1))
	g.waitUntil("it is back and has all", func() bool {
		out, code := g.runCtlAt(lead, "config")
		return code == 0 && strings.Contains(out, prefix+"\"")
	})

	f.waitUntil("a member is followed", func() bool { return f.followedMember(0) >= 0 })
	cut := f.followedMember(0)
	g.cut(cut, true)
	f.waitUntil("the follower of a member that is cut off moves", func() bool {
		member := f.followedMember(0)
		return member >= 0 && member != cut
	})
	prefix, _ = g.agree((cut + 1) % 3)
	f.waitAllHold("what was agreed on without the member that is cut off", prefix)
	g.cut(cut, false)

	f.cut(1, true)
	f.waitUntil("the other follower is stale", func() bool { return f.report(1).Stale })
	last := prefix
	for range 3 {
		prefix, _ = g.agree(other)
	}
	f.waitUntil("the first holds it", f.holdsPrefix(f.tills[0], prefix))
	if !f.holdsPrefix(f.tills[1], last)() {
		t.Error("the follower that is cut off does not go on with what it held")
	}
	f.cut(1, false)
	f.waitAllHold("what was agreed on meanwhile", prefix)

	for _, stop := range f.stop {
		stop()
	}
	prefix, _ = g.agree(other)
	for k := range f.stop {
		f.stop[k] = g.start("harehook-xds", f.files[k])
	}
	f.waitAllHold("what was agreed on while both were down", prefix)
	f.waitUntil("neither is stale", func() bool { return !f.report(0).Stale && !f.report(1).Stale })
}
