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

// followingConductors are controllers that follow a group, each way to a member through a gate.
type followingConductors struct {
	*group
	files []string
	gates [][]*fakeplatform.Forwarder // by follower and member
	stop  []func()
	tills []string // address of each one's sidecar
}

func newFollowing(g *group, count int) *followingConductors {
	f := &followingConductors{group: g}
	for range count {
		k := len(g.serve)
		g.serve = append(g.serve, free(g.t))
		var gates []*fakeplatform.Forwarder
		var members strings.Builder
		for member := range g.n {
			gate, err := fakeplatform.NewForwarder(g.listen[member])
			if err != nil {
				g.t.Fatal(err)
			}
			g.t.Cleanup(gate.Close)
			gates = append(gates, gate)
			fmt.Fprintf(&members, "member %q; ", gate.Address())
		}
		g.conductor(k, "follow { "+members.String()+"}")
		f.files = append(f.files, f.rename(k))
		f.gates = append(f.gates, gates)
		f.stop = append(f.stop, g.start("harehook-xds", f.files[len(f.files)-1]))
		f.tills = append(f.tills, g.till(fmt.Sprintf("till-of-%d", k+1), k))
	}
	return f
}

// rename gives a follower's file a name of its own: followers are told apart by it.
func (f *followingConductors) rename(k int) (file string) {
	file = fmt.Sprintf("c-%d.kdl", k+1)
	text, err := os.ReadFile(filepath.Join(f.folder, file))
	if err != nil {
		f.t.Fatal(err)
	}
	f.write(file, strings.Replace(string(text), `conductor "c"`, fmt.Sprintf(`conductor "follower-%d"`, k+1), 1))
	return file
}

// report asks a follower how it is doing.
func (f *followingConductors) report(k int) (report transport.FollowerReport) {
	f.t.Helper()
	out, _ := f.ctl("--conductor", f.serve[f.n+k], "-o", "json", "following")
	if err := json.NewDecoder(strings.NewReader(out)).Decode(&report); err != nil {
		f.t.Fatal(out)
	}
	return report
}

// follows is the member that a follower follows, -1 if none.
func (f *followingConductors) follows(k int) int {
	report := f.report(k)
	for member, gate := range f.gates[k] {
		if gate.Address() == report.Member {
			return member
		}
	}
	return -1
}

func (f *followingConductors) cutOff(k int, yes bool) {
	for _, gate := range f.gates[k] {
		gate.Cut(yes)
	}
}

// allHold waits until the sidecars of all followers hold a version.
func (f *followingConductors) allHold(what, prefix string) {
	f.t.Helper()
	f.until(what, func() bool {
		for _, address := range f.tills {
			if !f.holds(address, prefix)() {
				return false
			}
		}
		return true
	})
}

// Two controllers follow a group of three. The leader dies with a proposal on its way; a member is cut off from the
// others and its follower moves; a follower is cut off from all and comes back; both are started anew at once. What was
// agreed on reaches the sidecars of both each time, and none goes back to an older version.
func TestFollowersOfGroup(t *testing.T) {
	g := newGroup(t, 3)
	lead := g.leader()
	f := newFollowing(g, 2)
	prefix, _ := g.agree(lead)
	f.allHold("what was agreed on", prefix)

	proposed := make(chan struct{})
	go func() { // its outcome is open: the leader dies
		defer close(proposed)
		g.at(lead, "propose", filepath.Join(g.folder, "agreed-1.kdl"), "--why", "open")
	}()
	g.stops[lead]()
	<-proposed
	other := (lead + 1) % 3
	prefix, _ = g.agree(other)
	f.allHold("what was agreed on without the leader", prefix)
	g.stops[lead] = g.start("harehook-xds", fmt.Sprintf("c-%d.kdl", lead+1))
	g.until("it is back and has all", func() bool {
		out, code := g.at(lead, "config")
		return code == 0 && strings.Contains(out, prefix+"\"")
	})

	f.until("a member is followed", func() bool { return f.follows(0) >= 0 })
	cut := f.follows(0)
	g.cut(cut, true)
	f.until("the follower of a member that is cut off moves", func() bool {
		member := f.follows(0)
		return member >= 0 && member != cut
	})
	prefix, _ = g.agree((cut + 1) % 3)
	f.allHold("what was agreed on without the member that is cut off", prefix)
	g.cut(cut, false)

	f.cutOff(1, true)
	f.until("the other follower is stale", func() bool { return f.report(1).Stale })
	last := prefix
	for range 3 {
		prefix, _ = g.agree(other)
	}
	f.until("the first holds it", f.holds(f.tills[0], prefix))
	if !f.holds(f.tills[1], last)() {
		t.Error("the follower that is cut off does not go on with what it held")
	}
	f.cutOff(1, false)
	f.allHold("what was agreed on meanwhile", prefix)

	for _, stop := range f.stop {
		stop()
	}
	prefix, _ = g.agree(other)
	for k := range f.stop {
		f.stop[k] = g.start("harehook-xds", f.files[k])
	}
	f.allHold("what was agreed on while both were down", prefix)
	f.until("neither is stale", func() bool { return !f.report(0).Stale && !f.report(1).Stale })
}
