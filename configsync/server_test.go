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

// checkFollower compares a follower's records with the source's.
func (member *testMember) checkFollower(f *Follower) {
	member.t.Helper()
	want := map[records.Key]*records.Record{}
	for _, record := range inScope(member.source.last().records, f.scope) {
		want[record.Key] = record
	}
	if f.Revision() != member.source.Revision() || !equalRecords(want, f.Records()) {
		member.t.Errorf("revision %d with %v, want %d with %v", f.Revision(), f.Records(), member.source.Revision(), want)
	}
	if routing := member.source.routingRevision(f.scope); f.RoutingRevision() != routing {
		member.t.Errorf("routes changed at revision %d, want %d", f.RoutingRevision(), routing)
	}
}

// A follower gets a full scope once, and deltas from then on.
func TestFollowerGetsFullScopeThenDeltas(t *testing.T) {
	member := newTestMember(t)
	member.commit(at(0), 3, []*records.Record{newRouteRecord(t, "a", "s1", 10), newRouteRecord(t, "b", "s2", 10), newRouteRecord(t, "c", "", 10)})
	f := NewFollower("f", services("s1"), testLimits.Lease, nil)
	c := connect(t, member.server, f, at(0))
	c.settle(at(0))
	member.checkFollower(f)

	member.commit(at(1), 5, oneRecord(newRouteRecord(t, "a", "s1", 20)))
	c.settle(at(1))
	member.checkFollower(f)
	member.commit(at(2), 6, oneRecord(newRouteRecord(t, "b", "s2", 20))) // not in its scope
	c.settle(at(2))
	member.checkFollower(f)
	member.commit(at(3), 7, oneRecord(newRouteRecord(t, "a", "s2", 20))) // moves out of its scope
	c.settle(at(3))
	member.checkFollower(f)
	member.commit(at(4), 8, oneRecord(newRouteRecord(t, "b", "s1", 20))) // and one into it
	c.settle(at(4))
	member.checkFollower(f)
	member.commit(at(5), 9, nil, routeKey("c"))
	c.settle(at(5))
	member.checkFollower(f)
	if got := member.server.Counts; got.FullScopes != 1 || got.Changes != 4 || got.EmptyUpdates != 1 || got.Accepted != 6 {
		t.Errorf("%+v", got)
	}
}

// What is committed while an update is unanswered is sent as one delta afterwards.
func TestBurstOfCommitsIsOneDelta(t *testing.T) {
	member := newTestMember(t)
	member.commit(at(0), 1, oneRecord(newRouteRecord(t, "a", "s1", 10)))
	f := NewFollower("f", services("s1"), testLimits.Lease, nil)
	c := connect(t, member.server, f, at(0))
	c.settle(at(0))
	member.commit(at(1), 2, oneRecord(newRouteRecord(t, "a", "s1", 11)))
	update := c.nextUpdate(at(1))
	for revision := uint64(3); revision < 100; revision++ {
		member.commit(at(1), revision, oneRecord(newRouteRecord(t, "a", "s1", float64(revision))))
		if c.send(at(1)) != nil {
			t.Fatal("a second update while the first is unanswered")
		}
	}
	c.receive(at(1), update)
	if messages := c.settle(at(1)); messages != 1 {
		t.Errorf("%d messages for a burst", messages)
	}
	member.checkFollower(f)
}

// A follower is further behind than the source's history reaches: no delta brings it up to date, so it gets a full scope.
func TestFollowerBehindHistoryGetsFullScope(t *testing.T) {
	member := newTestMember(t)
	member.source.known = 4
	member.commit(at(0), 1, oneRecord(newRouteRecord(t, "a", "s1", 10)))
	f := NewFollower("f", services("s1"), testLimits.Lease, nil)
	c := connect(t, member.server, f, at(0))
	c.settle(at(0))
	member.server.Close(c.stream)
	for revision := uint64(2); revision < 10; revision++ {
		member.commit(at(1), revision, oneRecord(newRouteRecord(t, fmt.Sprint("r", revision), "s1", 10)), routeKey("a"))
	}
	connect(t, member.server, f, at(2)).settle(at(2))
	member.checkFollower(f)
	if member.server.Counts.FullScopes != 2 || member.server.Counts.Changes != 0 {
		t.Errorf("%+v", member.server.Counts)
	}
}

// A stream is cut between an update and its answer, before or after the follower has accepted it: the next stream has to go
// on from what the follower has.
func TestStreamCutBetweenUpdateAndAnswer(t *testing.T) {
	for _, arrived := range []bool{false, true} {
		member := newTestMember(t)
		member.commit(at(0), 1, oneRecord(newRouteRecord(t, "a", "s1", 10)))
		f := NewFollower("f", services("s1"), testLimits.Lease, nil)
		c := connect(t, member.server, f, at(0))
		c.settle(at(0))
		member.commit(at(1), 2, oneRecord(newRouteRecord(t, "a", "s1", 11)))
		update := c.nextUpdate(at(1))
		if arrived {
			if _, accepted, err := f.Receive(update); err != nil || !accepted {
				t.Fatal(accepted, err)
			}
		}
		member.server.Close(c.stream)
		if status := member.server.Status(at(1)); status.ConvergedRevision != 1 {
			t.Errorf("converged revision %d before the member was answered", status.ConvergedRevision)
		}
		again := connect(t, member.server, f, at(1.5))
		again.settle(at(1.5))
		member.checkFollower(f)
		if got := member.server.Counts.FullScopes; got != 1 {
			t.Errorf("%d full scopes", got)
		}
		if status := member.server.Status(at(1.5)); status.ConvergedRevision != 2 {
			t.Errorf("converged revision %d", status.ConvergedRevision)
		}
	}
}

// A follower moves to a member that has applied less than it has accepted: the member sends no records until it has caught
// up.
func TestMemberBehindFollowerSendsNothing(t *testing.T) {
	member := newTestMember(t)
	member.commit(at(0), 5, oneRecord(newRouteRecord(t, "a", "s1", 10)))
	f := NewFollower("f", services("s1"), testLimits.Lease, nil)
	connect(t, member.server, f, at(0)).settle(at(0))

	behind := newTestMember(t)
	behind.commit(at(0), 3, oneRecord(newRouteRecord(t, "a", "s1", 9)))
	c := connect(t, behind.server, f, at(1))
	if update := c.nextUpdate(at(1)); update != nil {
		t.Fatalf("offered %v", update)
	}
	if status := behind.server.Status(at(1)); status.ConvergedRevision != 3 || status.Leases[0].Behind != 0 {
		t.Errorf("%+v", status)
	}
	behind.commit(at(2), 5, oneRecord(newRouteRecord(t, "a", "s1", 10)))
	if update := c.nextUpdate(at(2)); update != nil {
		t.Fatalf("offered %v", update)
	}
	behind.commit(at(2), 8, oneRecord(newRouteRecord(t, "a", "s1", 12)))
	c.settle(at(2))
	behind.checkFollower(f)
}

// A rejected revision is sent again after a backoff, a newer one at once, both with all that the follower lacks.
func TestRejectedRevisionIsSentAgainAfterBackoff(t *testing.T) {
	member := newTestMember(t)
	member.commit(at(0), 1, []*records.Record{newRouteRecord(t, "a", "s1", 10), newRouteRecord(t, "b", "s1", 10)})
	bad := true
	f := NewFollower("f", services("s1"), testLimits.Lease, func(_ uint64, accepted map[records.Key]*records.Record) error {
		if spec, err := accepted[routeKey("a")].Route(); err == nil && spec.TimeLimitMS == 666 && bad {
			return errors.New("666 is no time limit")
		}
		return nil
	})
	c := connect(t, member.server, f, at(0))
	c.settle(at(0))
	member.commit(at(1), 2, []*records.Record{newRouteRecord(t, "a", "s1", 666), newRouteRecord(t, "new", "s1", 5)}, routeKey("b"))
	c.settle(at(1))
	if f.Revision() != 1 || f.Rejected != 1 || f.Records()[routeKey("b")] == nil || f.Records()[routeKey("new")] != nil {
		t.Fatalf("after a NACK: revision %d, %v", f.Revision(), f.Records())
	}
	if lease := member.server.Status(at(1)).Leases[0]; lease.RejectedRevision != 2 || lease.Reason != "666 is no time limit" || lease.Accepted != 1 {
		t.Errorf("%+v", lease)
	}
	renew := func(seconds float64) {
		c.request(at(seconds), f.Renew(at(seconds)))
	}
	renew(3)
	renew(5)
	if update := c.nextUpdate(at(5)); update != nil {
		t.Fatal("the rejected revision was sent again at once")
	}
	member.commit(at(5), 4, oneRecord(newRouteRecord(t, "c", "s1", 7))) // newer, and as bad as before
	c.settle(at(5))
	if f.Revision() != 1 || f.Rejected != 2 {
		t.Errorf("revision %d, rejected %d", f.Revision(), f.Rejected)
	}
	renew(7)
	renew(9)
	renew(11)
	renew(13)
	renew(14.9)
	if update := c.nextUpdate(at(14.9)); update != nil {
		t.Fatal("offered again too early")
	}
	bad = false
	c.settle(at(15))
	member.checkFollower(f)
	if lease := member.server.Status(at(15)).Leases[0]; lease.RejectedRevision != 0 || lease.Accepted != 4 || lease.Behind != 0 {
		t.Errorf("%+v", lease)
	}
}

// A follower that opens a second stream replaces its first one; requests that still come by that are ignored.
func TestSecondStreamReplacesFirst(t *testing.T) {
	member := newTestMember(t)
	member.commit(at(0), 1, oneRecord(newRouteRecord(t, "a", "s1", 10)))
	old := NewFollower("f", services("s1"), testLimits.Lease, nil)
	first := connect(t, member.server, old, at(0))
	first.settle(at(0))
	member.commit(at(1), 2, oneRecord(newRouteRecord(t, "a", "s1", 11)))
	f := NewFollower("f", services("s1"), testLimits.Lease, nil)
	connect(t, member.server, f, at(1)).settle(at(1))
	if err := member.server.Receive(at(2), first.stream, old.Renew(at(2))); !errors.Is(err, ErrReplaced) {
		t.Errorf("the earlier stream: %v", err)
	}
	if _, _, err := first.stream.Send(at(2)); !errors.Is(err, ErrReplaced) {
		t.Errorf("the earlier stream: %v", err)
	}
	member.server.Close(first.stream)
	if status := member.server.Status(at(2)); status.ConvergedRevision != 2 || status.Live != 1 || status.Leases[0].Expires != at(4) {
		t.Errorf("%+v", status)
	}
}

// A follower that restarts with another scope begins without records and gets a full scope.
func TestRestartWithOtherScopeGetsFullScope(t *testing.T) {
	member := newTestMember(t)
	member.commit(at(0), 1, []*records.Record{newRouteRecord(t, "a", "s1", 10), newRouteRecord(t, "b", "s2", 10)})
	f := NewFollower("f", services("s1"), testLimits.Lease, nil)
	connect(t, member.server, f, at(0)).settle(at(0))
	f = NewFollower("f", services("s2"), testLimits.Lease, nil)
	c := connect(t, member.server, f, at(1))
	if status := member.server.Status(at(1)); status.ConvergedRevision != 0 {
		t.Errorf("converged revision %d while the follower has no records", status.ConvergedRevision)
	}
	c.settle(at(1))
	member.checkFollower(f)
}

// A follower sends nothing for a lease's time, perhaps because it is gone: its stream ends, and its lease has run out.
func TestSilentStreamEndsAfterLease(t *testing.T) {
	member := newTestMember(t)
	f := NewFollower("f", services("s1"), testLimits.Lease, nil)
	c := connect(t, member.server, f, at(0))
	c.settle(at(0))
	if _, wait, err := c.stream.Send(at(1)); err != nil || wait != 2*time.Second {
		t.Error(wait, err)
	}
	if _, _, err := c.stream.Send(at(3)); !errors.Is(err, ErrFollowerTimeout) {
		t.Error(err)
	}
	if status := member.server.Status(at(3)); status.Live != 0 || len(status.Leases) != 1 {
		t.Errorf("%+v", status)
	}
	if status := member.server.Status(at(6.1)); len(status.Leases) != 0 {
		t.Errorf("a lease that ran out is kept for ever: %+v", status)
	}
}

// A scope that is larger than a message may be ends the stream with an error, and uses up the limit as though it were sent.
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
	f := NewFollower("f", services("s1"), limits.Lease, nil)
	c := connect(t, server, f, at(0))
	c.receive(at(0), c.send(at(0)))
	_, _, err := c.stream.Send(at(0))
	if !errors.Is(err, ErrTooLarge) {
		t.Fatal(err)
	}
	if server.limiter.availableBytes >= limits.FullScopeBurstBytes || len(server.limiter.queue) != 0 {
		t.Errorf("left %v of %v, %d in the queue", server.limiter.availableBytes, limits.FullScopeBurstBytes, len(server.limiter.queue))
	}
}
