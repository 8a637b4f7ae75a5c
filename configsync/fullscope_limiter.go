package configsync

import (
	"slices"
	"time"
)

const (
	// initialAverageBytes is the size of a full scope by which delays are estimated until one was sent.
	initialAverageBytes = 16 << 10
	// averagedScopes is the number of latest scopes that the average size covers.
	averagedScopes = 8
	// minRetryDelay keeps queued streams from asking continuously.
	minRetryDelay = 10 * time.Millisecond
	// lateAfter is how long after its time the head of the queue may ask. Then it loses its place: its stream may be
	// stuck in a write, and must not delay those behind it.
	lateAfter = time.Second
	// earlyRetryFactor is the part of the estimated delay after which a stream behind the head of the queue asks again.
	// The estimate goes by the average size: with 4 scopes of 1 MB ahead at 1 MB/s, the fifth stream asks after 2 s instead
	// of 4 s. If those turn out to have 0.5 MB it asks just in time, else it is told a new delay.
	earlyRetryFactor = 0.5
)

// fullScopeLimiter limits the bytes a second that are sent as full scopes. Streams are served in the order in which they
// came, so that many followers that reconnect together do not delay the deltas of the others.
type fullScopeLimiter struct {
	bytesPerSecond float64
	burstBytes     float64 // that may be sent at once
	availableBytes float64 // negative after a scope larger than what was available
	averageBytes   float64 // of the latest scopes
	refilledAt     time.Time
	queue          []queuedStream
}

// queuedStream is a stream that waits for a full scope, and when it was told to ask again.
type queuedStream struct {
	stream  *Stream
	retryAt time.Time
}

func newFullScopeLimiter(bytesPerSecond, burstBytes float64) fullScopeLimiter {
	return fullScopeLimiter{
		bytesPerSecond: max(bytesPerSecond, 1),
		burstBytes:     max(burstBytes, 1),
		averageBytes:   initialAverageBytes,
	}
}

// acquire returns 0 if a stream may be sent a full scope now, and else after how long to ask again.
func (l *fullScopeLimiter) acquire(now time.Time, stream *Stream) (retryAfter time.Duration) {
	l.refill(now)
	index := l.queueIndex(stream)
	if index < 0 {
		l.queue = append(l.queue, queuedStream{stream: stream, retryAt: now})
		index = len(l.queue) - 1
	}
	if l.availableBytes > 0 {
		index -= l.dropLate(now, index)
	}
	if index == 0 && l.availableBytes > 0 {
		return 0
	}
	retryAfter = l.estimateDelay(index)
	l.queue[index].retryAt = now.Add(retryAfter)
	return retryAfter
}

func (l *fullScopeLimiter) refill(now time.Time) {
	if l.refilledAt.IsZero() {
		l.availableBytes = l.burstBytes
	} else if now.After(l.refilledAt) {
		refill := l.bytesPerSecond * now.Sub(l.refilledAt).Seconds()
		l.availableBytes = min(l.burstBytes, l.availableBytes+refill)
	}
	l.refilledAt = now
}

// queueIndex returns the index of a stream in the queue, or -1.
func (l *fullScopeLimiter) queueIndex(stream *Stream) int {
	return slices.IndexFunc(l.queue, func(queued queuedStream) bool { return queued.stream == stream })
}

// dropLate removes the streams before an index that did not ask in time, up to the first that is not late, and returns
// their number.
func (l *fullScopeLimiter) dropLate(now time.Time, index int) (dropped int) {
	for dropped < index && now.Sub(l.queue[dropped].retryAt) > lateAfter {
		dropped++
	}
	l.queue = slices.Delete(l.queue, 0, dropped)
	return dropped
}

// estimateDelay returns after how long the stream at an index asks again: the head when it may have its scope, those behind
// it by earlyRetryFactor sooner.
func (l *fullScopeLimiter) estimateDelay(index int) time.Duration {
	missingBytes := max(0, -l.availableBytes) + float64(index)*l.averageBytes
	delay := time.Duration(missingBytes / l.bytesPerSecond * float64(time.Second))
	if index > 0 {
		delay = time.Duration(earlyRetryFactor * float64(delay))
	}
	return max(minRetryDelay, delay)
}

// charge accounts for a scope that was sent to the stream at the head of the queue.
func (l *fullScopeLimiter) charge(stream *Stream, bytes float64) {
	l.availableBytes -= bytes
	l.averageBytes += (bytes - l.averageBytes) / averagedScopes
	l.dequeue(stream)
}

// dequeue removes a stream from the queue.
func (l *fullScopeLimiter) dequeue(stream *Stream) {
	if index := l.queueIndex(stream); index >= 0 {
		l.queue = slices.Delete(l.queue, index, index+1)
	}
}
