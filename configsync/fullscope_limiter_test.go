package configsync

import (
	"fmt"
	"testing"
	"time"

	"harehook.dev/harehook/records"
)

// All streams that wait for full scopes are served in the order in which they arrived, and most of the limit is used,
// regardless of the size of a scope.
func TestFullScopeLimiterServesStreamsInOrder(t *testing.T) {
	for _, bytes := range []float64{1 << 10, 16 << 10, 300 << 10} {
		limiter := newFullScopeLimiter(1<<20, 64<<10)
		const waiting = 100
		streams := make([]*Stream, waiting)
		retryAt := make([]time.Time, waiting)
		for n := range streams {
			streams[n], retryAt[n] = &Stream{}, at(0)
		}
		now, attempts := at(0), 0
		served := []int{}
		for len(served) < waiting {
			next := -1
			for n := range streams {
				if streams[n] != nil && (next < 0 || retryAt[n].Before(retryAt[next])) {
					next = n
				}
			}
			now = retryAt[next]
			attempts++
			if wait := limiter.acquire(now, streams[next]); wait > 0 {
				retryAt[next] = now.Add(wait)
				continue
			}
			limiter.charge(streams[next], bytes)
			served = append(served, next)
			streams[next] = nil
		}
		for n, stream := range served {
			if n != stream {
				t.Errorf("scopes of %v bytes: got stream %d at position %d, want stream %d", bytes, stream, n, n)
			}
		}
		minimum := (waiting - 1) * bytes / limiter.bytesPerSecond
		if elapsed := now.Sub(at(0)).Seconds(); elapsed > 1.3*minimum+0.1 {
			t.Errorf("scopes of %v bytes: got %v s, want at most %v s (%v s at full use of the limit)", bytes, elapsed, 1.3*minimum+0.1, minimum)
		}
		if attempts > 30*waiting {
			t.Errorf("scopes of %v bytes: got %d calls of acquire, want at most %d", bytes, attempts, 30*waiting)
		}
	}
}

// A stream at the head of the queue that does not retry, for example because it is blocked in a write, must be removed
// from the queue. Otherwise the streams behind it would wait forever.
func TestFullScopeLimiterSkipsLateStreams(t *testing.T) {
	limiter := newFullScopeLimiter(1000, 1000)
	stuck, active, closed := &Stream{}, &Stream{}, &Stream{}
	limiter.acquire(at(0), &Stream{})
	limiter.charge(limiter.queue[0].stream, 2000)
	stuckRetryAt := at(0).Add(limiter.acquire(at(0), stuck))
	limiter.acquire(at(0), closed)
	if wait := limiter.acquire(at(0), active); wait == 0 {
		t.Fatal("the second stream was served before the head of the queue")
	}
	limiter.dequeue(closed)
	lateAt := stuckRetryAt.Add(lateAfter)
	if wait := limiter.acquire(lateAt, active); wait == 0 {
		t.Error("the second stream was served although the head of the queue is not late yet")
	}
	if wait := limiter.acquire(lateAt.Add(time.Millisecond), active); wait != 0 {
		t.Errorf("got wait %v behind a head that is late, want 0", wait)
	}
	limiter.charge(active, 100)
	if wait := limiter.acquire(lateAt.Add(time.Millisecond), stuck); wait != 0 {
		t.Errorf("got wait %v for a removed stream that retries with an empty queue, want 0", wait)
	}
}

// The limiter refills in proportion to the elapsed time, up to the burst size. A clock that goes back adds nothing.
func TestFullScopeLimiterRefillsToBurst(t *testing.T) {
	limiter := newFullScopeLimiter(1000, 500)
	stream := &Stream{}
	consume := func(seconds, bytes float64) {
		t.Helper()
		if wait := limiter.acquire(at(seconds), stream); wait != 0 {
			t.Fatalf("at %v s: got wait %v, want 0", seconds, wait)
		}
		limiter.charge(stream, bytes)
	}
	consume(0, 1500)
	if wait := limiter.acquire(at(0), stream); wait != time.Second {
		t.Errorf("at 0 s: got wait %v, want 1s", wait)
	}
	if wait := limiter.acquire(at(-5), stream); wait != time.Second {
		t.Errorf("at -5 s: got wait %v, want 1s", wait)
	}
	consume(6, 0)
	if limiter.availableBytes != 500 {
		t.Errorf("got %v available bytes, want 500", limiter.availableBytes)
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
	f := NewFollower("up to date", serviceScope("s1"), limits.Lease, nil)
	upToDate := connect(t, server, f, at(0))
	upToDate.deliverAll(at(0))
	waiting := []*connection{}
	for n := range 20 {
		c := connect(t, server, NewFollower(fmt.Sprint("f", n), serviceScope("s1"), limits.Lease, nil), at(0))
		c.deliverAll(at(0))
		if c.follower.Revision() != 0 {
			t.Fatal("a full scope was sent beyond the limit")
		}
		waiting = append(waiting, c)
	}
	server.Committed(at(0.1), source.commit(2, oneRecord(newRouteRecord(t, "a", "s1", 11))).Revision)
	upToDate.deliverAll(at(0.1))
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
	rejecting := connect(t, server, NewFollower("rejecting", serviceScope("s1"), limits.Lease,
		func(uint64, map[records.Key]*records.Record) error { return fmt.Errorf("never") }), at(0))
	rejecting.deliverAll(at(0))
	other := connect(t, server, NewFollower("other", serviceScope("s1"), limits.Lease, nil), at(0))
	other.deliverAll(at(0))
	server.Committed(at(0), source.commit(2, oneRecord(newRouteRecord(t, "a", "s1", 11))).Revision)
	rejecting.deliverAll(at(0))
	for tick := range 200 {
		now := at(float64(tick) / 100)
		rejecting.deliverAll(now)
		other.deliverAll(now)
		if rejecting.follower.Rejected == 2 && other.follower.Revision() == 0 {
			t.Fatal("the rejecting follower was served twice before the other follower was served")
		}
	}
	if other.follower.Revision() != 2 || rejecting.follower.Rejected != 2 {
		t.Errorf("got revision %d and %d rejections, want revision 2 and 2 rejections", other.follower.Revision(), rejecting.follower.Rejected)
	}
}
