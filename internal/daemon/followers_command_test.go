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
func (g *testGroup) convergence(member int) (report configsync.Convergence, code int) {
	g.t.Helper()
	out, code := g.runCtlAt(member, "-o", "json", "followers")
	if err := json.NewDecoder(strings.NewReader(out)).Decode(&report); err != nil {
		g.t.Fatalf("followers: got exit code %d and %q, want JSON: %v", code, out, err)
	}
	return report, code
}

// The command followers shows the revision that all followers have accepted and the followers that are stale. While a
// member does not answer, it must show that the revision is unknown instead of a guess.
func TestFollowersCommandShowsConvergence(t *testing.T) {
	g := newTestGroup(t, 3)
	lead := g.leader()
	f := newFollowingControllers(g, 2)
	prefix, _ := g.agree(lead)
	f.waitForVersion("both followers have the agreed version", prefix)
	g.waitUntil("both followers have the current revision", func() bool {
		report, code := g.convergence(lead)
		return code == 0 && report.Known && report.Live == 2 && report.ConvergedRevision == report.Revision && len(report.Members) == 3
	})
	if out, code := g.runCtlAt(lead, "followers"); code != 0 || !strings.Contains(out, "in force everywhere: ") || !strings.Contains(out, "followers: 2 live, 0 behind, 0 stale") {
		t.Errorf("followers: got exit code %d and %q, want 0 and 2 live followers", code, out)
	}

	f.cut(1, true)
	g.waitUntil("the disconnected follower is stale", func() bool {
		report, _ := g.convergence(lead)
		return slices.ContainsFunc(report.Stale, func(status configsync.FollowerStatus) bool { return status.Name == "follower-5" }) && report.Live == 1
	})
	f.cut(1, false)

	stoppedMember := (lead + 1) % 3
	g.stops[stoppedMember]()
	g.waitUntil("the revision is unknown", func() bool {
		out, code := g.runCtlAt(lead, "followers")
		return code == 1 && strings.Contains(out, "in force everywhere: unknown") &&
			strings.Contains(out, fmt.Sprintf("member %d did not answer", stoppedMember+1))
	})
	g.stops[stoppedMember] = g.start("harehook-xds", fmt.Sprintf("c-%d.kdl", stoppedMember+1))
	g.waitUntil("the revision is known again", func() bool { report, code := g.convergence(lead); return code == 0 && report.Known && report.Live == 2 })
}
