package configsync

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"harehook.dev/harehook/records"
)

// A follower's lag starts at the commit of the first revision that it has not accepted and continues across NACKs and
// renewals until it accepts the newest revision.
func TestLagStartsAtFirstMissingCommit(t *testing.T) {
	member := newTestMember(t)
	member.commit(at(0), 1, oneRecord(newRouteRecord(t, "a", "s1", 10)))
	reject := true
	f := NewFollower("f", serviceScope("s1"), testLimits.Lease, func(revision uint64, _ map[records.Key]*records.Record) error {
		if revision > 1 && reject {
			return errors.New("not now")
		}
		return nil
	})
	c := connect(t, member.server, f, at(0))
	c.deliverAll(at(0))
	behind := func(seconds float64, want time.Duration) {
		t.Helper()
		if got := member.server.Status(at(seconds)).Leases[0].Behind; got != want {
			t.Errorf("at %v s: got lag %v, want %v", seconds, got, want)
		}
	}
	behind(1, 0)
	member.commit(at(1), 2, oneRecord(newRouteRecord(t, "a", "s1", 11)))
	behind(1.5, 500*time.Millisecond)
	member.commit(at(2), 3, oneRecord(newRouteRecord(t, "a", "s1", 12)))
	c.deliverAll(at(2))
	behind(2, time.Second)
	c.request(at(2.5), f.Renew(at(2.5)))
	behind(3, 2*time.Second)
	for revision := uint64(4); revision < 4+maxCommits; revision++ { // more than are retained
		member.server.Committed(at(3), revision)
	}
	member.source.commit(4+maxCommits, nil)
	c.request(at(3), f.Renew(at(3)))
	behind(4, 3*time.Second)
	reject = false
	c.deliverAll(at(4))
	member.server.Committed(at(4), 4+maxCommits)
	behind(4, 0)
}

// A member that has just started does not know when earlier revisions were committed, so a follower's lag starts at the
// member's start.
func TestLagAfterMemberRestart(t *testing.T) {
	member := newTestMember(t)
	member.commit(at(0), 7, oneRecord(newRouteRecord(t, "a", "s1", 10)))
	server := NewServer("m1", member.source, testLimits, at(10))
	stream, err := server.Open(at(12))
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Receive(at(12), stream, Handshake{Name: "old", Scope: serviceScope("s1"), Revision: 3}.request()); err != nil {
		t.Fatal(err)
	}
	status := server.Status(at(12.5))
	if status.Settled || status.ConvergedRevision != 3 || status.Leases[0].Behind != 2500*time.Millisecond {
		t.Errorf("got %+v, want not settled, converged revision 3 and a lag of 2.5s", status)
	}
	if !server.Status(at(13)).Settled {
		t.Error("got a status that is not settled after a lease duration, want it settled")
	}
	stream, _ = server.Open(at(13))
	if err := server.Receive(at(13), stream, Handshake{Name: "new", Scope: serviceScope("s1")}.request()); err != nil {
		t.Fatal(err)
	}
	if lease := server.Status(at(14)).Leases[0]; lease.Name != "new" || lease.Behind != time.Second {
		t.Errorf("follower that has just joined: got lease %+v, want new with a lag of 1s", lease)
	}
}

// Follower names come from the wire, so the number of leases of a member is bounded. Expired leases are removed to make
// room, live leases never are.
func TestLeaseCountIsBounded(t *testing.T) {
	member := newTestMember(t)
	limit := maxLeasesPerStream * testLimits.MaxStreams
	open := func(now time.Time, name string) error {
		stream, err := member.server.Open(now)
		if err != nil {
			t.Fatal(err)
		}
		defer member.server.Close(stream)
		return member.server.Receive(now, stream, Handshake{Name: name}.request())
	}
	for n := range limit {
		if err := open(at(0), fmt.Sprint("f", n)); err != nil {
			t.Fatal(err)
		}
	}
	if err := open(at(1), "one more"); !errors.Is(err, ErrTooManyStreams) {
		t.Errorf("lease %d: got error %v, want %v", limit+1, err, ErrTooManyStreams)
	}
	if err := open(at(1), "f7"); err != nil {
		t.Errorf("follower with a lease: got error %v, want none", err)
	}
	if err := open(at(3.5), "one more"); err != nil {
		t.Errorf("after the other leases have expired: got error %v, want none", err)
	}
	if got := len(member.server.leases.leases); got != 2 {
		t.Errorf("got %d leases, want 2", got)
	}
}
