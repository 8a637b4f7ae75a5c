package daemon

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// The leader stops immediately after a version was agreed on. All sidecars must receive that version, and the remaining
// members must agree on the next one within the time stated in docs/raft.md. Then a minority is disconnected: it must
// keep serving the last agreed version, report that it may be stale, and agree on nothing. After the partition all
// sidecars must have the version that the majority agreed on.
func TestGroupRecoversFromLeaderLossAndPartition(t *testing.T) {
	g := newTestGroup(t, 3)
	lead := g.leader()
	others := slices.DeleteFunc([]int{0, 1, 2}, func(k int) bool { return k == lead })
	leaderSidecar := g.startGroupSidecar("sidecar-1", lead, others[0], others[1])
	otherSidecar := g.startGroupSidecar("sidecar-2", others[0], others[1])
	g.waitUntil("the sidecars answer", func() bool { return isAnswering(leaderSidecar)() && isAnswering(otherSidecar)() })

	prefix, _ := g.agree(others[1])
	g.stops[lead]()
	start := time.Now()
	g.waitUntil("both sidecars have the agreed version", func() bool { return g.servesPrefix(leaderSidecar, prefix)() && g.servesPrefix(otherSidecar, prefix)() })
	prefix, duration := g.agree(others[0])
	if elapsed := time.Since(start); duration > maxRecovery {
		t.Errorf("time from the loss of the leader to the next agreed version: got %s (agreement took %s), want at most %s",
			elapsed, duration, maxRecovery)
	}
	g.waitUntil("both sidecars have the next version", func() bool { return g.servesPrefix(leaderSidecar, prefix)() && g.servesPrefix(otherSidecar, prefix)() })
	g.stops[lead] = g.start("harehook-xds", configFile(lead))
	g.waitUntil("the restarted member has the agreed version", func() bool {
		out, code := g.runCtlAt(lead, "config")
		return code == 0 && strings.Contains(out, prefix+"\"")
	})

	g.cut(others[0], true)
	g.waitUntil("the disconnected member reports that it has no majority", func() bool { _, code := g.runCtlAt(others[0], "status"); return code == 1 })
	out, code := g.runCtlAt(others[0], "config", "--stale")
	if code != 0 || !strings.Contains(out, "may be stale") || !strings.Contains(out, prefix) {
		t.Errorf("config --stale at the minority: got exit code %d and %q, want 0 and a version that may be stale with %s", code, out, prefix)
	}
	if _, status := call(otherSidecar, prefix, ""); status != http.StatusOK {
		t.Errorf("call at the sidecar of the minority: got status %d, want %d", status, http.StatusOK)
	}
	newerPrefix, _ := g.agree(others[1])
	if _, out, code := g.propose(others[0]); code != exitUnavailable {
		t.Errorf("propose at the minority: got exit code %d and %q, want %d", code, out, exitUnavailable)
	}
	if out, code := g.runCtlAt(others[0], "config"); code != exitUnavailable {
		t.Errorf("config at the minority: got exit code %d and %q, want %d", code, out, exitUnavailable)
	}
	g.checkSidecars()
	g.cut(others[0], false)
	start = time.Now()
	g.waitUntil("both sidecars have the version of the majority", func() bool {
		return g.servesPrefix(otherSidecar, newerPrefix)() && g.servesPrefix(leaderSidecar, newerPrefix)()
	})
	if elapsed := time.Since(start); elapsed > 2*maxRecovery {
		t.Errorf("time from the end of the partition until both sidecars have the version: got %s, want at most %s", elapsed, 2*maxRecovery)
	}
}

// A member that lost its disk is started again under the same number. Because it no longer knows its votes, two leaders
// could be elected in one term: the other members must ignore it, and it must exit with an error that says how to
// replace it. It is then removed; its successor is added as a learner, promoted to a voter, and can lead.
func TestMemberWithALostDiskIsReplaced(t *testing.T) {
	g := newTestGroup(t, 3)
	lead := g.leader()
	g.agree(lead)
	lostMember := (lead + 1) % 3
	g.waitUntil("the leader knows the disk identities of all members", func() bool {
		out, _ := g.runCtlAt(lead, "status", "-o", "json")
		return strings.Count(out[max(0, strings.Index(out, "identities")):], "\": \"") >= 3
	})
	g.stops[lostMember]()
	g.configureController(lostMember, g.groupSection(lostMember, "data-lost", false))
	stop := g.start("harehook-xds", configFile(lostMember))
	g.waitUntil("the member exits and logs how to replace it", func() bool {
		return strings.Contains(g.logs[configFile(lostMember)].String(), "remove the member and add this controller under a new number")
	})
	g.agree(lead)
	stop()
	g.atLeader("members", "remove", fmt.Sprint(lostMember+1))
	// The successor is member 4, with an address of its own.
	g.members = 4
	g.sidecarAddresses = append(g.sidecarAddresses, freeAddress(t))
	g.groupAddresses = append(g.groupAddresses, freeAddress(t))
	g.configureController(3, g.groupSection(3, "data-4", true))
	g.start("harehook-xds", configFile(3))
	g.atLeader("members", "add", "4", g.groupAddresses[3])
	prefix, _ := g.agree(lead)
	g.waitUntil("the successor has the agreed version", func() bool {
		out, code := g.runCtlAt(3, "config", "--stale")
		return code == 0 && strings.Contains(out, prefix+"\"")
	})
	if out := g.atLeader("members", "promote", "4"); strings.Count(out, "voter")+strings.Count(out, "leader  ") < 3 {
		t.Fatalf("members promote: got %q, want at least 3 voters or leaders", out)
	}
	g.atLeader("lead", "4")
	g.agree(3)
}

// Five members are partitioned into two, two and one, so that no part has a majority. No part may agree on a version,
// and sidecars must keep the last agreed one. After the partition the group must agree again within the time stated in
// docs/raft.md.
func TestFiveMembersRecoverFromAPartitionWithoutMajority(t *testing.T) {
	g := newTestGroup(t, 5)
	g.leader()
	address := g.startGroupSidecar("sidecar", 4, 0)
	g.waitUntil("the sidecar answers", isAnswering(address))
	prefix, _ := g.agree(0)
	g.waitUntil("the sidecar has the agreed version", g.servesPrefix(address, prefix))
	partOf := []int{0, 0, 1, 1, 2}
	setPartitioned := func(partitioned bool) {
		for d, forwarder := range g.forwarders {
			if partOf[d.from] != partOf[d.to] {
				forwarder.Cut(partitioned)
			}
		}
	}
	setPartitioned(true)
	for k := range g.members {
		g.waitUntil("the disconnected member reports that it has no majority", func() bool { _, code := g.runCtlAt(k, "status"); return code == 1 })
	}
	if _, out, code := g.propose(2); code != exitUnavailable {
		t.Errorf("propose with two of five members: got exit code %d and %q, want %d", code, out, exitUnavailable)
	}
	if _, status := call(address, prefix, ""); status != http.StatusOK {
		t.Errorf("call at the sidecar of the single member: got status %d, want %d", status, http.StatusOK)
	}
	setPartitioned(false)
	start := time.Now()
	prefix, _ = g.agree(4)
	if elapsed := time.Since(start); elapsed > 2*maxRecovery {
		t.Errorf("time from the end of the partition to the next agreed version: got %s, want at most %s", elapsed, 2*maxRecovery)
	}
	g.waitUntil("the sidecar has the next version", g.servesPrefix(address, prefix))
}
