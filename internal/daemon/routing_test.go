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

// The newest route is removed while the controller is stopped. If the routes then got a lower version than the sidecar
// has accepted, it would reject them: it must accept the remaining routes and the next change of a route.
func TestSidecarAcceptsTheRemovalOfTheNewestRoute(t *testing.T) {
	in := newInstallation(t, "n-1", "n-2")
	m := newTestMember(t, nil)
	follow := fmt.Sprintf("follow { member %q; }", m.address)
	m.set(twoRoutes("/v1"))
	created := m.set(withThirdRoute(records.RouteSpec{Prefix: "/third", TimeLimitMS: 2000}))
	in.configure(follow + thirdConfigured)
	stop := in.start("harehook-xds", "conductor.kdl")
	address, _ := in.startSidecar("sidecar", "north", "delta")
	in.waitUntil("the sidecar has accepted the newest route", func() bool { return in.acceptedRoutingRevision("sidecar") == created && in.isSynced(1) })

	stop()
	removed := m.set(withThirdRoute(nil))
	in.configure(follow)
	in.start("harehook-xds", "conductor.kdl")
	in.waitUntil("the sidecar has accepted the remaining routes", func() bool { return in.acceptedRoutingRevision("sidecar") == removed })
	if _, status := call(address, "/third", ""); status != http.StatusNotFound {
		t.Errorf("call on the removed route: got status %d, want %d", status, http.StatusNotFound)
	}
	changed := m.set(twoRoutes("/v2"))
	in.waitUntil("the sidecar has accepted the next change", func() bool {
		_, status := call(address, "/v2", "")
		return status == http.StatusOK && in.acceptedRoutingRevision("sidecar") == changed && in.isSynced(1)
	})
	if log := in.logs["conductor.kdl"].String(); strings.Contains(log, "sidecar rejected resources") {
		t.Errorf("got resources rejected by a sidecar, want none:\n%s", log)
	}
}

// A controller uses its own routes while its scope has no agreed route, even if all agreed routes were removed.
func TestOwnRoutesApplyAfterAgreedRoutesAreRemoved(t *testing.T) {
	in := newInstallation(t, "n-1", "n-2")
	m := newTestMember(t, nil)
	m.set(withThirdRoute(records.RouteSpec{Prefix: "/third", TimeLimitMS: 2000}))
	m.set(withThirdRoute(nil))
	in.configure(fmt.Sprintf("follow { member %q; }", m.address))
	in.start("harehook-xds", "conductor.kdl")
	address, _ := in.startSidecar("sidecar", "north", "delta")
	in.waitUntil("the controller has accepted the revision", func() bool {
		leases := m.service.Status().Leases
		return len(leases) == 1 && leases[0].Accepted == m.Revision()
	})
	last := m.set(overrideRecord("n-1", records.StateGone))
	in.waitUntil("the override is in effect", func() bool {
		return strings.Contains(in.logs["conductor.kdl"].String(), fmt.Sprintf(`"revision": %d`, last)) ||
			strings.Contains(in.logs["conductor.kdl"].String(), fmt.Sprintf(`"revision":%d`, last))
	})
	in.waitUntil("its own routes are in effect", func() bool { return isAnswering(address)() && in.isSynced(1) })
	if revision := in.acceptedRoutingRevision("sidecar"); revision != 0 {
		t.Errorf("version of its own routes: got %d, want 0", revision)
	}
}

// The newest route is removed while a member runs whose configuration no longer contains it. The sidecar must accept
// the remaining routes and the next change.
func TestSidecarAcceptsTheRemovalOfTheNewestRouteAtAMember(t *testing.T) {
	g := newTestGroup(t, 1)
	g.leader()
	address := g.startGroupSidecar("sidecar", 0)
	prefix, _ := g.agree(0)
	g.waitUntil("the sidecar has the agreed version", g.servesPrefix(address, prefix))
	restart := func(extraLines string) {
		g.stops[0]()
		g.configureController(0, g.groupSection(0, "data-1", false)+extraLines)
		g.stops[0] = g.start("harehook-xds", "c-1.kdl")
		g.leader()
	}
	apply := func(text string) (revision uint64) {
		out, code := g.runCtlAt(0, "records", "apply", g.write("records.kdl", text), "--why", "a test")
		if n, err := fmt.Sscanf(out, "version %d is in force", &revision); code != 0 || n != 1 {
			t.Fatalf("records apply: got exit code %d and %q, want 0 and a version in force: %v", code, out, err)
		}
		return revision
	}
	restart(thirdConfigured)
	created := apply(`route "third" { prefix "/third"; limit-ms 2000; }`)
	g.waitUntil("the sidecar has accepted the newest route", func() bool { return g.acceptedRoutingRevision("sidecar") == created })
	restart("")
	removed := apply(`remove "route/third"`)
	g.waitUntil("the sidecar has accepted the remaining routes", func() bool { return g.acceptedRoutingRevision("sidecar") == removed })
	prefix, _ = g.agree(0)
	g.waitUntil("the sidecar has accepted the next change", g.servesPrefix(address, prefix))
}
