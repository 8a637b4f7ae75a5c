package daemon

import (
	"path/filepath"
	"strings"
	"testing"
)

// The command check reports the line of each mistake in a configuration and exits with code 1.
func TestCheckReportsLineOfEachMistake(t *testing.T) {
	in := newInstallation(t, "n-1")
	path := in.write("bad.kdl", "conductor \"c\" {\n listen \"nowhere\"\n zone \"north\"\n zone \"north\"\n nodes \"nodes.kdl\"\n route \"a\" { prefix \"/a\"; limit-ms 10; }\n route \"b\" { prefix \"/a/b\"; limit-ms 2000; mutatin; }\n}\n")
	out, code := in.runCtl("check", path)
	for _, want := range []string{"line 2: value in \"listen\" must be an address", "line 4: duplicate zone \"north\"", "line 6: limit-ms of route \"a\" must be at least its slo-ms, 1000, got 10",
		"line 7: unknown key \"mutatin\"", "line 7: route \"b\" is unreachable"} {
		if !strings.Contains(out, want) {
			t.Errorf("check %s: got %q, want it to contain %q", path, out, want)
		}
	}
	if code != 1 {
		t.Errorf("check %s: got exit code %d, want 1", path, code)
	}
	if out, code := in.runCtl("check", filepath.Join(in.folder, "conductor.kdl")); code != 1 || !strings.Contains(out, `zone "south" has no node`) {
		t.Errorf("check with a zone without nodes: got exit code %d and %q, want 1 and the zone", code, out)
	}
	servicePath := in.write("service.kdl", "conductor \"c\" { listen \"127.0.0.1:1\"; zone \"north\"; nodes-from \"127.0.0.1:2\" cluster=\"x\"; route \"a\" { prefix \"/a\"; limit-ms 1000; }; }\n")
	if out, code := in.runCtl("check", servicePath); code != 0 {
		t.Errorf("check with nodes from a service: got exit code %d and %q, want 0", code, out)
	}
	if _, code := in.runCtl("chek"); code != 2 {
		t.Errorf("unknown command chek: got exit code %d, want 2", code)
	}
}
