package configsync

import (
	"fmt"
	"math/rand/v2"
	"testing"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/records"
)

// Followers of one scope have the same routing revision at the same revision, whether they received one delta per
// commit, one delta for several commits, or a full scope. The routing revision never decreases, even when the newest
// route is removed.
func TestRoutingRevisionMatchesRevision(t *testing.T) {
	removals, createdAndRemoved := 0, 0
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 5))
		member := newTestMember(t)
		member.commit(at(0), 1, oneRecord(newRouteRecord(t, "a", "s1", 10)))
		each := connect(t, member.server, NewFollower("each", serviceScope("s1"), testLimits.Lease, nil), at(0))
		some := connect(t, member.server, NewFollower("some", serviceScope("s1"), testLimits.Lease, nil), at(0))
		each.deliverAll(at(0))
		some.deliverAll(at(0))
		for revision := uint64(2); revision < 60; revision++ {
			name := fmt.Sprint("r", random.IntN(3))
			before := member.source.latestState().records[routeKey(name)]
			if before != nil && random.IntN(2) == 0 {
				member.commit(at(0), revision, nil, routeKey(name))
				removals++
			} else {
				member.commit(at(0), revision, oneRecord(newRouteRecord(t, name, fmt.Sprint("s", 1+random.IntN(2)), float64(revision))))
			}
			previous := each.follower.RoutingRevision()
			each.deliverAll(at(0))
			if each.follower.RoutingRevision() < previous {
				t.Fatalf("seed %d, revision %d: got routing revision %d, want at least %d", seed, revision, each.follower.RoutingRevision(), previous)
			}
			member.checkFollower(each.follower)
			if random.IntN(4) > 0 {
				continue
			}
			pendingUpdates, previousRouting := len(member.source.Since(some.follower.Revision(), serviceScope("s1")).Updates), some.follower.RoutingRevision()
			some.deliverAll(at(0))
			if pendingUpdates == 0 && some.follower.RoutingRevision() > previousRouting {
				createdAndRemoved++
			}
			fullScope := connect(t, member.server, NewFollower(fmt.Sprint("full", revision), serviceScope("s1"), testLimits.Lease, nil), at(0))
			fullScope.deliverAll(at(0))
			member.checkFollower(some.follower)
			member.checkFollower(fullScope.follower)
			member.server.Close(fullScope.stream)
			if t.Failed() {
				t.Fatalf("failed with seed %d at revision %d", seed, revision)
			}
		}
	}
	if removals < 50 || createdAndRemoved == 0 {
		t.Errorf("got %d removals and %d routes both created and removed between two updates, want at least 50 and 1 for coverage",
			removals, createdAndRemoved)
	}
}

// A member that restored a snapshot may send a lower routing revision than the accepted one. The follower's routing
// revision must not decrease, since sidecars reject routes with a lower number. A rejected update does not change it.
func TestRoutingRevisionNeverGoesDown(t *testing.T) {
	f := newFollowerWithRecords(t)
	for _, step := range []struct {
		update Update
		want   uint64
	}{
		{Update{Revision: 7, RoutingRevision: 6, Nonce: "2"}, 6},
		{Update{Revision: 8, RoutingRevision: 4, Nonce: "3"}, 6},
		// The record belongs to another scope, so the update is rejected.
		{Update{Revision: 9, RoutingRevision: 9, Nonce: "4", Records: oneRecord(withRevision(newRouteRecord(t, "x", "s2", 1), 9))}, 6},
		{Update{Revision: 9, RoutingRevision: 9, Nonce: "5"}, 9},
	} {
		if _, _, err := f.Receive(encodeUpdate(t, step.update)); err != nil || f.RoutingRevision() != step.want {
			t.Errorf("update %+v: got routing revision %d, error %v; want %d", step.update, f.RoutingRevision(), err, step.want)
		}
	}
}

// An update must have exactly one routing revision, which must be a number not greater than its revision.
func TestUpdateWithoutRoutingRevisionIsRejected(t *testing.T) {
	marker := func(version string) *discoveryv3.Resource {
		return &discoveryv3.Resource{Name: routingRevisionName, Version: version}
	}
	for name, markers := range map[string][]*discoveryv3.Resource{
		"none": nil, "two": {marker("4"), marker("4")}, "no number": {marker("")}, "newer than the update": {marker("7")},
	} {
		t.Run(name, func(t *testing.T) {
			for _, records := range [][]*records.Record{nil, oneRecord(withRevision(newRouteRecord(t, "a", "s1", 11), 6))} {
				f, response := newFollowerWithRecords(t), encodeUpdate(t, Update{Revision: 6, Nonce: "2", Records: records})
				response.Resources = append(response.Resources[:len(records)], markers...)
				reply, accepted, err := f.Receive(response)
				if err != nil || accepted || reply.GetErrorDetail() == nil || f.Revision() != 5 || f.RoutingRevision() != 0 {
					t.Errorf("%d records: got reply %v, accepted %v, error %v, revision %d, routing revision %d; want a NACK, revision 5 and 0",
						len(records), reply, accepted, err, f.Revision(), f.RoutingRevision())
				}
			}
		})
	}
}
