package daemon

import (
	"net/http"
	"strings"
	"testing"
)

// Sidecars send calls to the nodes that the controller selects. A draining node must receive no calls after sidecars
// have accepted the update. While the controller is stopped, sidecars must continue, including one that restarts with
// the resources it stored on disk. After the controller has restarted, all sidecars must be synced with it.
func TestSidecarsContinueWithoutController(t *testing.T) {
	in := newInstallation(t, "n-1", "n-2", "s-1")
	stop := in.start("harehook-xds", "conductor.kdl")
	first, _ := in.startSidecar("sidecar-1", "north", "delta")
	second, stopSecond := in.startSidecar("sidecar-2", "south", "state")
	in.waitUntil("both sidecars answer", func() bool { return isAnswering(first)() && isAnswering(second)() })
	if got := in.callAll(first, "/quote/7", 60); got["n-1"] == 0 || got["n-2"] == 0 {
		t.Errorf("calls by node in zone north: got %v, want some at n-1 and n-2", got)
	}
	if got := in.callAll(second, "/issue", 10); got["s-1"] == 0 {
		t.Errorf("calls by node in zone south: got %v, want some at s-1", got)
	}
	if node, status := call(first, "/nothing", ""); status != http.StatusNotFound {
		t.Errorf("call without a route: got status %d and %q, want status %d", status, node, http.StatusNotFound)
	}

	in.nodeStates["n-1"] = "draining"
	in.writeNodes()
	syncedWithout := func(node string) func() bool {
		return func() bool {
			out, code := in.runCtl("tables")
			return code == 0 && strings.Contains(out, "n-2") && !strings.Contains(out, node) && in.isSynced(2)
		}
	}
	in.waitUntil("the sidecars have accepted the update without the draining node", syncedWithout("n-1"))
	callsBefore := in.nodes["n-1"].Calls("/quote")
	in.callAll(first, "/quote", 20)
	if in.nodes["n-1"].Calls("/quote") != callsBefore {
		t.Errorf("calls at the draining node: got %d, want %d", in.nodes["n-1"].Calls("/quote"), callsBefore)
	}

	stop()
	in.callAll(first, "/quote", 10)
	stopSecond()
	second, _ = in.startSidecar("sidecar-2", "south", "state") // the controller is stopped: the sidecar uses the resources on disk
	in.waitUntil("the sidecar answers with the resources on disk", isAnswering(second))
	if out, code := in.runCtl("sidecars"); code != exitUnavailable {
		t.Errorf("sidecars at a stopped controller: got exit code %d and %q, want %d", code, out, exitUnavailable)
	}
	in.start("harehook-xds", "conductor.kdl")
	in.waitUntil("both sidecars are synced", func() bool { return in.isSynced(2) })
	in.callAll(second, "/quote", 10)
}

// A call on a mutating route must not run twice. An attempt that did not reach its node is retried at another node,
// also on mutating routes; an attempt that may have run is not retried.
func TestMutatingRoutesRetryOnlyAttemptsNotSent(t *testing.T) {
	in := newInstallation(t, "n-1", "n-2", "s-1")
	in.start("harehook-xds", "conductor.kdl")
	address, _ := in.startSidecar("sidecar", "north", "delta")
	in.waitUntil("the sidecar answers", isAnswering(address))
	in.waitUntil("retries are enabled", func() bool {
		for range 20 {
			call(address, "/quote", "") // retries stay disabled until reports show that the fleet is not saturated
		}
		out, _ := in.runCtl("tables")
		return strings.Count(out, "connect-failure") >= 2
	})
	in.nodes["n-1"].Close()
	for range 20 {
		if node, status := call(address, "/issue", "body"); status != http.StatusOK {
			t.Fatalf("call while n-1 refuses connections: got status %d and %q, want status %d", status, node, http.StatusOK)
		}
	}
	countRuns := func() int { return in.nodes["n-2"].Calls("/issue/one") + in.nodes["s-1"].Calls("/issue/one") }
	for _, node := range in.nodes {
		node.FailStatus.Store(-1)
	}
	for k := range 10 {
		if _, status := call(address, "/issue/one", "body"); status == http.StatusOK {
			t.Errorf("call while no node answers: got status %d, want an error", status)
		}
		if countRuns() > k+1 {
			t.Fatalf("attempts that reached a node after %d calls: got %d, want at most %d", k+1, countRuns(), k+1)
		}
	}
}
