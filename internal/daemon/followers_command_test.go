package daemon

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"harehook.dev/harehook/configsync"
)

// convergence returns the output of harehookctl followers at a member.
func (g *testGroup) convergence(member int) (force configsync.Convergence, code int) {
	g.t.Helper()
	out, code := g.runCtlAt(member, "-o", "json", "followers")
	if err := json.NewDecoder(strings.NewReader(out)).Decode(&force); err != nil {
		g.t.Fatalf("followers: got exit code %d and %q, want JSON: %v", code, out, err)
	}
	return force, code
}

// The command followers shows the revision that all followers have accepted and the followers that are stale. While a
// member does not answer, it must show that the revision is unknown instead of a guess.
func TestFollowersCommandShowsConvergence(t *testing.T) {
	g := newTestGroup(t, 3)
	lead := g.leader()
	f := newFollowingControllers(g, 2)
	prefix, _ := g.agree(lead)
	f.waitAllHold("both followers have the agreed version", prefix)
	g.waitUntil("both followers have the current revision", func() bool {
		force, code := g.convergence(lead)
		return code == 0 && force.Known && force.Live == 2 && force.ConvergedRevision == force.Revision && len(force.Members) == 3
	})
	if out, code := g.runCtlAt(lead, "followers"); code != 0 || !strings.Contains(out, "in force everywhere: ") || !strings.Contains(out, "followers: 2 live, 0 behind, 0 stale") {
		t.Errorf("followers: got exit code %d and %q, want 0 and 2 live followers", code, out)
	}

	f.cut(1, true)
	g.waitUntil("the disconnected follower is stale", func() bool {
		force, _ := g.convergence(lead)
		return slices.ContainsFunc(force.Stale, func(one configsync.FollowerStatus) bool { return one.Name == "follower-5" }) && force.Live == 1
	})
	f.cut(1, false)

	lost := (lead + 1) % 3
	g.stops[lost]()
	g.waitUntil("the revision is unknown", func() bool {
		out, code := g.runCtlAt(lead, "followers")
		return code == 1 && strings.Contains(out, "in force everywhere: unknown") &&
			strings.Contains(out, fmt.Sprintf("member %d did not answer", lost+1))
	})
	g.stops[lost] = g.start("harehook-xds", fmt.Sprintf("c-%d.kdl", lost+1))
	g.waitUntil("the revision is known again", func() bool { force, code := g.convergence(lead); return code == 0 && force.Known && force.Live == 2 })
}
