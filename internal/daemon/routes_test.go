package daemon

import (
	"fmt"
	"strings"
	"testing"

	"harehook.dev/harehook/xds"
)

// A configuration with more routes than a sidecar accepts must be rejected with the line and the reason, both by the
// command check and at startup.
func TestTooManyRoutesAreRejected(t *testing.T) {
	in := newInstallation(t, "n-1", "s-1")
	var routes strings.Builder
	for r := range xds.MaxRoutes - 2 { // in addition to the two routes of every configuration in these tests
		fmt.Fprintf(&routes, "\n  route \"r-%04d\" { prefix \"/%04d\"; limit-ms 2000; }", r, r)
	}
	in.configure(routes.String())
	if out, code := in.runCtl("check", in.folder+"/conductor.kdl"); code != 0 {
		t.Errorf("check with %d routes: got exit code %d and %q, want 0", xds.MaxRoutes, code, out)
	}
	in.configure(routes.String() + "\n  route \"last\" { prefix \"/last\"; limit-ms 2000; }")
	const want = `line 1027: route "last" exceeds the limit: a sidecar accepts at most 1024 routes`
	if out, code := in.runCtl("check", in.folder+"/conductor.kdl"); code != 1 || !strings.Contains(out, want) {
		t.Errorf("check with %d routes: got exit code %d and %q, want 1 and %q", xds.MaxRoutes+1, code, out, want)
	}
	in.start("harehook-xds", "conductor.kdl")
	in.waitUntil("the program reports the error at startup", func() bool { return strings.Contains(in.logs["conductor.kdl"].String(), want) })
}
