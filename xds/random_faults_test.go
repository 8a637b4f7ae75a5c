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
	totalChanges := 0
	for seed := range uint64(12) {
		network := newFaultyNetwork(t, seed, 8)
		network.run(1000)
		steps := network.deliverAll()
		totalChanges += network.changes
		if steps >= 60 {
			network.addViolation("all sidecars converged after %d steps, want less than 60", steps)
		}
		for _, status := range network.server.Sidecars(network.now) {
			for _, resource := range status.Resources {
				if resource.Accepted != resource.Target && resource.Rejection == nil && resource.Type != xds.Routes && resource.Type != xds.Listeners && resource.Target != "" && !network.hasRejection(status) {
					network.addViolation("%s: got accepted version %q of %s %s, want %q", status.ID, resource.Accepted, resource.Type, resource.Name, resource.Target)
				}
			}
		}
		for _, violation := range network.violations {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
	if totalChanges < 10000 {
		t.Errorf("got %d changes, want at least 10000", totalChanges)
	}
}

// The checker must detect planted faults: sidecars that accept a version which they record as rejected, and sidecars
// that answer an invalid response with an ACK.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	network := newFaultyNetwork(t, 1, 4)
	for _, client := range network.sidecars {
		reject := client.ExtraCheck
		client.ExtraCheck = func(resourceType xds.ResourceType, name string, body *anypb.Any) error {
			if err := reject(resourceType, name, body); err != nil && resourceType == xds.Endpoints {
				message, _ := body.UnmarshalNew()
				resource, _ := xds.NewResource(resourceType, name, message)
				client.rejected[versionKey(resourceType, name, resource.Version)] = true // recorded, but accepted
			}
			return nil
		}
	}
	network.run(1000)
	if len(network.violations) == 0 {
		t.Error("got no violation from sidecars that route by rejected versions, want at least 1")
	}
	network = newFaultyNetwork(t, 1, 4)
	for _, client := range network.sidecars {
		client.acknowledgesRejected = true
	}
	network.run(3000)
	if len(network.violations) == 0 {
		t.Error("got no violation from sidecars that answer invalid responses with an ACK, want at least 1")
	}
}
