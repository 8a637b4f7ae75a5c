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
		w := newFaultyNetwork(t, seed, 8)
		w.play(1000)
		steps := w.settle()
		total += w.changes
		if steps >= 60 {
			w.addViolation("not settled after %d steps", steps)
		}
		for _, c := range w.server.Sidecars(w.now) {
			for _, s := range c.Resources {
				if s.Accepted != s.Target && s.Rejection == nil && s.Type != xds.Routes && s.Type != xds.Listeners && s.Target != "" && !w.blocked(c) {
					w.addViolation("%s holds %s of %s %s, not %s", c.ID, s.Accepted, s.Type, s.Name, s.Target)
				}
			}
		}
		for _, f := range w.violations {
			t.Fatalf("seed %d: %s", seed, f)
		}
	}
	if total < 10000 {
		t.Errorf("%d pushes only", total)
	}
}

// The checker finds a sidecar that acknowledges what it rejected, and one that routes by what it rejects.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	w := newFaultyNetwork(t, 1, 4)
	for _, h := range w.sidecars {
		refuse := h.ExtraCheck
		h.ExtraCheck = func(kind xds.ResourceType, name string, body *anypb.Any) error {
			if err := refuse(kind, name, body); err != nil && kind == xds.Endpoints {
				m, _ := body.UnmarshalNew()
				r, _ := xds.NewResource(kind, name, m)
				h.rejected[versionKey(kind, name, r.Version)] = true // rejected, and routed by all the same
			}
			return nil
		}
	}
	w.play(1000)
	if len(w.violations) == 0 {
		t.Error("sidecars that route by what they refused were not seen")
	}
	w = newFaultyNetwork(t, 1, 4)
	for _, h := range w.sidecars {
		h.routesByRejected = true
	}
	w.play(3000)
	if len(w.violations) == 0 {
		t.Error("a refusal told as an acceptance was not seen")
	}
}
