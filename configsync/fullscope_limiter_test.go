package configsync

import (
	"fmt"
	"testing"
	"time"

	"harehook.dev/harehook/records"
)

// All streams that wait for full scopes are served in the order in which they arrived, and most of the limit is used,
// regardless of the size of a scope.
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
				t.Errorf("scopes of %v bytes: got stream %d at position %d, want stream %d", bytes, stream, n, n)
			}
		}
		least := (waiting - 1) * bytes / a.bytesPerSecond
		if took := now.Sub(at(0)).Seconds(); took > 1.3*least+0.1 {
			t.Errorf("scopes of %v bytes: got %v s, want at most %v s (%v s at full use of the limit)", bytes, took, 1.3*least+0.1, least)
		}
		if asked > 30*waiting {
			t.Errorf("scopes of %v bytes: got %d calls of acquire, want at most %d", bytes, asked, 30*waiting)
		}
	}
}

// A stream at the head of the queue that does not retry, for example because it is blocked in a write, must be removed
// from the queue. Otherwise the streams behind it would wait forever.
func TestFullScopeLimiterSkipsLateStreams(t *testing.T) {
	a := newFullScopeLimiter(1000, 1000)
	dead, alive, dying := &Stream{}, &Stream{}, &Stream{}
	a.acquire(at(0), &Stream{})
	a.charge(a.queue[0].stream, 2000)
	deadAsks := at(0).Add(a.acquire(at(0), dead))
	a.acquire(at(0), dying)
	if wait := a.acquire(at(0), alive); wait == 0 {
		t.Fatal("the second stream was served before the head of the queue")
	}
	a.dequeue(dying)
	due := deadAsks.Add(lateAfter)
	if wait := a.acquire(due, alive); wait == 0 {
		t.Error("the second stream was served although the head of the queue is not late yet")
	}
	if wait := a.acquire(due.Add(time.Millisecond), alive); wait != 0 {
		t.Errorf("got wait %v behind a head that is late, want 0", wait)
	}
	a.charge(alive, 100)
	if wait := a.acquire(due.Add(time.Millisecond), dead); wait != 0 {
		t.Errorf("got wait %v for a removed stream that retries with an empty queue, want 0", wait)
	}
}

// The limiter refills in proportion to the elapsed time, up to the burst size. A clock that goes back adds nothing.
func TestFullScopeLimiterRefillsToBurst(t *testing.T) {
	a := newFullScopeLimiter(1000, 500)
	stream := &Stream{}
	spend := func(seconds, bytes float64) {
		t.Helper()
		if wait := a.acquire(at(seconds), stream); wait != 0 {
			t.Fatalf("at %v s: got wait %v, want 0", seconds, wait)
		}
		a.charge(stream, bytes)
	}
	spend(0, 1500)
	if wait := a.acquire(at(0), stream); wait != time.Second {
		t.Errorf("at 0 s: got wait %v, want 1s", wait)
	}
	if wait := a.acquire(at(-5), stream); wait != time.Second {
		t.Errorf("at -5 s: got wait %v, want 1s", wait)
	}
	spend(6, 0)
	if a.availableBytes != 500 {
		t.Errorf("got %v available bytes, want 500", a.availableBytes)
	}
}

// While many streams wait for full scopes, followers that are up to date receive deltas immediately. A stream that is
// closed or replaced while it waits is removed from the queue.
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
			t.Fatal("a full scope was sent beyond the limit")
		}
		waiting = append(waiting, c)
	}
	server.Committed(at(0.1), source.commit(2, oneRecord(newRouteRecord(t, "a", "s1", 11))).Revision)
	inStep.settle(at(0.1))
	if f.Revision() != 2 {
		t.Error("the delta was delayed by streams that wait for full scopes")
	}
	for _, c := range waiting[:10] {
		server.Close(c.stream)
	}
	connect(t, server, waiting[10].follower, at(0.2))
	if got := server.limiter.queue[0].stream; got != waiting[11].stream {
		t.Errorf("got %q at the head of the queue, want %q", got.Name(), waiting[11].stream.Name())
	}
	if len(server.limiter.queue) != 9 {
		t.Errorf("got %d streams in the queue, want 9", len(server.limiter.queue))
	}
}

// A follower that repeatedly rejects a full scope consumes the limit, so it must wait behind the other streams each
// time.
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
			t.Fatal("the rejecting follower was served twice before the other follower was served")
		}
	}
	if other.follower.Revision() != 2 || rejecting.follower.Rejected != 2 {
		t.Errorf("got revision %d and %d rejections, want revision 2 and 2 rejections", other.follower.Revision(), rejecting.follower.Rejected)
	}
}
