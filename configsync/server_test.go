package configsync

import (
	"errors"
	"fmt"
	"strings"
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

func (w *testMember) commit(now time.Time, revision uint64, put []*records.Record, removed ...records.Key) {
	w.server.Committed(now, w.source.commit(revision, put, removed...))
}

// checkFollower compares a follower's records with the source's.
func (w *testMember) checkFollower(f *Follower) {
	w.t.Helper()
	want := map[records.Key]*records.Record{}
	for _, record := range inScope(w.source.last().records, f.scope) {
		want[record.Key] = record
	}
	if f.Revision() != w.source.Revision() || !equalRecords(want, f.Records()) {
		w.t.Errorf("revision %d with %v, want %d with %v", f.Revision(), f.Records(), w.source.Revision(), want)
	}
	if routing := w.source.routingRevision(f.scope); f.RoutingRevision() != routing {
		w.t.Errorf("routes changed at revision %d, want %d", f.RoutingRevision(), routing)
	}
}

// A follower gets a full scope once, and deltas from then on.
func TestFollowerGetsFullScopeThenDeltas(t *testing.T) {
	w := newTestMember(t)
	w.commit(at(0), 3, []*records.Record{newRouteRecord(t, "a", "s1", 10), newRouteRecord(t, "b", "s2", 10), newRouteRecord(t, "c", "", 10)})
	f := NewFollower("f", services("s1"), testLimits.Lease, nil)
	c := connect(t, w.server, f, at(0))
	c.settle(at(0))
	w.checkFollower(f)

	w.commit(at(1), 5, oneRecord(newRouteRecord(t, "a", "s1", 20)))
	c.settle(at(1))
	w.checkFollower(f)
	w.commit(at(2), 6, oneRecord(newRouteRecord(t, "b", "s2", 20))) // not in its scope
	c.settle(at(2))
	w.checkFollower(f)
	w.commit(at(3), 7, oneRecord(newRouteRecord(t, "a", "s2", 20))) // moves out of its scope
	c.settle(at(3))
	w.checkFollower(f)
	w.commit(at(4), 8, oneRecord(newRouteRecord(t, "b", "s1", 20))) // and one into it
	c.settle(at(4))
	w.checkFollower(f)
	w.commit(at(5), 9, nil, routeKey("c"))
	c.settle(at(5))
	w.checkFollower(f)
	if got := w.server.Counts; got.FullScopes != 1 || got.Changes != 4 || got.Progress != 1 || got.Accepted != 6 {
		t.Errorf("%+v", got)
	}
}

// What is committed while an update is unanswered is sent as one delta afterwards.
func TestBurstOfCommitsIsOneDelta(t *testing.T) {
	w := newTestMember(t)
	w.commit(at(0), 1, oneRecord(newRouteRecord(t, "a", "s1", 10)))
	f := NewFollower("f", services("s1"), testLimits.Lease, nil)
	c := connect(t, w.server, f, at(0))
	c.settle(at(0))
	w.commit(at(1), 2, oneRecord(newRouteRecord(t, "a", "s1", 11)))
	offer := c.nextUpdate(at(1))
	for revision := uint64(3); revision < 100; revision++ {
		w.commit(at(1), revision, oneRecord(newRouteRecord(t, "a", "s1", float64(revision))))
		if c.send(at(1)) != nil {
			t.Fatal("a second offer while the first is not answered")
		}
	}
	c.receive(at(1), offer)
	if messages := c.settle(at(1)); messages != 1 {
		t.Errorf("%d messages for a burst", messages)
	}
	w.checkFollower(f)
}

// A follower is further behind than the source's history reaches: no delta brings it up to date, so it gets a full scope.
func TestFollowerBehindHistoryGetsFullScope(t *testing.T) {
	w := newTestMember(t)
	w.source.known = 4
	w.commit(at(0), 1, oneRecord(newRouteRecord(t, "a", "s1", 10)))
	f := NewFollower("f", services("s1"), testLimits.Lease, nil)
	c := connect(t, w.server, f, at(0))
	c.settle(at(0))
	w.server.Close(c.stream)
	for revision := uint64(2); revision < 10; revision++ {
		w.commit(at(1), revision, oneRecord(newRouteRecord(t, fmt.Sprint("r", revision), "s1", 10)), routeKey("a"))
	}
	connect(t, w.server, f, at(2)).settle(at(2))
	w.checkFollower(f)
	if w.server.Counts.FullScopes != 2 || w.server.Counts.Changes != 0 {
		t.Errorf("%+v", w.server.Counts)
	}
}

// A stream is cut between an update and its answer, before or after the follower has accepted it: the next stream has to go
// on from what the follower has.
func TestStreamCutBetweenUpdateAndAnswer(t *testing.T) {
	for _, arrived := range []bool{false, true} {
		w := newTestMember(t)
		w.commit(at(0), 1, oneRecord(newRouteRecord(t, "a", "s1", 10)))
		f := NewFollower("f", services("s1"), testLimits.Lease, nil)
		c := connect(t, w.server, f, at(0))
		c.settle(at(0))
		w.commit(at(1), 2, oneRecord(newRouteRecord(t, "a", "s1", 11)))
		offer := c.nextUpdate(at(1))
		if arrived {
			if _, accepted, err := f.Receive(at(1), offer); err != nil || !accepted {
				t.Fatal(accepted, err)
			}
		}
		w.server.Close(c.stream)
		if status := w.server.Status(at(1)); status.ConvergedRevision != 1 {
			t.Errorf("in force %d before the member was answered", status.ConvergedRevision)
		}
		again := connect(t, w.server, f, at(1.5))
		again.settle(at(1.5))
		w.checkFollower(f)
		if got := w.server.Counts.FullScopes; got != 1 {
			t.Errorf("%d whole scopes", got)
		}
		if status := w.server.Status(at(1.5)); status.ConvergedRevision != 2 {
			t.Errorf("in force %d", status.ConvergedRevision)
		}
	}
}

// A follower moves to a member that has applied less than it has accepted: the member sends no records until it has caught
// up.
func TestMemberBehindFollowerSendsNothing(t *testing.T) {
	w := newTestMember(t)
	w.commit(at(0), 5, oneRecord(newRouteRecord(t, "a", "s1", 10)))
	f := NewFollower("f", services("s1"), testLimits.Lease, nil)
	connect(t, w.server, f, at(0)).settle(at(0))

	behind := newTestMember(t)
	behind.commit(at(0), 3, oneRecord(newRouteRecord(t, "a", "s1", 9)))
	c := connect(t, behind.server, f, at(1))
	if offer := c.nextUpdate(at(1)); offer != nil {
		t.Fatalf("offered %v", offer)
	}
	if status := behind.server.Status(at(1)); status.ConvergedRevision != 3 || status.Leases[0].Behind != 0 {
		t.Errorf("%+v", status)
	}
	behind.commit(at(2), 5, oneRecord(newRouteRecord(t, "a", "s1", 10)))
	if offer := c.nextUpdate(at(2)); offer != nil {
		t.Fatalf("offered %v", offer)
	}
	behind.commit(at(2), 8, oneRecord(newRouteRecord(t, "a", "s1", 12)))
	c.settle(at(2))
	behind.checkFollower(f)
}

// A rejected revision is sent again after a backoff, a newer one at once, both with all that the follower lacks.
func TestRejectedRevisionIsSentAgainAfterBackoff(t *testing.T) {
	w := newTestMember(t)
	w.commit(at(0), 1, []*records.Record{newRouteRecord(t, "a", "s1", 10), newRouteRecord(t, "b", "s1", 10)})
	bad := true
	f := NewFollower("f", services("s1"), testLimits.Lease, func(_ uint64, held map[records.Key]*records.Record) error {
		if spec, err := held[routeKey("a")].Route(); err == nil && spec.TimeLimitMS == 666 && bad {
			return errors.New("666 is no time limit")
		}
		return nil
	})
	c := connect(t, w.server, f, at(0))
	c.settle(at(0))
	w.commit(at(1), 2, []*records.Record{newRouteRecord(t, "a", "s1", 666), newRouteRecord(t, "new", "s1", 5)}, routeKey("b"))
	c.settle(at(1))
	if f.Revision() != 1 || f.Rejected != 1 || f.Records()[routeKey("b")] == nil || f.Records()[routeKey("new")] != nil {
		t.Fatalf("after a refusal: revision %d, %v", f.Revision(), f.Records())
	}
	if lease := w.server.Status(at(1)).Leases[0]; lease.RejectedRevision != 2 || lease.Reason != "666 is no time limit" || lease.Accepted != 1 {
		t.Errorf("%+v", lease)
	}
	renew := func(seconds float64) {
		c.request(at(seconds), f.Renew(at(seconds)))
	}
	renew(3)
	renew(5)
	if offer := c.nextUpdate(at(5)); offer != nil {
		t.Fatal("the refused revision was offered at once")
	}
	w.commit(at(5), 4, oneRecord(newRouteRecord(t, "c", "s1", 7))) // newer, and as bad as before
	c.settle(at(5))
	if f.Revision() != 1 || f.Rejected != 2 {
		t.Errorf("revision %d, refused %d", f.Revision(), f.Rejected)
	}
	renew(7)
	renew(9)
	renew(11)
	renew(13)
	renew(14.9)
	if offer := c.nextUpdate(at(14.9)); offer != nil {
		t.Fatal("offered again too early")
	}
	bad = false
	c.settle(at(15))
	w.checkFollower(f)
	if lease := w.server.Status(at(15)).Leases[0]; lease.RejectedRevision != 0 || lease.Accepted != 4 || lease.Behind != 0 {
		t.Errorf("%+v", lease)
	}
}

// A follower's lag runs from the first revision that it lacks, over NACKs and renewals, until it accepts the newest.
func TestLagRunsFromFirstMissingCommit(t *testing.T) {
	w := newTestMember(t)
	w.commit(at(0), 1, oneRecord(newRouteRecord(t, "a", "s1", 10)))
	refuse := true
	f := NewFollower("f", services("s1"), testLimits.Lease, func(revision uint64, _ map[records.Key]*records.Record) error {
		if revision > 1 && refuse {
			return errors.New("not now")
		}
		return nil
	})
	c := connect(t, w.server, f, at(0))
	c.settle(at(0))
	behind := func(seconds float64, want time.Duration) {
		t.Helper()
		if got := w.server.Status(at(seconds)).Leases[0].Behind; got != want {
			t.Errorf("at %v: behind for %v, want %v", seconds, got, want)
		}
	}
	behind(1, 0)
	w.commit(at(1), 2, oneRecord(newRouteRecord(t, "a", "s1", 11)))
	behind(1.5, 500*time.Millisecond)
	w.commit(at(2), 3, oneRecord(newRouteRecord(t, "a", "s1", 12)))
	c.settle(at(2))
	behind(2, time.Second)
	c.request(at(2.5), f.Renew(at(2.5)))
	behind(3, 2*time.Second)
	for revision := uint64(4); revision < 4+maxCommits; revision++ { // more than are remembered
		w.server.Committed(at(3), records.Change{Revision: revision})
	}
	w.source.commit(4+maxCommits, nil)
	c.request(at(3), f.Renew(at(3)))
	behind(4, 3*time.Second)
	refuse = false
	c.settle(at(4))
	w.server.Committed(at(4), records.Change{Revision: 4 + maxCommits})
	behind(4, 0)
}

// A member that has just started does not know when earlier revisions were committed: a follower's lag runs from its start.
func TestLagAfterMemberRestart(t *testing.T) {
	w := newTestMember(t)
	w.commit(at(0), 7, oneRecord(newRouteRecord(t, "a", "s1", 10)))
	server := NewServer("m1", w.source, testLimits, at(10))
	stream, err := server.Open(at(12))
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Receive(at(12), stream, Handshake{Name: "old", Scope: services("s1"), Revision: 3}.request()); err != nil {
		t.Fatal(err)
	}
	status := server.Status(at(12.5))
	if status.Settled || status.ConvergedRevision != 3 || status.Leases[0].Behind != 2500*time.Millisecond {
		t.Errorf("%+v", status)
	}
	if !server.Status(at(13)).Settled {
		t.Error("not settled after a lease's time")
	}
	stream, _ = server.Open(at(13))
	if err := server.Receive(at(13), stream, Handshake{Name: "new", Scope: services("s1")}.request()); err != nil {
		t.Fatal(err)
	}
	if lease := server.Status(at(14)).Leases[0]; lease.Name != "new" || lease.Behind != time.Second {
		t.Errorf("one that has only come: %+v", lease)
	}
}

// A follower that opens a second stream replaces its first one; requests that still come by that are ignored.
func TestSecondStreamReplacesFirst(t *testing.T) {
	w := newTestMember(t)
	w.commit(at(0), 1, oneRecord(newRouteRecord(t, "a", "s1", 10)))
	old := NewFollower("f", services("s1"), testLimits.Lease, nil)
	first := connect(t, w.server, old, at(0))
	first.settle(at(0))
	w.commit(at(1), 2, oneRecord(newRouteRecord(t, "a", "s1", 11)))
	f := NewFollower("f", services("s1"), testLimits.Lease, nil)
	connect(t, w.server, f, at(1)).settle(at(1))
	if err := w.server.Receive(at(2), first.stream, old.Renew(at(2))); !errors.Is(err, ErrReplaced) {
		t.Errorf("the earlier stream: %v", err)
	}
	if _, _, err := first.stream.Send(at(2)); !errors.Is(err, ErrReplaced) {
		t.Errorf("the earlier stream: %v", err)
	}
	w.server.Close(first.stream)
	if status := w.server.Status(at(2)); status.ConvergedRevision != 2 || status.Live != 1 || status.Leases[0].Expires != at(4) {
		t.Errorf("%+v", status)
	}
}

// A follower that restarts with another scope begins without records and gets a full scope.
func TestRestartWithOtherScopeGetsFullScope(t *testing.T) {
	w := newTestMember(t)
	w.commit(at(0), 1, []*records.Record{newRouteRecord(t, "a", "s1", 10), newRouteRecord(t, "b", "s2", 10)})
	f := NewFollower("f", services("s1"), testLimits.Lease, nil)
	connect(t, w.server, f, at(0)).settle(at(0))
	f = NewFollower("f", services("s2"), testLimits.Lease, nil)
	c := connect(t, w.server, f, at(1))
	if status := w.server.Status(at(1)); status.ConvergedRevision != 0 {
		t.Errorf("in force %d while the follower holds nothing", status.ConvergedRevision)
	}
	c.settle(at(1))
	w.checkFollower(f)
}

// A follower sends nothing for a lease's time, perhaps because it is gone: its stream ends, and its lease has run out.
func TestSilentStreamEndsAfterLease(t *testing.T) {
	w := newTestMember(t)
	f := NewFollower("f", services("s1"), testLimits.Lease, nil)
	c := connect(t, w.server, f, at(0))
	c.settle(at(0))
	if _, wait, err := c.stream.Send(at(1)); err != nil || wait != 2*time.Second {
		t.Error(wait, err)
	}
	if _, _, err := c.stream.Send(at(3)); !errors.Is(err, ErrFollowerTimeout) {
		t.Error(err)
	}
	if status := w.server.Status(at(3)); status.Live != 0 || len(status.Leases) != 1 {
		t.Errorf("%+v", status)
	}
	if status := w.server.Status(at(6.1)); len(status.Leases) != 0 {
		t.Errorf("an ended lease is kept for ever: %+v", status)
	}
}

// Followers' names come from the wire, so the leases of a member are bounded: those that ran out make room, live ones never
// do.
func TestLeaseCountIsBounded(t *testing.T) {
	w := newTestMember(t)
	limit := maxLeasesPerStream * testLimits.MaxStreams
	open := func(now time.Time, name string) error {
		stream, err := w.server.Open(now)
		if err != nil {
			t.Fatal(err)
		}
		defer w.server.Close(stream)
		return w.server.Receive(now, stream, Handshake{Name: name}.request())
	}
	for n := range limit {
		if err := open(at(0), fmt.Sprint("f", n)); err != nil {
			t.Fatal(err)
		}
	}
	if err := open(at(1), "one more"); !errors.Is(err, ErrTooManyStreams) {
		t.Errorf("lease %d: %v", limit+1, err)
	}
	if err := open(at(1), "f7"); err != nil {
		t.Errorf("a follower that is known: %v", err)
	}
	if err := open(at(3.5), "one more"); err != nil {
		t.Errorf("though the others ran out: %v", err)
	}
	if got := len(w.server.leases.leases); got != 2 {
		t.Errorf("%d leases", got)
	}
}

// A member serves no more streams than it may, and another one once one has closed.
func TestStreamCountIsBounded(t *testing.T) {
	w := newTestMember(t)
	for range testLimits.MaxStreams {
		if _, err := w.server.Open(at(0)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := w.server.Open(at(0)); !errors.Is(err, ErrTooManyStreams) {
		t.Error(err)
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
	server.Committed(at(0), source.commit(1, many))
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

// A NACK's reason is truncated between characters.
func TestRejectionReasonIsTruncated(t *testing.T) {
	w := newTestMember(t)
	w.commit(at(0), 1, nil)
	f := NewFollower("f", services("s1"), testLimits.Lease, func(uint64, map[records.Key]*records.Record) error {
		return errors.New("x" + strings.Repeat("ü", maxReasonBytes))
	})
	connect(t, w.server, f, at(0)).settle(at(0))
	reason := w.server.Status(at(0)).Leases[0].Reason
	if len(reason) != maxReasonBytes-1 || strings.Trim(reason, "ü") != "x" {
		t.Errorf("%q", reason)
	}
}

// An answer to an update that was not sent, or was answered before, ends the stream.
func TestUnknownNonceEndsStream(t *testing.T) {
	w := newTestMember(t)
	w.commit(at(0), 1, nil)
	f := NewFollower("f", services("s1"), testLimits.Lease, nil)
	c := connect(t, w.server, f, at(0))
	offer := c.nextUpdate(at(0))
	reply, _, err := f.Receive(at(0), offer)
	if err != nil {
		t.Fatal(err)
	}
	c.request(at(0), reply)
	if err := w.server.Receive(at(0), c.stream, reply); err == nil {
		t.Error("an answer was taken twice")
	}
	reply.TypeUrl = "other"
	if err := w.server.Receive(at(0), c.stream, reply); err == nil {
		t.Error("another type was taken")
	}
}

// A stream's first request comes from anyone: names that can't be shown and scopes that are too large are rejected.
func TestHandshakeRejectsHostileInput(t *testing.T) {
	many := make([]string, maxScopeNames+1)
	for n := range many {
		many[n] = fmt.Sprint("s", n)
	}
	for name, hello := range map[string]Handshake{
		"no name":           {},
		"long name":         {Name: strings.Repeat("x", maxNameBytes+1)},
		"control character": {Name: "a\x1b[2J"},
		"many services":     {Name: "f", Scope: records.Scope{Services: many}},
		"many zones":        {Name: "f", Scope: records.Scope{Zones: many}},
		"empty service":     {Name: "f", Scope: records.Scope{Services: []string{""}}},
		"long zone":         {Name: "f", Scope: records.Scope{Zones: []string{strings.Repeat("x", maxNameBytes+1)}}},
	} {
		w := newTestMember(t)
		stream, err := w.server.Open(at(0))
		if err != nil {
			t.Fatal(err)
		}
		if err := w.server.Receive(at(0), stream, hello.request()); err == nil {
			t.Errorf("%s: taken", name)
		}
		if len(w.server.leases.leases) != 0 || len(w.server.byName) != 0 {
			t.Errorf("%s: it is kept", name)
		}
	}
	w := newTestMember(t)
	stream, _ := w.server.Open(at(0))
	repeated := Handshake{Name: "f", Scope: records.Scope{Services: []string{"b", "a", "b"}}, Revision: 1<<64 - 1}
	if err := w.server.Receive(at(0), stream, repeated.request()); err != nil {
		t.Fatal(err)
	}
	if got := stream.handshake.Scope.Services; len(got) != 2 || got[0] != "a" {
		t.Errorf("services %v", got)
	}
}
