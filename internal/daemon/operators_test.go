package daemon

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
)

// A proposal must be rejected with the reason if it removes the protection of a mutating route, leaves no ready node,
// refers to a node that is not listed, or lacks a route. If two operators change the same version, the second must not
// overwrite the change of the first unnoticed. A proposal that is repeated because its response was lost must take
// effect only once. Rollback and restore create versions with new numbers.
func TestProposalsAreCheckedAndDoNotOverwriteEachOther(t *testing.T) {
	g := newTestGroup(t, 3)
	g.leader()
	firstPrefix, _ := g.agree(0)
	for name, c := range map[string]struct{ text, want string }{
		"protection removed": {`agreed { route "quote" { prefix "/q"; limit-ms 9; }; route "issue" { prefix "/issue"; limit-ms 9; }; }`, "its calls must not be repeated"},
		"no ready node":      {`agreed { route "quote" { prefix "/q"; limit-ms 9; }; route "issue" { prefix "/i"; limit-ms 9; mutating; }; override "n-1" state="gone"; override "n-2" state="draining"; override "s-1" state="gone"; }`, "no ready node would remain"},
		"unknown node":       {`agreed { route "quote" { prefix "/q"; limit-ms 9; }; route "issue" { prefix "/i"; limit-ms 9; mutating; }; override "n-9" state="gone"; }`, `"n-9" of an override is not listed`},
		"missing route":      {`agreed { route "issue" { prefix "/i"; limit-ms 9; mutating; }; }`, `route "quote" is missing`},
		"line of a mistake":  {"agreed {\n route \"quote\" { prefix \"q\"; limit-ms 9; }\n}", "line 2: prefix of route \"quote\" must begin with \"/\""},
	} {
		t.Run(name, func(t *testing.T) {
			out, code := g.runCtlAt(1, "propose", g.write("bad.kdl", c.text))
			if code != 1 || !strings.Contains(out, c.want) {
				t.Errorf("propose of %q: got exit code %d and %q, want 1 and %q", c.text, code, out, c.want)
			}
		})
	}
	out, _ := g.runCtlAt(0, "history", "-o", "json")
	base := out[strings.Index(out, `"number": `)+10:]
	base, _, _ = strings.Cut(base, ",")
	file := filepath.Join(g.folder, "agreed-1.kdl")
	if out, code := g.runCtlAt(1, "propose", file, "--base", base, "--id", "once", "--why", "one"); code != 0 {
		t.Fatalf("first proposal with the base %s: got exit code %d and %q, want 0", base, code, out)
	}
	repeatedOut, code := g.runCtlAt(2, "propose", file, "--base", base, "--id", "once", "--why", "one") // as after a lost response
	if code != 0 {
		t.Errorf("repeated proposal: got exit code %d and %q, want 0", code, repeatedOut)
	}
	if out, code := g.runCtlAt(2, "propose", file, "--base", base, "--why", "another"); code != 1 || !strings.Contains(out, "look at what came between") {
		t.Errorf("proposal on a replaced version: got exit code %d and %q, want 1 and the reason", code, out)
	}
	secondPrefix, _ := g.agree(2)
	snapshotPath := filepath.Join(g.folder, "saved.json")
	if out, code := g.runCtlAt(0, "snapshot", "save", snapshotPath); code != 0 || out != "3 versions\n" {
		t.Errorf("snapshot save: got exit code %d and %q, want 0 and 3 versions", code, out)
	}
	if out, code := g.runCtlAt(1, "rollback", base); code != 0 {
		t.Errorf("rollback %s: got exit code %d and %q, want 0", base, code, out)
	}
	if out, _ := g.runCtlAt(2, "config"); !strings.Contains(out, firstPrefix+"\"") {
		t.Errorf("config after the rollback: got %q, want %s", out, firstPrefix)
	}
	if out, code := g.runCtlAt(1, "snapshot", "restore", snapshotPath); code != 0 {
		t.Errorf("snapshot restore: got exit code %d and %q, want 0", code, out)
	}
	if out, _ := g.runCtlAt(2, "config"); !strings.Contains(out, secondPrefix+"\"") {
		t.Errorf("config after the restore: got %q, want %s", out, secondPrefix)
	}
	if out, code := g.runCtlAt(0, "diff", base, "0"); code != 0 || !strings.Contains(out, "-  route \"quote\"") {
		t.Errorf("diff %s 0: got exit code %d and %q, want 0 and a removed route quote", base, code, out)
	}
}

// Operators change single records in addition to full texts. A change of a record that was changed since it was read
// must be rejected with the current revision, and a change that is invalid at a controller or breaks a rule with the
// reason. A sidecar must receive the agreed records, and a full text without services or tenants must not remove them.
func TestSingleRecordsChangeAlongsideFullTexts(t *testing.T) {
	g := newTestGroup(t, 3)
	g.leader()
	address := g.startGroupSidecar("sidecar", 0, 1, 2)
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
		t.Fatalf("records apply: got exit code %d and %q, want 0", code, out)
	}
	g.waitUntil("the sidecar has the applied route", g.servesPrefix(address, "/records"))
	var revision int
	if n, err := fmt.Sscanf(out, "version %d is in force", &revision); n != 1 {
		t.Fatalf("records apply: got %q, want a version in force: %v", out, err)
	}
	list, code := g.runCtlAt(2, "records", "list", "--service", "pay")
	if code != 0 || !strings.Contains(list, `tenant "one" service="pay" share=0.75`) || !strings.Contains(list, fmt.Sprintf("3 records as of revision %d", revision)) {
		t.Errorf("records list: got exit code %d and %q, want 0, the tenant and 3 records as of revision %d", code, list, revision)
	}
	for name, c := range map[string]struct{ text, want string }{
		"outdated revision":       {`route "quote" revision=1 { prefix "/other"; limit-ms 2000; }`, fmt.Sprintf("route/quote has revision %d, 1 was expected", revision)},
		"advice after a conflict": {`service "pay" revision=0`, `look at them with "records get"`},
		"protection removed":      {`route "issue" { prefix "/issue"; limit-ms 2000; }`, "its calls must not be repeated"},
		"route missing":           {`remove "route/quote"`, `route "quote" is missing`},
		"sum of shares":           {`tenant "two" service="pay" share=0.5`, `the shares of service "pay" sum to 1.25`},
		"referenced record":       {`remove "service/pay"`, "2 records refer to this service"},
		"missing record":          {`remove "tenant/none"`, "it does not exist"},
		"line of a mistake":       {"service \"a\"\nroute \"b\" { prefix \"b\"; }", "line 2: prefix of route \"b\" must begin with \"/\""},
		"node not listed":         {`override "n-9" state="gone"`, `"n-9" of an override is not listed`},
		"missing service":         {`tenant "two" service="none" share=0.5`, `service "none" does not exist`},
	} {
		t.Run(name, func(t *testing.T) {
			out, code := apply(0, c.text)
			if code != 1 || !strings.Contains(out, c.want) {
				t.Errorf("records apply of %q: got exit code %d and %q, want 1 and %q", c.text, code, out, c.want)
			}
		})
	}
	if out, code := apply(2, `remove "tenant/one"`); code != 0 {
		t.Errorf("records apply that removes tenant/one: got exit code %d and %q, want 0", code, out)
	}
	if out, code := g.runCtlAt(0, "records", "get", "tenant/one"); code != 1 || !strings.Contains(out, "tenant/one does not exist") {
		t.Errorf("records get of the removed tenant/one: got exit code %d and %q, want 1", code, out)
	}
	if out, code := g.runCtlAt(1, "rollback", fmt.Sprint(revision)); code != 0 {
		t.Errorf("rollback %d: got exit code %d and %q, want 0", revision, code, out)
	}
	if out, code := g.runCtlAt(0, "records", "get", "tenant/one"); code != 0 || !strings.Contains(out, `tenant "one" service="pay" share=0.75`) {
		t.Errorf("records get after the rollback: got exit code %d and %q, want 0 and tenant/one", code, out)
	}
	g.agree(1) // a full text that contains only routes
	if out, code := g.runCtlAt(2, "config"); code != 0 || !strings.Contains(out, `tenant "one"`) || !strings.Contains(out, `service "pay"`) {
		t.Errorf("config after a full text without services and tenants: got exit code %d and %q, want 0 and both kept", code, out)
	}
}
