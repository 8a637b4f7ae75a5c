package daemon

import (
	"net/http"
	"strings"
	"testing"
)

// Calls go where the controller decided. A node that drains must get none once sidecars hold that. The controller dies:
// sidecars go on, also one that starts anew with what it has on disk. The controller comes back: sidecars hold its versions.
func TestSidecarsFollowTheirControllerAndOutliveIt(t *testing.T) {
	in := newInstallation(t, "n-1", "n-2", "s-1")
	stop := in.start("harehook-xds", "conductor.kdl")
	first, _ := in.startSidecar("till-1", "north", "delta")
	second, stopSecond := in.startSidecar("till-2", "south", "state")
	in.waitUntil("both answer", func() bool { return isAnswering(first)() && isAnswering(second)() })
	if got := in.callAll(first, "/quote/7", 60); got["n-1"] == 0 || got["n-2"] == 0 {
		t.Errorf("the north's calls went to %v", got)
	}
	if got := in.callAll(second, "/issue", 10); got["s-1"] == 0 {
		t.Errorf("the south's calls went to %v", got)
	}
	if who, status := call(first, "/nothing", ""); status != http.StatusNotFound {
		t.Errorf("no route: %d %s", status, who)
	}

	in.nodeStates["n-1"] = "draining"
	in.writeNodes()
	synced := func(without string) func() bool {
		return func() bool {
			out, code := in.runCtl("tables")
			return code == 0 && strings.Contains(out, "n-2") && !strings.Contains(out, without) && in.isSynced(2)
		}
	}
	in.waitUntil("the drain is held", synced("n-1"))
	before := in.nodes["n-1"].Calls("/quote")
	in.callAll(first, "/quote", 20)
	if in.nodes["n-1"].Calls("/quote") != before {
		t.Error("a draining node got calls")
	}

	stop()
	in.callAll(first, "/quote", 10)
	stopSecond()
	second, _ = in.startSidecar("till-2", "south", "state") // its controller is away: it goes by what it kept
	in.waitUntil("answers by what it kept", isAnswering(second))
	if out, code := in.runCtl("sidecars"); code != exitUnavailable {
		t.Errorf("a conductor that is away: exit %d, %s", code, out)
	}
	in.start("harehook-xds", "conductor.kdl")
	in.waitUntil("all are back", func() bool { return in.isSynced(2) })
	in.callAll(second, "/quote", 10)
}

// A call on a mutating route must not run twice. An attempt that never reached its node is retried at another one, on
// mutating routes as well; one that may have run is not.
func TestOnlyAttemptsThatNeverRanAreRetriedOnMutatingRoutes(t *testing.T) {
	in := newInstallation(t, "n-1", "n-2", "s-1")
	in.start("harehook-xds", "conductor.kdl")
	address, _ := in.startSidecar("till", "north", "delta")
	in.waitUntil("answers", isAnswering(address))
	in.waitUntil("further tries are let", func() bool {
		for range 20 {
			call(address, "/quote", "") // until calls tell of a calm fleet there are none
		}
		out, _ := in.runCtl("tables")
		return strings.Count(out, "connect-failure") >= 2
	})
	in.nodes["n-1"].Close()
	for range 20 {
		if who, status := call(address, "/issue", "seat"); status != http.StatusOK {
			t.Fatalf("a node refuses connections: %d %s", status, who)
		}
	}
	ran := func() int { return in.nodes["n-2"].Calls("/issue/one") + in.nodes["s-1"].Calls("/issue/one") }
	for _, n := range in.nodes {
		n.FailStatus.Store(-1)
	}
	for k := range 10 {
		if _, status := call(address, "/issue/one", "seat"); status == http.StatusOK {
			t.Error("an answer from a node that gives none")
		}
		if ran() > k+1 {
			t.Fatalf("%d calls ran %d times", k+1, ran())
		}
	}
}
