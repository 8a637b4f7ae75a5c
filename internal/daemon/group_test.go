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

// recovery is the time within which a group has a leader again and takes proposals, as docs/raft.md states it.
const recovery = 5 * time.Second

// group are controllers that agree, each way between two of them through a gate.
type group struct {
	*installation
	n        int
	serve    []string // where they take sidecars
	listen   []string // where members and operators reach them
	gates    map[[2]int]*fakeplatform.Forwarder
	stops    []func()
	texts    map[uint64]string // of each agreed version that any sidecar held
	newest   map[string]uint64 // by sidecar
	tills    []string
	versions int
}

func newGroup(t *testing.T, n int) *group {
	g := &group{installation: setUp(t, "n-1", "n-2", "s-1"), n: n, gates: map[[2]int]*fakeplatform.Forwarder{}, texts: map[uint64]string{},
		newest: map[string]uint64{}, stops: make([]func(), n)}
	for range n {
		g.serve, g.listen = append(g.serve, free(t)), append(g.listen, free(t))
	}
	for a := range n {
		for b := range n {
			if a != b {
				gate, err := fakeplatform.NewForwarder(g.listen[b])
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(gate.Close)
				g.gates[[2]int{a, b}] = gate
			}
		}
	}
	for k := range n {
		g.conductor(k, g.member(k, fmt.Sprintf("data-%d", k+1), false))
		g.stops[k] = g.start("harehook-xds", fmt.Sprintf("c-%d.kdl", k+1))
	}
	return g
}

// member is a controller's part in the group, as it is configured.
func (g *group) member(k int, data string, later bool) string {
	var text strings.Builder
	fmt.Fprintf(&text, "group { id %d; listen %q; data %q; ", k+1, g.listen[k], data)
	for other := range g.n {
		address := g.listen[other]
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

func (g *group) conductor(k int, group string) {
	listen := g.installation.listen
	g.installation.listen = g.serve[k]
	g.configure(group)
	g.installation.listen = listen
	path := filepath.Join(g.folder, "conductor.kdl")
	text, err := os.ReadFile(path)
	if err != nil {
		g.t.Fatal(err)
	}
	g.write(fmt.Sprintf("c-%d.kdl", k+1), string(text))
}

// at runs harehookctl against one member.
func (g *group) at(k int, args ...string) (string, int) {
	return g.ctl(append([]string{"--conductor", g.listen[k]}, args...)...)
}

// till starts a sidecar that asks the controllers in an order of its own.
func (g *group) till(name string, conductors ...int) string {
	address := free(g.t)
	var asks strings.Builder
	for _, k := range conductors {
		fmt.Fprintf(&asks, "conductor %q; ", g.serve[k])
	}
	g.write(name+".kdl", fmt.Sprintf("sidecar %q { zone \"north\"; listen %q; %s keep %q; }\n", name, address, asks.String(), name+".held"))
	g.start("harehook-sidecar", name+".kdl")
	g.tills = append(g.tills, name)
	return address
}

// propose has a version agreed that is told by its prefix, and gives that.
func (g *group) propose(k int) (prefix, out string, code int) {
	g.versions++
	prefix = fmt.Sprintf("/v%d", g.versions)
	file := g.write(fmt.Sprintf("agreed-%d.kdl", g.versions), fmt.Sprintf(`agreed {
  route "quote" { prefix %q; limit-ms 2000; }
  route "issue" { prefix "/issue"; limit-ms 2000; mutating; }
}
`, prefix))
	out, code = g.at(k, "propose", file, "--why", prefix)
	return prefix, out, code
}

// agree proposes until it is agreed; it gives how long that took.
func (g *group) agree(k int) (prefix string, took time.Duration) {
	g.t.Helper()
	began := time.Now()
	for {
		prefix, out, code := g.propose(k)
		if code == 0 {
			return prefix, time.Since(began)
		}
		if time.Since(began) > within {
			g.t.Fatalf("not agreed at member %d: exit %d, %s", k+1, code, out)
		}
	}
}

// look reads what the sidecars hold and checks it: one text a version over all of them, and none goes back.
func (g *group) look() {
	g.t.Helper()
	for _, name := range g.tills {
		h := &sidecar.ResourceCache{ID: name}
		if (&sidecar.Store{Path: filepath.Join(g.folder, name+".held")}).Load(h) != nil {
			continue
		}
		version, text := h.RoutingRevision(), ""
		for _, e := range h.Table().Routes {
			if e.Status == 0 {
				text += fmt.Sprint(e.Name, e.Prefix, e.Mutating, e.RoutingRevision, " ")
			}
		}
		if version == 0 {
			continue
		}
		if was, known := g.texts[version]; known && was != text {
			g.t.Errorf("version %d is %q at %s, %q elsewhere", version, text, name, was)
		}
		g.texts[version] = text
		if version < g.newest[name] {
			g.t.Errorf("%s went back from version %d to %d", name, g.newest[name], version)
		}
		g.newest[name] = version
	}
}

// cut has a member reach no other, and none it, or lets it again.
func (g *group) cut(k int, yes bool) {
	for pair, gate := range g.gates {
		if pair[0] == k || pair[1] == k {
			gate.Cut(yes)
		}
	}
}

// atLeader has the leader take a command, which has to succeed. Only a refusal because another member leads by now is
// followed to that one: on a busy machine the lead changes hands.
func (g *group) atLeader(args ...string) (out string) {
	g.t.Helper()
	g.until(strings.Join(args, " ")+" is taken by the leader", func() bool {
		code := 0
		out, code = g.at(g.leader(), args...)
		if code != 0 && !strings.Contains(out, "the leader, which is") {
			g.t.Fatalf("exit %d: %s", code, out)
		}
		return code == 0
	})
	return out
}

func (g *group) leader() int {
	g.t.Helper()
	lead := -1
	g.until("a leader", func() bool {
		for k := range g.n {
			out, code := g.at(k, "status")
			var id, leader int
			if n, _ := fmt.Sscanf(out, "member %d, leader %d,", &id, &leader); code == 0 && n == 2 && leader > 0 {
				if again, _ := g.at(leader-1, "status"); strings.HasPrefix(again, fmt.Sprintf("member %d, leader %d,", leader, leader)) {
					lead = leader - 1
					return true
				}
			}
		}
		return false
	})
	return lead
}

func (g *group) holds(address, prefix string) func() bool {
	return func() bool {
		g.look()
		_, status := ask(address, prefix, "")
		return status == http.StatusOK
	}
}

// The leader dies just after a version was agreed: all sidecars get that version, and the rest agree again within the
// time stated. A minority that is cut off goes on with what was agreed, says so and agrees on nothing.
func TestGroup(t *testing.T) {
	g := newGroup(t, 3)
	lead := g.leader()
	others := slices.DeleteFunc([]int{0, 1, 2}, func(k int) bool { return k == lead })
	atLeader := g.till("till-1", lead, others[0], others[1])
	atOther := g.till("till-2", others[0], others[1])
	g.until("sidecars answer", func() bool { return answers(atLeader)() && answers(atOther)() })

	prefix, _ := g.agree(others[1])
	g.stops[lead]()
	began := time.Now()
	g.until("both hold what was agreed", func() bool { return g.holds(atLeader, prefix)() && g.holds(atOther, prefix)() })
	prefix, took := g.agree(others[0])
	if since := time.Since(began); took > recovery {
		t.Errorf("agreed again after %s (%s), %s is stated", took, since, recovery)
	}
	g.until("both hold the next", func() bool { return g.holds(atLeader, prefix)() && g.holds(atOther, prefix)() })
	g.stops[lead] = g.start("harehook-xds", fmt.Sprintf("c-%d.kdl", lead+1))
	g.until("it is back and has all", func() bool {
		out, code := g.at(lead, "config")
		return code == 0 && strings.Contains(out, prefix+"\"")
	})

	g.cut(others[0], true)
	g.until("it knows that it is cut off", func() bool { _, code := g.at(others[0], "status"); return code == 1 })
	out, code := g.at(others[0], "config", "--stale")
	if code != 0 || !strings.Contains(out, "may be stale") || !strings.Contains(out, prefix) {
		t.Errorf("exit %d: %s", code, out)
	}
	if _, status := ask(atOther, prefix, ""); status != http.StatusOK {
		t.Errorf("the minority's sidecar answers %d", status)
	}
	newer, _ := g.agree(others[1])
	if _, out, code := g.propose(others[0]); code != exitAway {
		t.Errorf("a member without a majority agreed: exit %d, %s", code, out)
	}
	if out, code := g.at(others[0], "config"); code != exitAway {
		t.Errorf("a member without a majority told what is fresh: exit %d, %s", code, out)
	}
	g.look()
	g.cut(others[0], false)
	began = time.Now()
	g.until("all hold what the others agreed on", func() bool { return g.holds(atOther, newer)() && g.holds(atLeader, newer)() })
	if since := time.Since(began); since > 2*recovery {
		t.Errorf("held by all %s after the cut, %s is stated", since, 2*recovery)
	}
}

// What must not be agreed is refused before it is proposed, with the reason; two operators who change the same version
// do not overwrite each other; roll-back and restore go forward under new numbers.
func TestOperators(t *testing.T) {
	g := newGroup(t, 3)
	g.leader()
	first, _ := g.agree(0)
	for name, c := range map[string]struct{ text, want string }{
		"mutating lost": {`agreed { route "quote" { prefix "/q"; limit-ms 9; }; route "issue" { prefix "/issue"; limit-ms 9; }; }`, "would lose their protection"},
		"no node":       {`agreed { route "quote" { prefix "/q"; limit-ms 9; }; route "issue" { prefix "/i"; limit-ms 9; mutating; }; override "n-1" state="gone"; override "n-2" state="draining"; override "s-1" state="gone"; }`, "no node that takes calls"},
		"unknown node":  {`agreed { route "quote" { prefix "/q"; limit-ms 9; }; route "issue" { prefix "/i"; limit-ms 9; mutating; }; override "n-9" state="gone"; }`, `"n-9" of an override is not listed`},
		"missing route": {`agreed { route "issue" { prefix "/i"; limit-ms 9; mutating; }; }`, `route "quote" is missing`},
		"its line":      {"agreed {\n route \"quote\" { prefix \"q\"; limit-ms 9; }\n}", "line 2: route \"quote\" has no prefix"},
	} {
		out, code := g.at(1, "propose", g.write("bad.kdl", c.text))
		if code != 1 || !strings.Contains(out, c.want) {
			t.Errorf("%s: exit %d, %s", name, code, out)
		}
	}
	out, _ := g.at(0, "history", "-o", "json")
	base := out[strings.Index(out, `"number": `)+10:]
	base, _, _ = strings.Cut(base, ",")
	file := filepath.Join(g.folder, "agreed-1.kdl")
	if out, code := g.at(1, "propose", file, "--base", base, "--id", "once", "--why", "one"); code != 0 {
		t.Fatalf("exit %d: %s", code, out)
	}
	again, code := g.at(2, "propose", file, "--base", base, "--id", "once", "--why", "one") // its answer was lost
	if code != 0 {
		t.Errorf("a repeat: exit %d, %s", code, again)
	}
	if out, code := g.at(2, "propose", file, "--base", base, "--why", "another"); code != 1 || !strings.Contains(out, "look at what came between") {
		t.Errorf("over another's change: exit %d, %s", code, out)
	}
	second, _ := g.agree(2)
	saved := filepath.Join(g.folder, "saved.json")
	if out, code := g.at(0, "snapshot", "save", saved); code != 0 || out != "3 versions\n" {
		t.Errorf("exit %d: %s", code, out)
	}
	if out, code := g.at(1, "rollback", base); code != 0 {
		t.Errorf("exit %d: %s", code, out)
	}
	if out, _ := g.at(2, "config"); !strings.Contains(out, first+"\"") {
		t.Errorf("after the roll-back: %s", out)
	}
	if out, code := g.at(1, "snapshot", "restore", saved); code != 0 {
		t.Errorf("exit %d: %s", code, out)
	}
	if out, _ := g.at(2, "config"); !strings.Contains(out, second+"\"") {
		t.Errorf("after the restore: %s", out)
	}
	if out, code := g.at(0, "diff", base, "0"); code != 0 || !strings.Contains(out, "-  route \"quote\"") {
		t.Errorf("exit %d: %s", code, out)
	}
}

// Records are changed one by one beside whole texts: what changed since it was read is refused with its revision, what
// does not fit a controller or breaks a rule is refused with the reason, and a sidecar holds what was agreed.
func TestRecordsOfOperators(t *testing.T) {
	g := newGroup(t, 3)
	g.leader()
	address := g.till("till", 0, 1, 2)
	g.until("the sidecar answers", answers(address))
	g.agree(0)
	apply := func(k int, text string) (string, int) {
		return g.at(k, "records", "apply", g.write("records.kdl", text), "--why", "a test")
	}
	out, code := apply(1, `service "pay" { zones "north"; }
tenant "one" service="pay" share=0.75
route "quote" service="pay" { prefix "/records"; limit-ms 2000; }
`)
	if code != 0 {
		t.Fatalf("exit %d: %s", code, out)
	}
	g.until("the sidecar holds it", g.holds(address, "/records"))
	var revision int
	if n, err := fmt.Sscanf(out, "version %d is in force", &revision); n != 1 {
		t.Fatalf("%s: %v", out, err)
	}
	list, code := g.at(2, "records", "list", "--service", "pay")
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
	if out, code := g.at(0, "records", "get", "tenant/one"); code != 1 || !strings.Contains(out, "tenant/one does not exist") {
		t.Errorf("exit %d: %s", code, out)
	}
	if out, code := g.at(1, "rollback", fmt.Sprint(revision)); code != 0 {
		t.Errorf("exit %d: %s", code, out)
	}
	if out, code := g.at(0, "records", "get", "tenant/one"); code != 0 || !strings.Contains(out, `tenant "one" service="pay" share=0.75`) {
		t.Errorf("exit %d: %s", code, out)
	}
	g.agree(1) // a text of routes alone
	if out, code := g.at(2, "config"); code != 0 || !strings.Contains(out, `tenant "one"`) || !strings.Contains(out, `service "pay"`) {
		t.Errorf("services and tenants after a text that names none: exit %d: %s", code, out)
	}
}

// A member whose disk was lost under the same number is not listened to: it may have forgotten a vote. It is removed and
// its successor is added as a learner, then given a vote.
func TestLostDisk(t *testing.T) {
	g := newGroup(t, 3)
	lead := g.leader()
	g.agree(lead)
	lost := (lead + 1) % 3
	g.until("all disks are known", func() bool {
		out, _ := g.at(lead, "status", "-o", "json")
		return strings.Count(out[max(0, strings.Index(out, "identities")):], "\": \"") >= 3
	})
	g.stops[lost]()
	g.conductor(lost, g.member(lost, "data-lost", false))
	stop := g.start("harehook-xds", fmt.Sprintf("c-%d.kdl", lost+1))
	g.until("it ends, and says why", func() bool {
		return strings.Contains(g.logs[fmt.Sprintf("c-%d.kdl", lost+1)].String(), "remove it and add this one under a new number")
	})
	g.agree(lead)
	stop()
	g.atLeader("members", "remove", fmt.Sprint(lost+1))
	// The successor is member 4, at an address of its own.
	g.n = 4
	g.serve, g.listen = append(g.serve, free(t)), append(g.listen, free(t))
	g.conductor(3, g.member(3, "data-4", true))
	g.start("harehook-xds", "c-4.kdl")
	g.atLeader("members", "add", "4", g.listen[3])
	prefix, _ := g.agree(lead)
	g.until("the successor has all", func() bool {
		out, code := g.at(3, "config", "--stale")
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
func TestFive(t *testing.T) {
	g := newGroup(t, 5)
	g.leader()
	address := g.till("till", 4, 0)
	g.until("the sidecar answers", answers(address))
	prefix, _ := g.agree(0)
	g.until("it holds what was agreed", g.holds(address, prefix))
	part := []int{0, 0, 1, 1, 2}
	between := func(yes bool) {
		for pair, gate := range g.gates {
			if part[pair[0]] != part[pair[1]] {
				gate.Cut(yes)
			}
		}
	}
	between(true)
	for k := range g.n {
		g.until("it knows that it is cut off", func() bool { _, code := g.at(k, "status"); return code == 1 })
	}
	if _, out, code := g.propose(2); code != exitAway {
		t.Errorf("two of five agreed: exit %d, %s", code, out)
	}
	if _, status := ask(address, prefix, ""); status != http.StatusOK {
		t.Errorf("the sidecar of the one alone answers %d", status)
	}
	between(false)
	began := time.Now()
	prefix, _ = g.agree(4)
	if since := time.Since(began); since > 2*recovery {
		t.Errorf("agreed again after %s", since)
	}
	g.until("it holds the next", g.holds(address, prefix))
}
