package configsync

import (
	"errors"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/records"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time that is the given number of seconds after the start of a test.
func at(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

// A follower's lease starts when the follower sends its request. If it started with the heartbeat it would end after
// the member's lease, and the follower would consider itself up to date after the member considers it stale.
func TestFollowerLeaseStartsAtRequest(t *testing.T) {
	follower := NewFollower("a", records.Scope{All: true}, 3*time.Second, nil)
	if !follower.Stale(at(0)) {
		t.Error("before the first heartbeat: got a live lease, want stale")
	}
	heartbeat, err := Update{Revision: 0}.response()
	if err != nil {
		t.Fatal(err)
	}
	follower.Begin(at(0))
	receive := func() {
		t.Helper()
		if _, _, err := follower.Receive(heartbeat); err != nil {
			t.Fatal(err)
		}
	}
	receive() // its arrival time is ignored
	if follower.Stale(at(2.9)) || !follower.Stale(at(3)) {
		t.Error("request sent at 0s: the lease does not end at 3s")
	}
	receive() // no request precedes it
	if !follower.Stale(at(3)) {
		t.Error("a heartbeat without a request renewed the lease")
	}
	follower.Renew(at(3))
	follower.Renew(at(4))
	receive()
	if follower.Stale(at(5.9)) || !follower.Stale(at(6)) {
		t.Error("requests sent at 3s and 4s: the lease does not end at 6s, 3s after the older one")
	}
}

// A member may send an update without having received a request since the last one, so an update must not renew the
// follower's lease.
func TestUpdateDoesNotRenewLease(t *testing.T) {
	follower := NewFollower("a", records.Scope{All: true}, 3*time.Second, nil)
	follower.Begin(at(0))
	update, err := Update{Revision: 4, Nonce: "1", FullScope: true}.response()
	if err != nil {
		t.Fatal(err)
	}
	if _, accepted, err := follower.Receive(update); err != nil || !accepted {
		t.Fatalf("got accepted %v, error %v; want accepted", accepted, err)
	}
	if !follower.Stale(at(1)) {
		t.Error("got a live lease after an update, want stale")
	}
}

// encodeUpdate encodes an update as a response.
func encodeUpdate(t testing.TB, update Update) *discoveryv3.DeltaDiscoveryResponse {
	t.Helper()
	response, err := update.response()
	if err != nil {
		t.Fatal(err)
	}
	return response
}

func withRevision(record *records.Record, revision uint64) *records.Record {
	record.Revision = revision
	return record
}

// newFollowerWithRecords returns a follower with one route at revision 5.
func newFollowerWithRecords(t testing.TB) *Follower {
	t.Helper()
	f := NewFollower("f", serviceScope("s1"), 3*time.Second, nil)
	f.Begin(at(0))
	fullScope := encodeUpdate(t, Update{Revision: 5, Nonce: "1", FullScope: true, Records: oneRecord(withRevision(newRouteRecord(t, "a", "s1", 10), 4))})
	if _, accepted, err := f.Receive(fullScope); err != nil || !accepted {
		t.Fatalf("got accepted %v, error %v; want accepted", accepted, err)
	}
	return f
}

// An update that cannot be applied to the accepted revision is rejected, and the accepted records are unchanged.
func TestFollowerRejectsInapplicableUpdates(t *testing.T) {
	changed := withRevision(newRouteRecord(t, "a", "s1", 11), 6)
	for name, update := range map[string]Update{
		"revision 0":                              {Revision: 0, Nonce: "2"},
		"put twice":                               {Revision: 6, Nonce: "2", Records: []*records.Record{changed, changed}},
		"put and removed":                         {Revision: 6, Nonce: "2", Records: oneRecord(changed), Removed: []records.Key{changed.Key}},
		"removed twice":                           {Revision: 6, Nonce: "2", Removed: []records.Key{changed.Key, changed.Key}},
		"full scope that removes":                 {Revision: 6, Nonce: "2", FullScope: true, Removed: []records.Key{changed.Key}},
		"record newer than the update":            {Revision: 6, Nonce: "2", Records: oneRecord(withRevision(newRouteRecord(t, "a", "s1", 11), 7))},
		"record without a revision":               {Revision: 6, Nonce: "2", FullScope: true, Records: oneRecord(newRouteRecord(t, "a", "s1", 11))},
		"change as old as the accepted revision":  {Revision: 6, Nonce: "2", Records: oneRecord(withRevision(newRouteRecord(t, "a", "s1", 11), 5))},
		"record of another scope":                 {Revision: 6, Nonce: "2", Records: oneRecord(withRevision(newRouteRecord(t, "x", "s2", 11), 6))},
		"full scope with record of another scope": {Revision: 6, Nonce: "2", FullScope: true, Records: oneRecord(withRevision(newRouteRecord(t, "x", "s2", 11), 6))},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFollowerWithRecords(t)
			reply, accepted, err := f.Receive(encodeUpdate(t, update))
			if err != nil || accepted || reply.GetErrorDetail() == nil || reply.GetResponseNonce() != "2" {
				t.Errorf("got reply %v, accepted %v, error %v; want a NACK of nonce 2", reply, accepted, err)
			}
			if f.Revision() != 5 || len(f.Records()) != 1 || f.Records()[changed.Key].Revision != 4 {
				t.Errorf("got revision %d and records %v, want revision 5 and the record of revision 4", f.Revision(), f.Records())
			}
		})
	}
}

// A message that is not a valid update is rejected, and the accepted records are unchanged.
func TestFollowerRejectsMalformedMessages(t *testing.T) {
	good := func() *discoveryv3.DeltaDiscoveryResponse {
		return encodeUpdate(t, Update{Revision: 6, Nonce: "2", Records: oneRecord(withRevision(newRouteRecord(t, "a", "s1", 11), 6))})
	}
	for name, corrupt := range map[string]func(*discoveryv3.DeltaDiscoveryResponse){
		"resource type":        func(r *discoveryv3.DeltaDiscoveryResponse) { r.TypeUrl = "x" },
		"no revision":          func(r *discoveryv3.DeltaDiscoveryResponse) { r.SystemVersionInfo = "" },
		"negative revision":    func(r *discoveryv3.DeltaDiscoveryResponse) { r.SystemVersionInfo = "-1" },
		"no body":              func(r *discoveryv3.DeltaDiscoveryResponse) { r.Resources[0].Resource = nil },
		"no resource":          func(r *discoveryv3.DeltaDiscoveryResponse) { r.Resources[0] = nil },
		"malformed key":        func(r *discoveryv3.DeltaDiscoveryResponse) { r.Resources[0].Name = "route" },
		"unknown kind":         func(r *discoveryv3.DeltaDiscoveryResponse) { r.Resources[0].Name = "thing/a" },
		"body of another kind": func(r *discoveryv3.DeltaDiscoveryResponse) { r.Resources[0].Name = "tenant/a" },
		"record version":       func(r *discoveryv3.DeltaDiscoveryResponse) { r.Resources[0].Version = "six" },
		"removed key":          func(r *discoveryv3.DeltaDiscoveryResponse) { r.RemovedResources = []string{""} },
		"full scope marked twice": func(r *discoveryv3.DeltaDiscoveryResponse) {
			marker := &discoveryv3.Resource{Name: fullScopeName}
			r.Resources = append(r.Resources, marker, marker)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, response := newFollowerWithRecords(t), good()
			corrupt(response)
			reply, accepted, err := f.Receive(response)
			if err != nil || accepted || reply.GetErrorDetail() == nil || f.Revision() != 5 || f.Rejected != 1 {
				t.Errorf("got reply %v, accepted %v, error %v, revision %d and %d rejections; want a NACK, revision 5 and 1 rejection",
					reply, accepted, err, f.Revision(), f.Rejected)
			}
		})
	}
	f, response := newFollowerWithRecords(t), good()
	if _, accepted, err := f.Receive(response); err != nil || !accepted {
		t.Errorf("valid update: got accepted %v, error %v; want accepted", accepted, err)
	}
}

// A malformed message without a nonce cannot be answered with a NACK, so the follower must disconnect from the member.
func TestFollowerDisconnectsAfterMalformedHeartbeat(t *testing.T) {
	f := newFollowerWithRecords(t)
	if reply, _, err := f.Receive(&discoveryv3.DeltaDiscoveryResponse{TypeUrl: "x"}); err == nil || reply != nil {
		t.Errorf("got reply %v, error %v; want an error without a reply", reply, err)
	}
	if f.Rejected != 0 {
		t.Error("a malformed heartbeat was counted as a rejected update")
	}
}

// If a member sends an older revision than the accepted one, the follower must neither accept nor reject it, but
// disconnect from the member.
func TestFollowerDisconnectsFromMemberWithOlderRevision(t *testing.T) {
	f := newFollowerWithRecords(t)
	for _, fullScope := range []bool{true, false} {
		reply, accepted, err := f.Receive(encodeUpdate(t, Update{Revision: 4, Nonce: "2", FullScope: fullScope}))
		if !errors.Is(err, ErrOlderRevision) || accepted || reply != nil || f.Revision() != 5 || len(f.Records()) != 1 {
			t.Errorf("full scope %v: got reply %v, accepted %v, error %v, revision %d; want ErrOlderRevision and revision 5",
				fullScope, reply, accepted, err, f.Revision())
		}
	}
}

// A member may send the accepted revision again, as a full scope or as an empty update, but not with different content.
func TestFollowerDetectsConflictAtSameRevision(t *testing.T) {
	same := Update{Revision: 5, Nonce: "2", FullScope: true, Records: oneRecord(withRevision(newRouteRecord(t, "a", "s1", 10), 4))}
	for name, update := range map[string]Update{"full scope": same, "progress": {Revision: 5, Nonce: "2"}} {
		t.Run(name, func(t *testing.T) {
			f := newFollowerWithRecords(t)
			if reply, accepted, err := f.Receive(encodeUpdate(t, update)); err != nil || accepted || reply.GetErrorDetail() != nil {
				t.Errorf("got reply %v, accepted %v, error %v; want an ACK of the same revision", reply, accepted, err)
			}
		})
	}
	for name, update := range map[string]Update{
		"other content":  {Revision: 5, Nonce: "2", FullScope: true, Records: oneRecord(withRevision(newRouteRecord(t, "a", "s1", 11), 4))},
		"other revision": {Revision: 5, Nonce: "2", FullScope: true, Records: oneRecord(withRevision(newRouteRecord(t, "a", "s1", 10), 3))},
		"missing record": {Revision: 5, Nonce: "2", FullScope: true},
		"removed":        {Revision: 5, Nonce: "2", Removed: []records.Key{routeKey("a")}},
		"changed":        {Revision: 5, Nonce: "2", Records: oneRecord(withRevision(newRouteRecord(t, "a", "s1", 11), 5))},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFollowerWithRecords(t)
			if _, accepted, err := f.Receive(encodeUpdate(t, update)); !errors.Is(err, ErrConflictingContent) || accepted || len(f.Records()) != 1 {
				t.Errorf("got accepted %v, error %v and %d records; want ErrConflictingContent and 1 record", accepted, err, len(f.Records()))
			}
		})
	}
}

// A delta cannot be applied without a base revision, since the unchanged records of the scope would be missing.
func TestFollowerRejectsDeltaWithoutBaseRevision(t *testing.T) {
	f := NewFollower("f", serviceScope("s1"), 3*time.Second, nil)
	for _, update := range []Update{{Revision: 5, Nonce: "1", Records: oneRecord(withRevision(newRouteRecord(t, "a", "s1", 10), 5))}, {Revision: 5, Nonce: "1"}} {
		if reply, accepted, err := f.Receive(encodeUpdate(t, update)); err != nil || accepted || reply.GetErrorDetail() == nil {
			t.Errorf("got reply %v, accepted %v, error %v; want a NACK", reply, accepted, err)
		}
	}
}

// A follower whose lease has expired keeps its records.
func TestStaleFollowerKeepsRecords(t *testing.T) {
	f := newFollowerWithRecords(t)
	if !f.Stale(at(100000)) || f.Revision() != 5 || len(f.Records()) != 1 {
		t.Errorf("got stale %v, revision %d, records %v; want a stale follower with 1 record of revision 5",
			f.Stale(at(100000)), f.Revision(), f.Records())
	}
}
