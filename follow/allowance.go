package follow

import (
	"slices"
	"time"
)

// allowance limits the bytes a second that go out as whole scopes. Streams wait for it in the order in which they came,
// so that a crowd that comes back is served one after the other and holds up nobody who is in step.
type allowance struct {
	rate  float64 // bytes a second
	burst float64 // bytes that may go at once
	left  float64 // negative after a scope larger than what was left
	at    time.Time
	queue []*Stream
}

// take tells whether a stream may be sent a whole scope now, and else when to ask again.
func (a *allowance) take(now time.Time, stream *Stream) (wait time.Duration) {
	if a.at.IsZero() {
		a.left = a.burst
	} else if now.After(a.at) {
		a.left = min(a.burst, a.left+a.rate*now.Sub(a.at).Seconds())
	}
	a.at = now
	place := slices.Index(a.queue, stream)
	if place < 0 {
		a.queue = append(a.queue, stream)
		place = len(a.queue) - 1
	}
	if place == 0 && a.left > 0 {
		return 0
	}
	return a.waitFor(place)
}

// averageScope is the size of a scope, in bytes, by which the wait of a stream further back in the queue is estimated.
const averageScope = 16 << 10

// leastWait keeps streams that wait from asking all the time.
const leastWait = 10 * time.Millisecond

func (a *allowance) waitFor(place int) time.Duration {
	missing := max(0, -a.left) + float64(place)*averageScope
	return max(leastWait, time.Duration(missing/a.rate*float64(time.Second)))
}

// spend books what was sent to the stream at the head of the queue.
func (a *allowance) spend(stream *Stream, bytes float64) {
	a.left -= bytes
	a.leave(stream)
}

// leave takes a stream out of the queue.
func (a *allowance) leave(stream *Stream) {
	a.queue = slices.DeleteFunc(a.queue, func(other *Stream) bool { return other == stream })
}
