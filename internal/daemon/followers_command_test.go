package daemon

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"harehook.dev/harehook/configsync"
)

// force is what harehookctl followers tells, asked at a member.
func (g *group) force(member int) (force configsync.Convergence, code int) {
	g.t.Helper()
	out, code := g.at(member, "-o", "json", "followers")
	if err := json.NewDecoder(strings.NewReader(out)).Decode(&force); err != nil {
		g.t.Fatalf("exit %d: %s", code, out)
	}
	return force, code
}

// Operators are shown what is in force at all followers, who refused what, who is stale, and that it is unknown while a
// member does not answer.
func TestFollowersCommand(t *testing.T) {
	g := newGroup(t, 3)
	lead := g.leader()
	f := newFollowing(g, 2)
	prefix, _ := g.agree(lead)
	f.allHold("what was agreed on", prefix)
	g.until("it is in force at both", func() bool {
		force, code := g.force(lead)
		return code == 0 && force.Known && force.Live == 2 && force.ConvergedRevision == force.Revision && len(force.Members) == 3
	})
	if out, code := g.at(lead, "followers"); code != 0 || !strings.Contains(out, "in force everywhere: ") || !strings.Contains(out, "followers: 2 live, 0 behind, 0 stale") {
		t.Errorf("exit %d: %s", code, out)
	}

	f.cutOff(1, true)
	g.until("one is stale", func() bool {
		force, _ := g.force(lead)
		return slices.ContainsFunc(force.Stale, func(one configsync.FollowerStatus) bool { return one.Name == "follower-5" }) && force.Live == 1
	})
	f.cutOff(1, false)

	lost := (lead + 1) % 3
	g.stops[lost]()
	g.until("it is unknown", func() bool {
		out, code := g.at(lead, "followers")
		return code == 1 && strings.Contains(out, "in force everywhere: unknown") &&
			strings.Contains(out, fmt.Sprintf("member %d did not answer", lost+1))
	})
	g.stops[lost] = g.start("harehook-xds", fmt.Sprintf("c-%d.kdl", lost+1))
	g.until("it is known again", func() bool { force, code := g.force(lead); return code == 0 && force.Known && force.Live == 2 })
}
