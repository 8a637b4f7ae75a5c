package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"harehook.dev/harehook/records"
)

func withThirdRoute(spec any) map[records.Key]any {
	return map[records.Key]any{{Kind: records.KindRoute, Name: "third"}: spec}
}

const thirdConfigured = `; route "third" { prefix "/third"; limit-ms 2000; }`

// The newest route is removed while its controller is away. The controller's routes are then of a higher number than the
// sidecar holds, which takes them; so it does when another route changes.
func TestSidecarAcceptsTheRemovalOfTheNewestRoute(t *testing.T) {
	in := newInstallation(t, "n-1", "n-2")
	m := newTestMember(t, nil)
	follow := fmt.Sprintf("follow { member %q; }", m.address)
	m.set(twoRoutes("/v1"))
	created := m.set(withThirdRoute(records.RouteSpec{Prefix: "/third", TimeLimitMS: 2000}))
	in.configure(follow + thirdConfigured)
	stop := in.start("harehook-xds", "conductor.kdl")
	address, _ := in.startSidecar("till", "north", "delta")
	in.waitUntil("the newest route is held", func() bool { return in.heldRouteVersion("till") == created && in.isSynced(1) })

	stop()
	removed := m.set(withThirdRoute(nil))
	in.configure(follow)
	in.start("harehook-xds", "conductor.kdl")
	in.waitUntil("the routes that are left are held", func() bool { return in.heldRouteVersion("till") == removed })
	if _, status := call(address, "/third", ""); status != http.StatusNotFound {
		t.Errorf("the removed route: status %d", status)
	}
	changed := m.set(twoRoutes("/v2"))
	in.waitUntil("the next change is held", func() bool {
		_, status := call(address, "/v2", "")
		return status == http.StatusOK && in.heldRouteVersion("till") == changed && in.isSynced(1)
	})
	if log := in.logs["conductor.kdl"].String(); strings.Contains(log, "version refused") {
		t.Errorf("a sidecar refused:\n%s", log)
	}
}

// A controller of a scope without a route goes by its own routes, also where routes were there once.
func TestOwnRoutesStayWhereAgreedOnesWent(t *testing.T) {
	in := newInstallation(t, "n-1", "n-2")
	m := newTestMember(t, nil)
	m.set(withThirdRoute(records.RouteSpec{Prefix: "/third", TimeLimitMS: 2000}))
	m.set(withThirdRoute(nil))
	in.configure(fmt.Sprintf("follow { member %q; }", m.address))
	in.start("harehook-xds", "conductor.kdl")
	address, _ := in.startSidecar("till", "north", "delta")
	in.waitUntil("the revision is accepted", func() bool {
		leases := m.service.Status().Leases
		return len(leases) == 1 && leases[0].Accepted == m.Revision()
	})
	last := m.set(overrideRecord("n-1", records.StateGone))
	in.waitUntil("the override counts", func() bool {
		return strings.Contains(in.logs["conductor.kdl"].String(), fmt.Sprintf(`"revision": %d`, last)) ||
			strings.Contains(in.logs["conductor.kdl"].String(), fmt.Sprintf(`"revision":%d`, last))
	})
	in.waitUntil("its own routes count", func() bool { return isAnswering(address)() && in.isSynced(1) })
	if held := in.heldRouteVersion("till"); held != 0 {
		t.Errorf("its own routes are numbered %d", held)
	}
}

// The newest route is removed while a member runs that no longer configures it. Its sidecar takes the routes that are
// left, and the next change.
func TestSidecarAcceptsTheRemovalOfTheNewestRouteAtAMember(t *testing.T) {
	g := newTestGroup(t, 1)
	g.leader()
	address := g.startGroupSidecar("till", 0)
	prefix, _ := g.agree(0)
	g.waitUntil("what was agreed on is held", g.holdsPrefix(address, prefix))
	restart := func(more string) {
		g.stops[0]()
		g.configureController(0, g.memberText(0, "data-1", false)+more)
		g.stops[0] = g.start("harehook-xds", "c-1.kdl")
		g.leader()
	}
	apply := func(text string) (revision uint64) {
		out, code := g.runCtlAt(0, "records", "apply", g.write("records.kdl", text), "--why", "a test")
		if n, err := fmt.Sscanf(out, "version %d is in force", &revision); code != 0 || n != 1 {
			t.Fatalf("exit %d: %s, %v", code, out, err)
		}
		return revision
	}
	restart(thirdConfigured)
	created := apply(`route "third" { prefix "/third"; limit-ms 2000; }`)
	g.waitUntil("the newest route is held", func() bool { return g.heldRouteVersion("till") == created })
	restart("")
	removed := apply(`remove "route/third"`)
	g.waitUntil("the routes that are left are held", func() bool { return g.heldRouteVersion("till") == removed })
	prefix, _ = g.agree(0)
	g.waitUntil("the next change is held", g.holdsPrefix(address, prefix))
}
