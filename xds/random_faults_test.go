package xds_test

import (
	"testing"

	"google.golang.org/protobuf/types/known/anypb"

	"harehook.dev/harehook/xds"
)

// Guards against sidecars that route by a version that they rejected or that was never sent to them. At least 10,000
// changes are applied while servers and sidecars restart, streams break, and messages are delayed or rejected. All
// sidecars must converge after the last fault.
func TestSidecarNeverRoutesByRejectedVersion(t *testing.T) {
	total := 0
	for seed := range uint64(12) {
		network := newFaultyNetwork(t, seed, 8)
		network.play(1000)
		steps := network.settle()
		total += network.changes
		if steps >= 60 {
			network.addViolation("all sidecars converged after %d steps, want less than 60", steps)
		}
		for _, c := range network.server.Sidecars(network.now) {
			for _, s := range c.Resources {
				if s.Accepted != s.Target && s.Rejection == nil && s.Type != xds.Routes && s.Type != xds.Listeners && s.Target != "" && !network.blocked(c) {
					network.addViolation("%s: got accepted version %q of %s %s, want %q", c.ID, s.Accepted, s.Type, s.Name, s.Target)
				}
			}
		}
		for _, f := range network.violations {
			t.Fatalf("seed %d: %s", seed, f)
		}
	}
	if total < 10000 {
		t.Errorf("got %d changes, want at least 10000", total)
	}
}

// The checker must detect planted faults: sidecars that accept a version which they record as rejected, and sidecars
// that answer an invalid response with an ACK.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	network := newFaultyNetwork(t, 1, 4)
	for _, h := range network.sidecars {
		reject := h.ExtraCheck
		h.ExtraCheck = func(resourceType xds.ResourceType, name string, body *anypb.Any) error {
			if err := reject(resourceType, name, body); err != nil && resourceType == xds.Endpoints {
				m, _ := body.UnmarshalNew()
				r, _ := xds.NewResource(resourceType, name, m)
				h.rejected[versionKey(resourceType, name, r.Version)] = true // recorded as rejected, but accepted
			}
			return nil
		}
	}
	network.play(1000)
	if len(network.violations) == 0 {
		t.Error("got no violation from sidecars that route by rejected versions, want at least 1")
	}
	network = newFaultyNetwork(t, 1, 4)
	for _, h := range network.sidecars {
		h.routesByRejected = true
	}
	network.play(3000)
	if len(network.violations) == 0 {
		t.Error("got no violation from sidecars that answer invalid responses with an ACK, want at least 1")
	}
}
