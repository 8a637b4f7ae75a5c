package configsync

import (
	"fmt"
	"math/rand/v2"
	"testing"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/records"
)

// Followers of one scope have the same routing revision at the same revision, however they came there: by each delta, by
// several commits in one, or by a full scope. It never goes down, also when the newest route is removed.
func TestRoutingRevisionMatchesRevision(t *testing.T) {
	removals, comeAndGone := 0, 0
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 5))
		member := newTestMember(t)
		member.commit(at(0), 1, oneRecord(newRouteRecord(t, "a", "s1", 10)))
		each := connect(t, member.server, NewFollower("each", services("s1"), testLimits.Lease, nil), at(0))
		some := connect(t, member.server, NewFollower("some", services("s1"), testLimits.Lease, nil), at(0))
		each.settle(at(0))
		some.settle(at(0))
		for revision := uint64(2); revision < 60; revision++ {
			name := fmt.Sprint("r", random.IntN(3))
			before := member.source.last().records[routeKey(name)]
			if before != nil && random.IntN(2) == 0 {
				member.commit(at(0), revision, nil, routeKey(name))
				removals++
			} else {
				member.commit(at(0), revision, oneRecord(newRouteRecord(t, name, fmt.Sprint("s", 1+random.IntN(2)), float64(revision))))
			}
			last := each.follower.RoutingRevision()
			each.settle(at(0))
			if each.follower.RoutingRevision() < last {
				t.Fatalf("seed %d: %d after %d", seed, each.follower.RoutingRevision(), last)
			}
			member.checkFollower(each.follower)
			if random.IntN(4) > 0 {
				continue
			}
			heldBefore, routingBefore := len(member.source.Since(some.follower.Revision(), services("s1")).Updates), some.follower.RoutingRevision()
			some.settle(at(0))
			if heldBefore == 0 && some.follower.RoutingRevision() > routingBefore {
				comeAndGone++
			}
			fullScope := connect(t, member.server, NewFollower(fmt.Sprint("full", revision), services("s1"), testLimits.Lease, nil), at(0))
			fullScope.settle(at(0))
			member.checkFollower(some.follower)
			member.checkFollower(fullScope.follower)
			member.server.Close(fullScope.stream)
			if t.Failed() {
				t.Fatalf("seed %d, revision %d", seed, revision)
			}
		}
	}
	if removals < 50 || comeAndGone == 0 {
		t.Errorf("%d removals, %d times a route came and went between two updates: the draw does not cover it", removals, comeAndGone)
	}
}

// A member that restored a snapshot may name a lower routing revision than the accepted one: the follower's must not go
// down, as sidecars reject routes of a lower number. A rejected update changes nothing.
func TestRoutingRevisionNeverGoesDown(t *testing.T) {
	f := newFollowerWithRecords(t)
	for _, step := range []struct {
		update Update
		want   uint64
	}{
		{Update{Revision: 7, RoutingRevision: 6, Nonce: "2"}, 6},
		{Update{Revision: 8, RoutingRevision: 4, Nonce: "3"}, 6},
		{Update{Revision: 9, RoutingRevision: 9, Nonce: "4", Records: oneRecord(withRevision(newRouteRecord(t, "x", "s2", 1), 9))}, 6}, // another scope's
		{Update{Revision: 9, RoutingRevision: 9, Nonce: "5"}, 9},
	} {
		if _, _, err := f.Receive(encodeUpdate(t, step.update)); err != nil || f.RoutingRevision() != step.want {
			t.Errorf("%+v: %d, want %d, %v", step.update, f.RoutingRevision(), step.want, err)
		}
	}
}

// An update has to have exactly one routing revision, a number not over its revision.
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
					t.Errorf("%s: reply %v, accepted %v, %v, revision %d", name, reply, accepted, err, f.Revision())
				}
			}
		})
	}
}
