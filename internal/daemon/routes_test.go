package daemon

import (
	"fmt"
	"strings"
	"testing"

	"harehook.dev/harehook/xds"
)

// A configuration with more routes than a sidecar takes is refused with the line and the reason, by the check and by the
// start.
func TestTooManyRoutesAreRejected(t *testing.T) {
	in := newInstallation(t, "n-1", "s-1")
	var more strings.Builder
	for r := range xds.MaxRoutes - 2 { // beside the two that every configuration here has
		fmt.Fprintf(&more, "\n  route \"r-%04d\" { prefix \"/%04d\"; limit-ms 2000; }", r, r)
	}
	in.configure(more.String())
	if out, code := in.runCtl("check", in.folder+"/conductor.kdl"); code != 0 {
		t.Errorf("as many routes as may be: exit %d: %s", code, out)
	}
	in.configure(more.String() + "\n  route \"last\" { prefix \"/last\"; limit-ms 2000; }")
	const want = `line 1027: route "last" exceeds the limit: a sidecar accepts at most 1024 routes`
	if out, code := in.runCtl("check", in.folder+"/conductor.kdl"); code != 1 || !strings.Contains(out, want) {
		t.Errorf("check: exit %d: %s", code, out)
	}
	in.start("harehook-xds", "conductor.kdl")
	in.waitUntil("the start is refused", func() bool { return strings.Contains(in.logs["conductor.kdl"].String(), want) })
}
