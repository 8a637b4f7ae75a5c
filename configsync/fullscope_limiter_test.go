package configsync

import (
	"fmt"
	"testing"
	"time"

	"harehook.dev/harehook/records"
)

// Streams that wait for full scopes are served in the order in which they came, all of them, with most of the limit in use,
// whatever the size of a scope.
func TestFullScopeLimiterServesCrowdInOrder(t *testing.T) {
	for _, bytes := range []float64{1 << 10, 16 << 10, 300 << 10} {
		a := newFullScopeLimiter(1<<20, 64<<10)
		const waiting = 100
		streams := make([]*Stream, waiting)
		askAt := make([]time.Time, waiting)
		for n := range streams {
			streams[n], askAt[n] = &Stream{}, at(0)
		}
		now, asked := at(0), 0
		served := []int{}
		for len(served) < waiting {
			next := -1
			for n := range streams {
				if streams[n] != nil && (next < 0 || askAt[n].Before(askAt[next])) {
					next = n
				}
			}
			now = askAt[next]
			asked++
			if wait := a.acquire(now, streams[next]); wait > 0 {
				askAt[next] = now.Add(wait)
				continue
			}
			a.charge(streams[next], bytes)
			served = append(served, next)
			streams[next] = nil
		}
		for n, stream := range served {
			if n != stream {
				t.Errorf("scopes of %v bytes: served as number %d: %d", bytes, n, stream)
			}
		}
		least := (waiting - 1) * bytes / a.bytesPerSecond
		if took := now.Sub(at(0)).Seconds(); took > 1.3*least+0.1 {
			t.Errorf("scopes of %v bytes: %v s, %v s if the limit was fully used", bytes, took, least)
		}
		if asked > 30*waiting {
			t.Errorf("scopes of %v bytes: asked %d times", bytes, asked)
		}
	}
}

// A stream at the head of the queue does not ask any more, for instance because it is stuck in a write, and those behind it
// would wait for good: it has to lose its place.
func TestFullScopeLimiterSkipsLateStreams(t *testing.T) {
	a := newFullScopeLimiter(1000, 1000)
	dead, alive, dying := &Stream{}, &Stream{}, &Stream{}
	a.acquire(at(0), &Stream{})
	a.charge(a.queue[0].stream, 2000)
	deadAsks := at(0).Add(a.acquire(at(0), dead))
	a.acquire(at(0), dying)
	if wait := a.acquire(at(0), alive); wait == 0 {
		t.Fatal("served before its turn")
	}
	a.dequeue(dying)
	due := deadAsks.Add(lateAfter)
	if wait := a.acquire(due, alive); wait == 0 {
		t.Error("served before a head that is not too late yet")
	}
	if wait := a.acquire(due.Add(time.Millisecond), alive); wait != 0 {
		t.Errorf("delayed for %v by a head that does not ask any more", wait)
	}
	a.charge(alive, 100)
	if wait := a.acquire(due.Add(time.Millisecond), dead); wait != 0 {
		t.Errorf("one that lost its place waits for %v with nobody before it", wait)
	}
}

// The limiter refills by the time that passed, up to the burst; a clock that goes back refills nothing.
func TestFullScopeLimiterRefillsToBurst(t *testing.T) {
	a := newFullScopeLimiter(1000, 500)
	stream := &Stream{}
	spend := func(seconds, bytes float64) {
		t.Helper()
		if wait := a.acquire(at(seconds), stream); wait != 0 {
			t.Fatalf("at %v: wait %v", seconds, wait)
		}
		a.charge(stream, bytes)
	}
	spend(0, 1500)
	if wait := a.acquire(at(0), stream); wait != time.Second {
		t.Errorf("wait %v", wait)
	}
	if wait := a.acquire(at(-5), stream); wait != time.Second {
		t.Errorf("wait %v", wait)
	}
	spend(6, 0)
	if a.availableBytes != 500 {
		t.Errorf("left %v", a.availableBytes)
	}
}

// While many streams wait for full scopes, followers that are up to date get deltas at once. A stream that is closed or
// replaced while it waits leaves the queue.
func TestWaitingFullScopesDoNotDelayDeltas(t *testing.T) {
	source := newModelSource()
	limits := testLimits
	limits.FullScopeBytesPerSecond, limits.FullScopeBurstBytes = 100, 1
	server := NewServer("m1", source, limits, at(0))
	server.Committed(at(0), source.commit(1, oneRecord(newRouteRecord(t, "a", "s1", 10))).Revision)
	f := NewFollower("up to date", services("s1"), limits.Lease, nil)
	inStep := connect(t, server, f, at(0))
	inStep.settle(at(0))
	waiting := []*connection{}
	for n := range 20 {
		c := connect(t, server, NewFollower(fmt.Sprint("f", n), services("s1"), limits.Lease, nil), at(0))
		c.settle(at(0))
		if c.follower.Revision() != 0 {
			t.Fatal("served beyond the limit")
		}
		waiting = append(waiting, c)
	}
	server.Committed(at(0.1), source.commit(2, oneRecord(newRouteRecord(t, "a", "s1", 11))).Revision)
	inStep.settle(at(0.1))
	if f.Revision() != 2 {
		t.Error("delayed by streams that wait for full scopes")
	}
	for _, c := range waiting[:10] {
		server.Close(c.stream)
	}
	connect(t, server, waiting[10].follower, at(0.2))
	if got := server.limiter.queue[0].stream; got != waiting[11].stream {
		t.Errorf("the head is %q", got.Name())
	}
	if len(server.limiter.queue) != 9 {
		t.Errorf("%d in the queue", len(server.limiter.queue))
	}
}

// A follower that rejects a full scope again and again uses up the limit: it has to queue behind the others each time.
func TestRejectedFullScopeIsChargedAndQueuesAgain(t *testing.T) {
	source := newModelSource()
	limits := testLimits
	limits.FullScopeBytesPerSecond, limits.FullScopeBurstBytes = 1000, 1
	server := NewServer("m1", source, limits, at(0))
	server.Committed(at(0), source.commit(1, oneRecord(newRouteRecord(t, "a", "s1", 10))).Revision)
	rejecting := connect(t, server, NewFollower("rejecting", services("s1"), limits.Lease,
		func(uint64, map[records.Key]*records.Record) error { return fmt.Errorf("never") }), at(0))
	rejecting.settle(at(0))
	other := connect(t, server, NewFollower("other", services("s1"), limits.Lease, nil), at(0))
	other.settle(at(0))
	server.Committed(at(0), source.commit(2, oneRecord(newRouteRecord(t, "a", "s1", 11))).Revision)
	rejecting.settle(at(0))
	for tick := range 200 {
		now := at(float64(tick) / 100)
		rejecting.settle(now)
		other.settle(now)
		if rejecting.follower.Rejected == 2 && other.follower.Revision() == 0 {
			t.Fatal("the rejecting follower was served twice before the other once")
		}
	}
	if other.follower.Revision() != 2 || rejecting.follower.Rejected != 2 {
		t.Errorf("revision %d, rejected %d", other.follower.Revision(), rejecting.follower.Rejected)
	}
}
