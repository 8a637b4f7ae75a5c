package configsync

import (
	"slices"
	"time"
)

// fullScopeLimiter limits the bytes a second that go out as whole scopes. Streams wait for it in the order in which they came,
// so that a crowd that comes back is served one after the other and holds up nobody who is in step.
type fullScopeLimiter struct {
	bytesPerSecond float64 // bytes a second
	burstBytes     float64 // bytes that may go at once
	availableBytes float64 // negative after a scope larger than what was left
	averageBytes   float64 // bytes of a scope, of the latest ones
	refilledAt     time.Time
	queue          []queuedStream
}

// queuedStream is a stream in the queue and when it was told to ask again.
type queuedStream struct {
	stream  *Stream
	retryAt time.Time
}

const (
	// initialAverageBytes is the size of a scope, in bytes, by which waits are estimated until one was sent.
	initialAverageBytes = 16 << 10
	// averagedScopes is over how many of the latest scopes the average goes.
	averagedScopes = 8
	// minRetryDelay keeps streams that wait from asking all the time.
	minRetryDelay = 10 * time.Millisecond
	// lateAfter is how long after its time the head of the queue may ask. Then it loses its place: it may be stuck in
	// a write, and must not hold up those behind it.
	lateAfter = time.Second
)

func newFullScopeLimiter(rate, burst float64) fullScopeLimiter {
	return fullScopeLimiter{bytesPerSecond: max(rate, 1), burstBytes: max(burst, 1), averageBytes: initialAverageBytes}
}

// acquire tells whether a stream may be sent a whole scope now, and else when to ask again.
func (a *fullScopeLimiter) acquire(now time.Time, stream *Stream) (wait time.Duration) {
	a.refill(now)
	place := a.queueIndex(stream)
	if place < 0 {
		a.queue = append(a.queue, queuedStream{stream, now})
		place = len(a.queue) - 1
	}
	if a.availableBytes > 0 {
		place -= a.dropLate(now, place)
	}
	if place == 0 && a.availableBytes > 0 {
		return 0
	}
	wait = a.estimateDelay(place)
	a.queue[place].retryAt = now.Add(wait)
	return wait
}

func (a *fullScopeLimiter) refill(now time.Time) {
	if a.refilledAt.IsZero() {
		a.availableBytes = a.burstBytes
	} else if now.After(a.refilledAt) {
		a.availableBytes = min(a.burstBytes, a.availableBytes+a.bytesPerSecond*now.Sub(a.refilledAt).Seconds())
	}
	a.refilledAt = now
}

func (a *fullScopeLimiter) queueIndex(stream *Stream) int {
	return slices.IndexFunc(a.queue, func(w queuedStream) bool { return w.stream == stream })
}

// dropLate takes those out of the queue who are before a place and did not ask when they should have, up to the first
// who is not late. It tells how many there were.
func (a *fullScopeLimiter) dropLate(now time.Time, place int) (dropped int) {
	for dropped < place && now.Sub(a.queue[dropped].retryAt) > lateAfter {
		dropped++
	}
	a.queue = slices.Delete(a.queue, 0, dropped)
	return dropped
}

// estimateDelay estimates when the stream at a place may have its scope. Those behind the head are told half of it, so that
// the next one asks in time if the scopes before it turn out small.
func (a *fullScopeLimiter) estimateDelay(place int) time.Duration {
	missing := max(0, -a.availableBytes) + float64(place)*a.averageBytes
	wait := time.Duration(missing / a.bytesPerSecond * float64(time.Second))
	if place > 0 {
		wait /= 2
	}
	return max(minRetryDelay, wait)
}

// charge books what was sent to the stream at the head of the queue.
func (a *fullScopeLimiter) charge(stream *Stream, bytes float64) {
	a.availableBytes -= bytes
	a.averageBytes += (bytes - a.averageBytes) / averagedScopes
	a.dequeue(stream)
}

// dequeue takes a stream out of the queue.
func (a *fullScopeLimiter) dequeue(stream *Stream) {
	if place := a.queueIndex(stream); place >= 0 {
		a.queue = slices.Delete(a.queue, place, place+1)
	}
}
