package configsync

import (
	"slices"
	"time"
)

const (
	// initialAverageBytes is the assumed average size of a full scope before any was sent, used to estimate delays.
	initialAverageBytes = 16 << 10
	// averagedScopes is the number of recent scopes over which the average size is computed.
	averagedScopes = 8
	// minRetryDelay prevents queued streams from polling continuously.
	minRetryDelay = 10 * time.Millisecond
	// lateAfter is the maximum time by which the head of the queue may miss its retry time. After it, the stream is
	// removed from the queue: it may be blocked in a write, and must not delay the streams behind it.
	lateAfter = time.Second
	// earlyRetryFactor is the fraction of the estimated delay after which a stream behind the head of the queue
	// retries, because the scopes ahead of it may be smaller than the average on which the estimate is based. With an
	// average of 1 MB, 4 scopes ahead and 1 MB/s, the fifth stream retries after 2 s instead of 4 s. If those scopes
	// are in fact 0.5 MB each, it retries just in time; otherwise it gets a new delay.
	earlyRetryFactor = 0.5
)

// fullScopeLimiter is a token bucket that limits the bytes per second sent as full scopes, so that many followers that
// reconnect at the same time do not delay the deltas of the others. Streams are served in the order in which they
// arrived, except that a stream that misses its retry time loses its place (see lateAfter).
type fullScopeLimiter struct {
	bytesPerSecond float64
	burstBytes     float64 // the maximum of availableBytes
	availableBytes float64 // negative after a scope that was larger than the available bytes
	averageBytes   float64 // average size of recent scopes
	refilledAt     time.Time
	queue          []queuedStream
}

// queuedStream is a stream that waits for a full scope, and the time at which it should retry.
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

// acquire returns 0 if a full scope may be sent to a stream now, and otherwise the delay before the caller should
// retry.
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

// queueIndex returns the index of a stream in the queue, or -1 if it is not queued.
func (l *fullScopeLimiter) queueIndex(stream *Stream) int {
	return slices.IndexFunc(l.queue, func(queued queuedStream) bool { return queued.stream == stream })
}

// dropLate removes the late streams at the head of the queue, up to the first that is not late or to the given index,
// and returns their number.
func (l *fullScopeLimiter) dropLate(now time.Time, index int) (dropped int) {
	for dropped < index && now.Sub(l.queue[dropped].retryAt) > lateAfter {
		dropped++
	}
	l.queue = slices.Delete(l.queue, 0, dropped)
	return dropped
}

// estimateDelay returns the delay before the stream at an index should retry: for the head the time until its scope may
// be sent, for the streams behind it earlyRetryFactor times the estimate.
func (l *fullScopeLimiter) estimateDelay(index int) time.Duration {
	missingBytes := max(0, -l.availableBytes) + float64(index)*l.averageBytes
	delay := time.Duration(missingBytes / l.bytesPerSecond * float64(time.Second))
	if index > 0 {
		delay = time.Duration(earlyRetryFactor * float64(delay))
	}
	return max(minRetryDelay, delay)
}

// charge subtracts the bytes of a scope that was sent to a stream and removes the stream from the queue.
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
