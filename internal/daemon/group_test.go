package daemon

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
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

// The leader dies just after a version was agreed: all sidecars get that version, and the rest agree again within the
// time stated. A minority that is cut off goes on with what was agreed, says so and agrees on nothing.
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
	g.stops[lead] = g.start("harehook-xds", fmt.Sprintf("c-%d.kdl", lead+1))
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

// What must not be agreed is refused before it is proposed, with the reason; two operators who change the same version
// do not overwrite each other; roll-back and restore go forward under new numbers.
func TestProposalsOfOperatorsAreCheckedAndDoNotOverwriteOneAnother(t *testing.T) {
	g := newTestGroup(t, 3)
	g.leader()
	first, _ := g.agree(0)
	for name, c := range map[string]struct{ text, want string }{
		"mutating lost": {`agreed { route "quote" { prefix "/q"; limit-ms 9; }; route "issue" { prefix "/issue"; limit-ms 9; }; }`, "would lose their protection"},
		"no node":       {`agreed { route "quote" { prefix "/q"; limit-ms 9; }; route "issue" { prefix "/i"; limit-ms 9; mutating; }; override "n-1" state="gone"; override "n-2" state="draining"; override "s-1" state="gone"; }`, "no node that takes calls"},
		"unknown node":  {`agreed { route "quote" { prefix "/q"; limit-ms 9; }; route "issue" { prefix "/i"; limit-ms 9; mutating; }; override "n-9" state="gone"; }`, `"n-9" of an override is not listed`},
		"missing route": {`agreed { route "issue" { prefix "/i"; limit-ms 9; mutating; }; }`, `route "quote" is missing`},
		"its line":      {"agreed {\n route \"quote\" { prefix \"q\"; limit-ms 9; }\n}", "line 2: route \"quote\" has no prefix"},
	} {
		out, code := g.runCtlAt(1, "propose", g.write("bad.kdl", c.text))
		if code != 1 || !strings.Contains(out, c.want) {
			t.Errorf("%s: exit %d, %s", name, code, out)
		}
	}
	out, _ := g.runCtlAt(0, "history", "-o", "json")
	base := out[strings.Index(out, `"number": `)+10:]
	base, _, _ = strings.Cut(base, ",")
	file := filepath.Join(g.folder, "agreed-1.kdl")
	if out, code := g.runCtlAt(1, "propose", file, "--base", base, "--id", "once", "--why", "one"); code != 0 {
		t.Fatalf("exit %d: %s", code, out)
	}
	again, code := g.runCtlAt(2, "propose", file, "--base", base, "--id", "once", "--why", "one") // its answer was lost
	if code != 0 {
		t.Errorf("a repeat: exit %d, %s", code, again)
	}
	if out, code := g.runCtlAt(2, "propose", file, "--base", base, "--why", "another"); code != 1 || !strings.Contains(out, "look at what came between") {
		t.Errorf("over another's change: exit %d, %s", code, out)
	}
	second, _ := g.agree(2)
	saved := filepath.Join(g.folder, "saved.json")
	if out, code := g.runCtlAt(0, "snapshot", "save", saved); code != 0 || out != "3 versions\n" {
		t.Errorf("exit %d: %s", code, out)
	}
	if out, code := g.runCtlAt(1, "rollback", base); code != 0 {
		t.Errorf("exit %d: %s", code, out)
	}
	if out, _ := g.runCtlAt(2, "config"); !strings.Contains(out, first+"\"") {
		t.Errorf("after the roll-back: %s", out)
	}
	if out, code := g.runCtlAt(1, "snapshot", "restore", saved); code != 0 {
		t.Errorf("exit %d: %s", code, out)
	}
	if out, _ := g.runCtlAt(2, "config"); !strings.Contains(out, second+"\"") {
		t.Errorf("after the restore: %s", out)
	}
	if out, code := g.runCtlAt(0, "diff", base, "0"); code != 0 || !strings.Contains(out, "-  route \"quote\"") {
		t.Errorf("exit %d: %s", code, out)
	}
}

// Records are changed one by one beside whole texts: what changed since it was read is refused with its revision, what
// does not fit a controller or breaks a rule is refused with the reason, and a sidecar holds what was agreed.
func TestRecordsAreChangedOneByOneBesideFullTexts(t *testing.T) {
	g := newTestGroup(t, 3)
	g.leader()
	address := g.startGroupSidecar("till", 0, 1, 2)
	g.waitUntil("the sidecar answers", isAnswering(address))
	g.agree(0)
	apply := func(k int, text string) (string, int) {
		return g.runCtlAt(k, "records", "apply", g.write("records.kdl", text), "--why", "a test")
	}
	out, code := apply(1, `service "pay" { zones "north"; }
tenant "one" service="pay" share=0.75
route "quote" service="pay" { prefix "/records"; limit-ms 2000; }
`)
	if code != 0 {
		t.Fatalf("exit %d: %s", code, out)
	}
	g.waitUntil("the sidecar holds it", g.holdsPrefix(address, "/records"))
	var revision int
	if n, err := fmt.Sscanf(out, "version %d is in force", &revision); n != 1 {
		t.Fatalf("%s: %v", out, err)
	}
	list, code := g.runCtlAt(2, "records", "list", "--service", "pay")
	if code != 0 || !strings.Contains(list, `tenant "one" service="pay" share=0.75`) || !strings.Contains(list, fmt.Sprintf("3 records as of revision %d", revision)) {
		t.Errorf("exit %d: %s", code, list)
	}
	for name, c := range map[string]struct{ text, want string }{
		"changed since":    {`route "quote" revision=1 { prefix "/other"; limit-ms 2000; }`, fmt.Sprintf("route/quote has revision %d, 1 was expected", revision)},
		"what to do":       {`service "pay" revision=0`, `look at them with "records get"`},
		"mutating lost":    {`route "issue" { prefix "/issue"; limit-ms 2000; }`, "would lose their protection"},
		"route missing":    {`remove "route/quote"`, `route "quote" is missing`},
		"shares":           {`tenant "two" service="pay" share=0.5`, `the shares of service "pay" sum to 1.25`},
		"referred to":      {`remove "service/pay"`, "2 records refer to this service"},
		"nothing there":    {`remove "tenant/none"`, "it does not exist"},
		"its line":         {"service \"a\"\nroute \"b\" { prefix \"b\"; }", "line 2: route \"b\" has no prefix"},
		"node not listed":  {`override "n-9" state="gone"`, `"n-9" of an override is not listed`},
		"service not held": {`tenant "two" service="none" share=0.5`, `service "none" does not exist`},
	} {
		if out, code := apply(0, c.text); code != 1 || !strings.Contains(out, c.want) {
			t.Errorf("%s: exit %d, %s, want %q", name, code, out, c.want)
		}
	}
	if out, code := apply(2, `remove "tenant/one"`); code != 0 {
		t.Errorf("exit %d: %s", code, out)
	}
	if out, code := g.runCtlAt(0, "records", "get", "tenant/one"); code != 1 || !strings.Contains(out, "tenant/one does not exist") {
		t.Errorf("exit %d: %s", code, out)
	}
	if out, code := g.runCtlAt(1, "rollback", fmt.Sprint(revision)); code != 0 {
		t.Errorf("exit %d: %s", code, out)
	}
	if out, code := g.runCtlAt(0, "records", "get", "tenant/one"); code != 0 || !strings.Contains(out, `tenant "one" service="pay" share=0.75`) {
		t.Errorf("exit %d: %s", code, out)
	}
	g.agree(1) // a text of routes alone
	if out, code := g.runCtlAt(2, "config"); code != 0 || !strings.Contains(out, `tenant "one"`) || !strings.Contains(out, `service "pay"`) {
		t.Errorf("services and tenants after a text that names none: exit %d: %s", code, out)
	}
}

// A member whose disk was lost under the same number is not listened to: it may have forgotten a vote. It is removed and
// its successor is added as a learner, then given a vote.
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
	stop := g.start("harehook-xds", fmt.Sprintf("c-%d.kdl", lost+1))
	g.waitUntil("it ends, and says why", func() bool {
		return strings.Contains(g.logs[fmt.Sprintf("c-%d.kdl", lost+1)].String(), "remove it and add this one under a new number")
	})
	g.agree(lead)
	stop()
	g.atLeader("members", "remove", fmt.Sprint(lost+1))
	// The successor is member 4, at an address of its own.
	g.members = 4
	g.sidecarAddresses, g.groupAddresses = append(g.sidecarAddresses, freeAddress(t)), append(g.groupAddresses, freeAddress(t))
	g.configureController(3, g.memberText(3, "data-4", true))
	g.start("harehook-xds", "c-4.kdl")
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

// Five are cut into two, two and one: no part agrees on anything, all sidecars go on with what was agreed, and once the
// cuts end they agree again within the time stated.
func TestFiveMembersRecoverFromAPartitionWithoutMajority(t *testing.T) {
	g := newTestGroup(t, 5)
	g.leader()
	address := g.startGroupSidecar("till", 4, 0)
	g.waitUntil("the sidecar answers", isAnswering(address))
	prefix, _ := g.agree(0)
	g.waitUntil("it holds what was agreed", g.holdsPrefix(address, prefix))
	part := []int{0, 0, 1, 1, 2}
	between := func(yes bool) {
		for pair, gate := range g.gates {
			if part[pair[0]] != part[pair[1]] {
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
