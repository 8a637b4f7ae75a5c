package configsync

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"harehook.dev/harehook/records"
)

// testMember is a member with a source.
type testMember struct {
	t      testing.TB
	source *modelSource
	server *Server
}

func newTestMember(t testing.TB) *testMember {
	source := newModelSource()
	return &testMember{t, source, NewServer("m1", source, testLimits, at(0))}
}

func (member *testMember) commit(now time.Time, revision uint64, put []*records.Record, removed ...records.Key) {
	member.server.Committed(now, member.source.commit(revision, put, removed...).Revision)
}

// checkFollower checks that a follower's revisions and records match those of the source.
func (member *testMember) checkFollower(f *Follower) {
	member.t.Helper()
	want := map[records.Key]*records.Record{}
	for _, record := range recordsInScope(member.source.latestState().records, f.scope) {
		want[record.Key] = record
	}
	if f.Revision() != member.source.Revision() || !equalRecords(want, f.Records()) {
		member.t.Errorf("got revision %d with %v, want %d with %v", f.Revision(), f.Records(), member.source.Revision(), want)
	}
	if routing := member.source.routingRevision(f.scope); f.RoutingRevision() != routing {
		member.t.Errorf("got routing revision %d, want %d", f.RoutingRevision(), routing)
	}
}

// A follower receives the full scope only once, and then deltas.
func TestFollowerGetsFullScopeThenDeltas(t *testing.T) {
	member := newTestMember(t)
	member.commit(at(0), 3, []*records.Record{newRouteRecord(t, "a", "s1", 10), newRouteRecord(t, "b", "s2", 10), newRouteRecord(t, "c", "", 10)})
	f := NewFollower("f", serviceScope("s1"), testLimits.Lease, nil)
	c := connect(t, member.server, f, at(0))
	c.deliverAll(at(0))
	member.checkFollower(f)

	member.commit(at(1), 5, oneRecord(newRouteRecord(t, "a", "s1", 20)))
	c.deliverAll(at(1))
	member.checkFollower(f)
	member.commit(at(2), 6, oneRecord(newRouteRecord(t, "b", "s2", 20))) // not in its scope
	c.deliverAll(at(2))
	member.checkFollower(f)
	member.commit(at(3), 7, oneRecord(newRouteRecord(t, "a", "s2", 20))) // leaves its scope
	c.deliverAll(at(3))
	member.checkFollower(f)
	member.commit(at(4), 8, oneRecord(newRouteRecord(t, "b", "s1", 20))) // enters its scope
	c.deliverAll(at(4))
	member.checkFollower(f)
	member.commit(at(5), 9, nil, routeKey("c"))
	c.deliverAll(at(5))
	member.checkFollower(f)
	if got := member.server.Counts; got.FullScopes != 1 || got.Changes != 4 || got.EmptyUpdates != 1 || got.Accepted != 6 {
		t.Errorf("got %+v, want 1 full scope, 4 changes, 1 empty update and 6 ACKs", got)
	}
}

// All revisions committed while an update is unanswered are sent as one delta after the answer.
func TestBurstOfCommitsIsOneDelta(t *testing.T) {
	member := newTestMember(t)
	member.commit(at(0), 1, oneRecord(newRouteRecord(t, "a", "s1", 10)))
	f := NewFollower("f", serviceScope("s1"), testLimits.Lease, nil)
	c := connect(t, member.server, f, at(0))
	c.deliverAll(at(0))
	member.commit(at(1), 2, oneRecord(newRouteRecord(t, "a", "s1", 11)))
	update := c.nextUpdate(at(1))
	for revision := uint64(3); revision < 100; revision++ {
		member.commit(at(1), revision, oneRecord(newRouteRecord(t, "a", "s1", float64(revision))))
		if c.send(at(1)) != nil {
			t.Fatal("got a second update while the first is unanswered, want none")
		}
	}
	c.receive(at(1), update)
	if messages := c.deliverAll(at(1)); messages != 1 {
		t.Errorf("got %d messages for a burst of commits, want 1", messages)
	}
	member.checkFollower(f)
}

// A follower that is behind the oldest revision of the source's history cannot be updated by a delta, so it receives a
// full scope.
func TestFollowerBehindHistoryGetsFullScope(t *testing.T) {
	member := newTestMember(t)
	member.source.historyLength = 4
	member.commit(at(0), 1, oneRecord(newRouteRecord(t, "a", "s1", 10)))
	f := NewFollower("f", serviceScope("s1"), testLimits.Lease, nil)
	c := connect(t, member.server, f, at(0))
	c.deliverAll(at(0))
	member.server.Close(c.stream)
	for revision := uint64(2); revision < 10; revision++ {
		member.commit(at(1), revision, oneRecord(newRouteRecord(t, fmt.Sprint("r", revision), "s1", 10)), routeKey("a"))
	}
	connect(t, member.server, f, at(2)).deliverAll(at(2))
	member.checkFollower(f)
	if member.server.Counts.FullScopes != 2 || member.server.Counts.Changes != 0 {
		t.Errorf("got %+v, want 2 full scopes and no changes", member.server.Counts)
	}
}

// If a stream breaks between an update and its answer, before or after the follower has accepted the update, the next
// stream must continue from the revision that the follower has accepted.
func TestReconnectBetweenUpdateAndAnswer(t *testing.T) {
	for _, delivered := range []bool{false, true} {
		member := newTestMember(t)
		member.commit(at(0), 1, oneRecord(newRouteRecord(t, "a", "s1", 10)))
		f := NewFollower("f", serviceScope("s1"), testLimits.Lease, nil)
		c := connect(t, member.server, f, at(0))
		c.deliverAll(at(0))
		member.commit(at(1), 2, oneRecord(newRouteRecord(t, "a", "s1", 11)))
		update := c.nextUpdate(at(1))
		if delivered {
			if _, accepted, err := f.Receive(update); err != nil || !accepted {
				t.Fatalf("got accepted %v, error %v; want accepted", accepted, err)
			}
		}
		member.server.Close(c.stream)
		if status := member.server.Status(at(1)); status.ConvergedRevision != 1 {
			t.Errorf("before the member received the answer: got converged revision %d, want 1", status.ConvergedRevision)
		}
		again := connect(t, member.server, f, at(1.5))
		again.deliverAll(at(1.5))
		member.checkFollower(f)
		if got := member.server.Counts.FullScopes; got != 1 {
			t.Errorf("update received %v: got %d full scopes, want 1", delivered, got)
		}
		if status := member.server.Status(at(1.5)); status.ConvergedRevision != 2 {
			t.Errorf("update received %v: got converged revision %d, want 2", delivered, status.ConvergedRevision)
		}
	}
}

// If a follower connects to a member that has not applied the follower's accepted revision yet, the member sends no
// update until it has applied a later revision.
func TestMemberBehindFollowerSendsNothing(t *testing.T) {
	member := newTestMember(t)
	member.commit(at(0), 5, oneRecord(newRouteRecord(t, "a", "s1", 10)))
	f := NewFollower("f", serviceScope("s1"), testLimits.Lease, nil)
	connect(t, member.server, f, at(0)).deliverAll(at(0))

	behind := newTestMember(t)
	behind.commit(at(0), 3, oneRecord(newRouteRecord(t, "a", "s1", 9)))
	c := connect(t, behind.server, f, at(1))
	if update := c.nextUpdate(at(1)); update != nil {
		t.Fatalf("member at revision 3: got update %v, want none", update)
	}
	if status := behind.server.Status(at(1)); status.ConvergedRevision != 3 || status.Leases[0].Behind != 0 {
		t.Errorf("got %+v, want converged revision 3 and no lag", status)
	}
	behind.commit(at(2), 5, oneRecord(newRouteRecord(t, "a", "s1", 10)))
	if update := c.nextUpdate(at(2)); update != nil {
		t.Fatalf("member at revision 5: got update %v, want none", update)
	}
	behind.commit(at(2), 8, oneRecord(newRouteRecord(t, "a", "s1", 12)))
	c.deliverAll(at(2))
	behind.checkFollower(f)
}

// A rejected revision is sent again after a backoff, a newer one immediately. Both contain all changes since the
// accepted revision.
func TestRejectedRevisionIsSentAgainAfterBackoff(t *testing.T) {
	member := newTestMember(t)
	member.commit(at(0), 1, []*records.Record{newRouteRecord(t, "a", "s1", 10), newRouteRecord(t, "b", "s1", 10)})
	bad := true
	f := NewFollower("f", serviceScope("s1"), testLimits.Lease, func(_ uint64, accepted map[records.Key]*records.Record) error {
		if spec, err := accepted[routeKey("a")].Route(); err == nil && spec.TimeLimitMS == 666 && bad {
			return errors.New("666 is no time limit")
		}
		return nil
	})
	c := connect(t, member.server, f, at(0))
	c.deliverAll(at(0))
	member.commit(at(1), 2, []*records.Record{newRouteRecord(t, "a", "s1", 666), newRouteRecord(t, "new", "s1", 5)}, routeKey("b"))
	c.deliverAll(at(1))
	if f.Revision() != 1 || f.Rejected != 1 || f.Records()[routeKey("b")] == nil || f.Records()[routeKey("new")] != nil {
		t.Fatalf("after a NACK: got revision %d, %d rejections and records %v, want the records of revision 1 and 1 rejection",
			f.Revision(), f.Rejected, f.Records())
	}
	if lease := member.server.Status(at(1)).Leases[0]; lease.RejectedRevision != 2 || lease.Reason != "666 is no time limit" || lease.Accepted != 1 {
		t.Errorf("got lease %+v, want accepted revision 1 and rejected revision 2 with its reason", lease)
	}
	renew := func(seconds float64) {
		c.request(at(seconds), f.Renew(at(seconds)))
	}
	renew(3)
	renew(5)
	if update := c.nextUpdate(at(5)); update != nil {
		t.Fatal("got the rejected revision before the backoff elapsed, want no update")
	}
	member.commit(at(5), 4, oneRecord(newRouteRecord(t, "c", "s1", 7))) // newer, with the same invalid record
	c.deliverAll(at(5))
	if f.Revision() != 1 || f.Rejected != 2 {
		t.Errorf("got revision %d and %d rejections, want revision 1 and 2 rejections", f.Revision(), f.Rejected)
	}
	renew(7)
	renew(9)
	renew(11)
	renew(13)
	renew(14.9)
	if update := c.nextUpdate(at(14.9)); update != nil {
		t.Fatal("got the rejected revision 9.9 s after the NACK, want no update before 10 s")
	}
	bad = false
	c.deliverAll(at(15))
	member.checkFollower(f)
	if lease := member.server.Status(at(15)).Leases[0]; lease.RejectedRevision != 0 || lease.Accepted != 4 || lease.Behind != 0 {
		t.Errorf("got lease %+v, want accepted revision 4, no rejection and no lag", lease)
	}
}

// When a follower opens a second stream, the first one is replaced and requests that still arrive on it are ignored.
func TestSecondStreamReplacesFirst(t *testing.T) {
	member := newTestMember(t)
	member.commit(at(0), 1, oneRecord(newRouteRecord(t, "a", "s1", 10)))
	old := NewFollower("f", serviceScope("s1"), testLimits.Lease, nil)
	first := connect(t, member.server, old, at(0))
	first.deliverAll(at(0))
	member.commit(at(1), 2, oneRecord(newRouteRecord(t, "a", "s1", 11)))
	f := NewFollower("f", serviceScope("s1"), testLimits.Lease, nil)
	connect(t, member.server, f, at(1)).deliverAll(at(1))
	if err := member.server.Receive(at(2), first.stream, old.Renew(at(2))); !errors.Is(err, ErrReplaced) {
		t.Errorf("Receive on the replaced stream: got error %v, want %v", err, ErrReplaced)
	}
	if _, _, err := first.stream.Send(at(2)); !errors.Is(err, ErrReplaced) {
		t.Errorf("Send on the replaced stream: got error %v, want %v", err, ErrReplaced)
	}
	member.server.Close(first.stream)
	if status := member.server.Status(at(2)); status.ConvergedRevision != 2 || status.Live != 1 || status.Leases[0].Expires != at(4) {
		t.Errorf("got %+v, want converged revision 2 and 1 live lease that expires at %v", status, at(4))
	}
}

// A follower that restarts with another scope has no records at first and receives a full scope.
func TestRestartWithOtherScopeGetsFullScope(t *testing.T) {
	member := newTestMember(t)
	member.commit(at(0), 1, []*records.Record{newRouteRecord(t, "a", "s1", 10), newRouteRecord(t, "b", "s2", 10)})
	f := NewFollower("f", serviceScope("s1"), testLimits.Lease, nil)
	connect(t, member.server, f, at(0)).deliverAll(at(0))
	f = NewFollower("f", serviceScope("s2"), testLimits.Lease, nil)
	c := connect(t, member.server, f, at(1))
	if status := member.server.Status(at(1)); status.ConvergedRevision != 0 {
		t.Errorf("while the follower has no records: got converged revision %d, want 0", status.ConvergedRevision)
	}
	c.deliverAll(at(1))
	member.checkFollower(f)
}

// If a follower sends no request for a lease duration, for example because it has crashed, its stream ends and its
// lease expires.
func TestSilentStreamEndsAfterLease(t *testing.T) {
	member := newTestMember(t)
	f := NewFollower("f", serviceScope("s1"), testLimits.Lease, nil)
	c := connect(t, member.server, f, at(0))
	c.deliverAll(at(0))
	if _, wait, err := c.stream.Send(at(1)); err != nil || wait != 2*time.Second {
		t.Errorf("at 1 s: got wait %v, error %v; want 2s", wait, err)
	}
	if _, _, err := c.stream.Send(at(3)); !errors.Is(err, ErrFollowerTimeout) {
		t.Errorf("at 3 s: got error %v, want %v", err, ErrFollowerTimeout)
	}
	if status := member.server.Status(at(3)); status.Live != 0 || len(status.Leases) != 1 {
		t.Errorf("got %+v, want 1 lease that is not live", status)
	}
	if status := member.server.Status(at(6.1)); len(status.Leases) != 0 {
		t.Errorf("more than a lease duration after the expiry: got %+v, want no leases", status)
	}
}

// A scope that exceeds the maximum message size ends the stream with an error, and is charged to the full-scope limiter
// as if it had been sent.
func TestScopeOverMessageLimitEndsStream(t *testing.T) {
	source := newModelSource()
	limits := testLimits
	limits.MaxMessage = 2000
	server := NewServer("m1", source, limits, at(0))
	var many []*records.Record
	for n := range 20 {
		many = append(many, newRouteRecord(t, fmt.Sprint("r", n), "s1", 10))
	}
	server.Committed(at(0), source.commit(1, many).Revision)
	f := NewFollower("f", serviceScope("s1"), limits.Lease, nil)
	c := connect(t, server, f, at(0))
	c.receive(at(0), c.send(at(0)))
	_, _, err := c.stream.Send(at(0))
	if !errors.Is(err, ErrTooLarge) {
		t.Fatalf("got error %v, want %v", err, ErrTooLarge)
	}
	if server.limiter.availableBytes >= limits.FullScopeBurstBytes || len(server.limiter.queue) != 0 {
		t.Errorf("got %v available bytes and %d queued streams, want less than %v and none",
			server.limiter.availableBytes, len(server.limiter.queue), limits.FullScopeBurstBytes)
	}
}
