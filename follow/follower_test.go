package follow

import (
	"testing"
	"time"

	"harehook.dev/harehook/records"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at is a moment of a test, in seconds after its start.
func at(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

// A follower's lease runs from when its request was sent. By the time of the heartbeat it would end after the member's.
func TestFollowerLeaseRunsFromItsRequest(t *testing.T) {
	follower := NewFollower("a", records.Scope{All: true}, 3*time.Second, nil)
	if !follower.Stale(at(0)) {
		t.Error("a follower that was never answered has a lease")
	}
	heartbeat, err := Offer{Revision: 0}.response()
	if err != nil {
		t.Fatal(err)
	}
	follower.Begin(at(0))
	receive := func(seconds float64) {
		t.Helper()
		if _, _, err := follower.Receive(at(seconds), heartbeat); err != nil {
			t.Fatal(err)
		}
	}
	receive(2)
	if follower.Stale(at(2.9)) || !follower.Stale(at(3)) {
		t.Error("the lease of a request sent at 0 has to end at 3")
	}
	receive(2.5) // answers nothing
	if !follower.Stale(at(3)) {
		t.Error("a heartbeat that was not asked for renewed the lease")
	}
	follower.Renew(at(3))
	follower.Renew(at(4))
	receive(5)
	if follower.Stale(at(5.9)) || !follower.Stale(at(6)) {
		t.Error("of two requests under way the older one counts: the lease has to end at 6")
	}
}

// An offer is sent without the member having heard the follower: it does not renew the lease.
func TestOfferDoesNotRenewTheLease(t *testing.T) {
	follower := NewFollower("a", records.Scope{All: true}, 3*time.Second, nil)
	follower.Begin(at(0))
	offer, err := Offer{Revision: 4, Nonce: "1", Whole: true}.response()
	if err != nil {
		t.Fatal(err)
	}
	if _, accepted, err := follower.Receive(at(1), offer); err != nil || !accepted {
		t.Fatal(accepted, err)
	}
	if !follower.Stale(at(1)) {
		t.Error("an offer renewed the lease")
	}
}
