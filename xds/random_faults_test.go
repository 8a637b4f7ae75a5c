package xds_test

import (
	"testing"

	"google.golang.org/protobuf/types/known/anypb"

	"harehook.dev/harehook/xds"
)

// Over at least ten thousand changes with restarts on both sides, cuts, delays and NACKs no sidecar ever routes by a version
// that it rejected or was never sent, and once faults end all converge.
func TestSidecarNeverRoutesByRejectedVersion(t *testing.T) {
	total := 0
	for seed := range uint64(12) {
		network := newFaultyNetwork(t, seed, 8)
		network.play(1000)
		steps := network.settle()
		total += network.changes
		if steps >= 60 {
			network.addViolation("not settled after %d steps", steps)
		}
		for _, c := range network.server.Sidecars(network.now) {
			for _, s := range c.Resources {
				if s.Accepted != s.Target && s.Rejection == nil && s.Type != xds.Routes && s.Type != xds.Listeners && s.Target != "" && !network.blocked(c) {
					network.addViolation("%s has accepted %s of %s %s, not %s", c.ID, s.Accepted, s.Type, s.Name, s.Target)
				}
			}
		}
		for _, f := range network.violations {
			t.Fatalf("seed %d: %s", seed, f)
		}
	}
	if total < 10000 {
		t.Errorf("%d pushes only", total)
	}
}

// The checker finds a sidecar that acknowledges what it rejected, and one that routes by what it rejects.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	network := newFaultyNetwork(t, 1, 4)
	for _, h := range network.sidecars {
		reject := h.ExtraCheck
		h.ExtraCheck = func(resourceType xds.ResourceType, name string, body *anypb.Any) error {
			if err := reject(resourceType, name, body); err != nil && resourceType == xds.Endpoints {
				m, _ := body.UnmarshalNew()
				r, _ := xds.NewResource(resourceType, name, m)
				h.rejected[versionKey(resourceType, name, r.Version)] = true // rejected, and routed by all the same
			}
			return nil
		}
	}
	network.play(1000)
	if len(network.violations) == 0 {
		t.Error("sidecars that route by what they rejected were not found")
	}
	network = newFaultyNetwork(t, 1, 4)
	for _, h := range network.sidecars {
		h.routesByRejected = true
	}
	network.play(3000)
	if len(network.violations) == 0 {
		t.Error("a rejection answered by an ACK was not found")
	}
}
