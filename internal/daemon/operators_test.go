package daemon

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
)

// An operator proposes what would lose protection, leave no node, or name what is not there: it has to be rejected before it
// is proposed, with the reason. Two operators change the same version: the second must not overwrite the first unseen. A
// proposal whose answer was lost is repeated: it counts once. Roll-back and restore go forward under new numbers.
func TestProposalsOfOperatorsAreCheckedAndDoNotOverwriteOneAnother(t *testing.T) {
	g := newTestGroup(t, 3)
	g.leader()
	first, _ := g.agree(0)
	for name, c := range map[string]struct{ text, want string }{
		"mutating lost": {`agreed { route "quote" { prefix "/q"; limit-ms 9; }; route "issue" { prefix "/issue"; limit-ms 9; }; }`, "its calls must not be repeated"},
		"no node":       {`agreed { route "quote" { prefix "/q"; limit-ms 9; }; route "issue" { prefix "/i"; limit-ms 9; mutating; }; override "n-1" state="gone"; override "n-2" state="draining"; override "s-1" state="gone"; }`, "no ready node would remain"},
		"unknown node":  {`agreed { route "quote" { prefix "/q"; limit-ms 9; }; route "issue" { prefix "/i"; limit-ms 9; mutating; }; override "n-9" state="gone"; }`, `"n-9" of an override is not listed`},
		"missing route": {`agreed { route "issue" { prefix "/i"; limit-ms 9; mutating; }; }`, `route "quote" is missing`},
		"its line":      {"agreed {\n route \"quote\" { prefix \"q\"; limit-ms 9; }\n}", "line 2: prefix of route \"quote\" must begin with \"/\""},
	} {
		t.Run(name, func(t *testing.T) {
			out, code := g.runCtlAt(1, "propose", g.write("bad.kdl", c.text))
			if code != 1 || !strings.Contains(out, c.want) {
				t.Errorf("exit %d, %s, want %q", code, out, c.want)
			}
		})
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

// Operators change records one by one beside full texts. What was changed since it was read has to be rejected with its
// revision, what does not fit a controller or breaks a rule with the reason; a sidecar holds what was agreed, and a text
// that names no services or tenants leaves them as they are.
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
		"mutating lost":    {`route "issue" { prefix "/issue"; limit-ms 2000; }`, "its calls must not be repeated"},
		"route missing":    {`remove "route/quote"`, `route "quote" is missing`},
		"shares":           {`tenant "two" service="pay" share=0.5`, `the shares of service "pay" sum to 1.25`},
		"referred to":      {`remove "service/pay"`, "2 records refer to this service"},
		"nothing there":    {`remove "tenant/none"`, "it does not exist"},
		"its line":         {"service \"a\"\nroute \"b\" { prefix \"b\"; }", "line 2: prefix of route \"b\" must begin with \"/\""},
		"node not listed":  {`override "n-9" state="gone"`, `"n-9" of an override is not listed`},
		"service not held": {`tenant "two" service="none" share=0.5`, `service "none" does not exist`},
	} {
		t.Run(name, func(t *testing.T) {
			out, code := apply(0, c.text)
			if code != 1 || !strings.Contains(out, c.want) {
				t.Errorf("exit %d, %s, want %q", code, out, c.want)
			}
		})
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
