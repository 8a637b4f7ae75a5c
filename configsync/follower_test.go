package configsync

import (
	"errors"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/records"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at is a time of a test, in seconds after its start.
func at(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

// A follower's lease starts when its request is sent. If it started with the heartbeat it would end after the member's, and
// the follower would be the last to know that it is stale.
func TestFollowerLeaseRunsFromItsRequest(t *testing.T) {
	follower := NewFollower("a", records.Scope{All: true}, 3*time.Second, nil)
	if !follower.Stale(at(0)) {
		t.Error("a follower that was never answered has a lease")
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
	receive() // when it arrives does not count
	if follower.Stale(at(2.9)) || !follower.Stale(at(3)) {
		t.Error("the lease of a request sent at 0 has to end at 3")
	}
	receive() // answers nothing
	if !follower.Stale(at(3)) {
		t.Error("a heartbeat that was not asked for renewed the lease")
	}
	follower.Renew(at(3))
	follower.Renew(at(4))
	receive()
	if follower.Stale(at(5.9)) || !follower.Stale(at(6)) {
		t.Error("of two requests under way the older one counts: the lease has to end at 6")
	}
}

// A member may send an update without a request since: the update must not renew the follower's lease.
func TestUpdateDoesNotRenewLease(t *testing.T) {
	follower := NewFollower("a", records.Scope{All: true}, 3*time.Second, nil)
	follower.Begin(at(0))
	update, err := Update{Revision: 4, Nonce: "1", FullScope: true}.response()
	if err != nil {
		t.Fatal(err)
	}
	if _, accepted, err := follower.Receive(update); err != nil || !accepted {
		t.Fatal(accepted, err)
	}
	if !follower.Stale(at(1)) {
		t.Error("an update renewed the lease")
	}
}

// encodeUpdate returns the message of an update.
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
	f := NewFollower("f", services("s1"), 3*time.Second, nil)
	f.Begin(at(0))
	fullScope := encodeUpdate(t, Update{Revision: 5, Nonce: "1", FullScope: true, Records: oneRecord(withRevision(newRouteRecord(t, "a", "s1", 10), 4))})
	if _, accepted, err := f.Receive(fullScope); err != nil || !accepted {
		t.Fatal(accepted, err)
	}
	return f
}

// An update that can't follow the accepted revision is rejected, and the accepted records stay.
func TestFollowerRejectsInapplicableUpdates(t *testing.T) {
	changed := withRevision(newRouteRecord(t, "a", "s1", 11), 6)
	for name, update := range map[string]Update{
		"revision 0":                             {Revision: 0, Nonce: "2"},
		"put twice":                              {Revision: 6, Nonce: "2", Records: []*records.Record{changed, changed}},
		"put and removed":                        {Revision: 6, Nonce: "2", Records: oneRecord(changed), Removed: []records.Key{changed.Key}},
		"removed twice":                          {Revision: 6, Nonce: "2", Removed: []records.Key{changed.Key, changed.Key}},
		"full scope that removes":                {Revision: 6, Nonce: "2", FullScope: true, Removed: []records.Key{changed.Key}},
		"record newer than the update":           {Revision: 6, Nonce: "2", Records: oneRecord(withRevision(newRouteRecord(t, "a", "s1", 11), 7))},
		"record without a revision":              {Revision: 6, Nonce: "2", FullScope: true, Records: oneRecord(newRouteRecord(t, "a", "s1", 11))},
		"change as old as the accepted revision": {Revision: 6, Nonce: "2", Records: oneRecord(withRevision(newRouteRecord(t, "a", "s1", 11), 5))},
		"record of another scope":                {Revision: 6, Nonce: "2", Records: oneRecord(withRevision(newRouteRecord(t, "x", "s2", 11), 6))},
		"full scope with a record of another":    {Revision: 6, Nonce: "2", FullScope: true, Records: oneRecord(withRevision(newRouteRecord(t, "x", "s2", 11), 6))},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFollowerWithRecords(t)
			reply, accepted, err := f.Receive(encodeUpdate(t, update))
			if err != nil || accepted || reply.GetErrorDetail() == nil || reply.GetResponseNonce() != "2" {
				t.Errorf("reply %v, accepted %v, %v", reply, accepted, err)
			}
			if f.Revision() != 5 || len(f.Records()) != 1 || f.Records()[changed.Key].Revision != 4 {
				t.Errorf("revision %d, %v", f.Revision(), f.Records())
			}
		})
	}
}

// A message that can't be read as an update is rejected, and the accepted records stay.
func TestFollowerRejectsMalformedMessages(t *testing.T) {
	good := func() *discoveryv3.DeltaDiscoveryResponse {
		return encodeUpdate(t, Update{Revision: 6, Nonce: "2", Records: oneRecord(withRevision(newRouteRecord(t, "a", "s1", 11), 6))})
	}
	for name, spoil := range map[string]func(*discoveryv3.DeltaDiscoveryResponse){
		"type":           func(r *discoveryv3.DeltaDiscoveryResponse) { r.TypeUrl = "x" },
		"no revision":    func(r *discoveryv3.DeltaDiscoveryResponse) { r.SystemVersionInfo = "" },
		"negative":       func(r *discoveryv3.DeltaDiscoveryResponse) { r.SystemVersionInfo = "-1" },
		"no body":        func(r *discoveryv3.DeltaDiscoveryResponse) { r.Resources[0].Resource = nil },
		"no resource":    func(r *discoveryv3.DeltaDiscoveryResponse) { r.Resources[0] = nil },
		"key":            func(r *discoveryv3.DeltaDiscoveryResponse) { r.Resources[0].Name = "route" },
		"kind":           func(r *discoveryv3.DeltaDiscoveryResponse) { r.Resources[0].Name = "thing/a" },
		"body":           func(r *discoveryv3.DeltaDiscoveryResponse) { r.Resources[0].Name = "tenant/a" },
		"record version": func(r *discoveryv3.DeltaDiscoveryResponse) { r.Resources[0].Version = "six" },
		"removed key":    func(r *discoveryv3.DeltaDiscoveryResponse) { r.RemovedResources = []string{""} },
		"marked twice": func(r *discoveryv3.DeltaDiscoveryResponse) {
			marker := &discoveryv3.Resource{Name: fullScopeName}
			r.Resources = append(r.Resources, marker, marker)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, response := newFollowerWithRecords(t), good()
			spoil(response)
			reply, accepted, err := f.Receive(response)
			if err != nil || accepted || reply.GetErrorDetail() == nil || f.Revision() != 5 || f.Rejected != 1 {
				t.Errorf("reply %v, accepted %v, %v, revision %d", reply, accepted, err, f.Revision())
			}
		})
	}
	f, response := newFollowerWithRecords(t), good()
	if _, accepted, err := f.Receive(response); err != nil || !accepted {
		t.Errorf("what is good: %v, %v", accepted, err)
	}
}

// A malformed message without a nonce can't be answered by a NACK: its member is left.
func TestFollowerLeavesMemberAfterMalformedHeartbeat(t *testing.T) {
	f := newFollowerWithRecords(t)
	if reply, _, err := f.Receive(&discoveryv3.DeltaDiscoveryResponse{TypeUrl: "x"}); err == nil || reply != nil {
		t.Errorf("reply %v, %v", reply, err)
	}
	if f.Rejected != 0 {
		t.Error("counted as a rejected update")
	}
}

// A member offers an older revision than the accepted one: the follower must neither accept nor reject it, but leave.
func TestFollowerLeavesMemberWithOlderRevision(t *testing.T) {
	f := newFollowerWithRecords(t)
	for _, fullScope := range []bool{true, false} {
		reply, accepted, err := f.Receive(encodeUpdate(t, Update{Revision: 4, Nonce: "2", FullScope: fullScope}))
		if !errors.Is(err, ErrOlderRevision) || accepted || reply != nil || f.Revision() != 5 || len(f.Records()) != 1 {
			t.Errorf("reply %v, accepted %v, %v", reply, accepted, err)
		}
	}
}

// The accepted revision may come again, as a full scope or as progress, but not with other contents.
func TestFollowerDetectsConflictAtSameRevision(t *testing.T) {
	same := Update{Revision: 5, Nonce: "2", FullScope: true, Records: oneRecord(withRevision(newRouteRecord(t, "a", "s1", 10), 4))}
	for name, update := range map[string]Update{"full scope": same, "progress": {Revision: 5, Nonce: "2"}} {
		t.Run(name, func(t *testing.T) {
			f := newFollowerWithRecords(t)
			if reply, accepted, err := f.Receive(encodeUpdate(t, update)); err != nil || accepted || reply.GetErrorDetail() != nil {
				t.Errorf("%s: reply %v, accepted %v, %v", name, reply, accepted, err)
			}
		})
	}
	for name, update := range map[string]Update{
		"other content":  {Revision: 5, Nonce: "2", FullScope: true, Records: oneRecord(withRevision(newRouteRecord(t, "a", "s1", 11), 4))},
		"other revision": {Revision: 5, Nonce: "2", FullScope: true, Records: oneRecord(withRevision(newRouteRecord(t, "a", "s1", 10), 3))},
		"less":           {Revision: 5, Nonce: "2", FullScope: true},
		"removed":        {Revision: 5, Nonce: "2", Removed: []records.Key{routeKey("a")}},
		"changed":        {Revision: 5, Nonce: "2", Records: oneRecord(withRevision(newRouteRecord(t, "a", "s1", 11), 5))},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFollowerWithRecords(t)
			if _, accepted, err := f.Receive(encodeUpdate(t, update)); !errors.Is(err, ErrConflictingContent) || accepted || len(f.Records()) != 1 {
				t.Errorf("%s: accepted %v, %v", name, accepted, err)
			}
		})
	}
}

// A delta can't be applied without a base revision: all else of the scope would be missing.
func TestFollowerRejectsDeltaWithoutBaseRevision(t *testing.T) {
	f := NewFollower("f", services("s1"), 3*time.Second, nil)
	for _, update := range []Update{{Revision: 5, Nonce: "1", Records: oneRecord(withRevision(newRouteRecord(t, "a", "s1", 10), 5))}, {Revision: 5, Nonce: "1"}} {
		if reply, accepted, err := f.Receive(encodeUpdate(t, update)); err != nil || accepted || reply.GetErrorDetail() == nil {
			t.Errorf("reply %v, accepted %v, %v", reply, accepted, err)
		}
	}
}

// A follower whose lease ran out goes on with its records.
func TestStaleFollowerKeepsRecords(t *testing.T) {
	f := newFollowerWithRecords(t)
	if !f.Stale(at(100000)) || f.Revision() != 5 || len(f.Records()) != 1 {
		t.Errorf("revision %d, %v", f.Revision(), f.Records())
	}
}
