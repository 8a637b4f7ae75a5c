package daemon

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// The leader dies just after a version was agreed. All sidecars have to get that version, and the rest of the group has to
// agree again within the time that docs/raft.md states. Then a minority is cut off: it goes on with what was agreed, says
// that this may be stale, and agrees on nothing. Once it is back, all hold what the majority agreed on.
func TestGroupRecoversFromALostLeaderAndAPartition(t *testing.T) {
	g := newTestGroup(t, 3)
	lead := g.leader()
	others := slices.DeleteFunc([]int{0, 1, 2}, func(k int) bool { return k == lead })
	atLeader := g.startGroupSidecar("till-1", lead, others[0], others[1])
	atOther := g.startGroupSidecar("till-2", others[0], others[1])
	g.waitUntil("sidecars answer", func() bool { return isAnswering(atLeader)() && isAnswering(atOther)() })

	prefix, _ := g.agree(others[1])
	g.stops[lead]()
	began := time.Now()
	g.waitUntil("both hold what was agreed", func() bool { return g.holdsPrefix(atLeader, prefix)() && g.holdsPrefix(atOther, prefix)() })
	prefix, took := g.agree(others[0])
	if since := time.Since(began); took > maxRecovery {
		t.Errorf("agreed again after %s (%s), %s is stated", took, since, maxRecovery)
	}
	g.waitUntil("both hold the next", func() bool { return g.holdsPrefix(atLeader, prefix)() && g.holdsPrefix(atOther, prefix)() })
	g.stops[lead] = g.start("harehook-xds", configFile(lead))
	g.waitUntil("it is back and has all", func() bool {
		out, code := g.runCtlAt(lead, "config")
		return code == 0 && strings.Contains(out, prefix+"\"")
	})

	g.cut(others[0], true)
	g.waitUntil("it knows that it is cut off", func() bool { _, code := g.runCtlAt(others[0], "status"); return code == 1 })
	out, code := g.runCtlAt(others[0], "config", "--stale")
	if code != 0 || !strings.Contains(out, "may be stale") || !strings.Contains(out, prefix) {
		t.Errorf("exit %d: %s", code, out)
	}
	if _, status := call(atOther, prefix, ""); status != http.StatusOK {
		t.Errorf("the minority's sidecar answers %d", status)
	}
	newer, _ := g.agree(others[1])
	if _, out, code := g.propose(others[0]); code != exitUnavailable {
		t.Errorf("a member without a majority agreed: exit %d, %s", code, out)
	}
	if out, code := g.runCtlAt(others[0], "config"); code != exitUnavailable {
		t.Errorf("a member without a majority told what is fresh: exit %d, %s", code, out)
	}
	g.checkSidecars()
	g.cut(others[0], false)
	began = time.Now()
	g.waitUntil("all hold what the others agreed on", func() bool { return g.holdsPrefix(atOther, newer)() && g.holdsPrefix(atLeader, newer)() })
	if since := time.Since(began); since > 2*maxRecovery {
		t.Errorf("held by all %s after the cut, %s is stated", since, 2*maxRecovery)
	}
}

// A member's disk is lost and the member is started again under the same number. It may have forgotten a vote, with which
// two leaders could be elected in one term: the others must not listen to it, and it has to end and say what to do. It is
// removed; its successor is added as a learner, then given a vote, and can lead.
func TestMemberWithALostDiskIsReplaced(t *testing.T) {
	g := newTestGroup(t, 3)
	lead := g.leader()
	g.agree(lead)
	lost := (lead + 1) % 3
	g.waitUntil("all disks are known", func() bool {
		out, _ := g.runCtlAt(lead, "status", "-o", "json")
		return strings.Count(out[max(0, strings.Index(out, "identities")):], "\": \"") >= 3
	})
	g.stops[lost]()
	g.configureController(lost, g.memberText(lost, "data-lost", false))
	stop := g.start("harehook-xds", configFile(lost))
	g.waitUntil("it ends, and says why", func() bool {
		return strings.Contains(g.logs[configFile(lost)].String(), "remove it and add this one under a new number")
	})
	g.agree(lead)
	stop()
	g.atLeader("members", "remove", fmt.Sprint(lost+1))
	// The successor is member 4, at an address of its own.
	g.members = 4
	g.sidecarAddresses = append(g.sidecarAddresses, freeAddress(t))
	g.groupAddresses = append(g.groupAddresses, freeAddress(t))
	g.configureController(3, g.memberText(3, "data-4", true))
	g.start("harehook-xds", configFile(3))
	g.atLeader("members", "add", "4", g.groupAddresses[3])
	prefix, _ := g.agree(lead)
	g.waitUntil("the successor has all", func() bool {
		out, code := g.runCtlAt(3, "config", "--stale")
		return code == 0 && strings.Contains(out, prefix+"\"")
	})
	if out := g.atLeader("members", "promote", "4"); strings.Count(out, "voter")+strings.Count(out, "leader  ") < 3 {
		t.Fatal(out)
	}
	g.atLeader("lead", "4")
	g.agree(3)
}

// Five members are cut into two, two and one, so that no part has a majority. No part may agree on anything, and sidecars
// have to go on with what was agreed. Once the cuts end, the group agrees again within the time stated.
func TestFiveMembersRecoverFromAPartitionWithoutMajority(t *testing.T) {
	g := newTestGroup(t, 5)
	g.leader()
	address := g.startGroupSidecar("till", 4, 0)
	g.waitUntil("the sidecar answers", isAnswering(address))
	prefix, _ := g.agree(0)
	g.waitUntil("it holds what was agreed", g.holdsPrefix(address, prefix))
	part := []int{0, 0, 1, 1, 2}
	between := func(yes bool) {
		for way, gate := range g.gates {
			if part[way.from] != part[way.to] {
				gate.Cut(yes)
			}
		}
	}
	between(true)
	for k := range g.members {
		g.waitUntil("it knows that it is cut off", func() bool { _, code := g.runCtlAt(k, "status"); return code == 1 })
	}
	if _, out, code := g.propose(2); code != exitUnavailable {
		t.Errorf("two of five agreed: exit %d, %s", code, out)
	}
	if _, status := call(address, prefix, ""); status != http.StatusOK {
		t.Errorf("the sidecar of the one alone answers %d", status)
	}
	between(false)
	began := time.Now()
	prefix, _ = g.agree(4)
	if since := time.Since(began); since > 2*maxRecovery {
		t.Errorf("agreed again after %s", since)
	}
	g.waitUntil("it holds the next", g.holdsPrefix(address, prefix))
}
