package configsync

import (
	"slices"
	"time"
)

// allowance limits the bytes a second that go out as whole scopes. Streams wait for it in the order in which they came,
// so that a crowd that comes back is served one after the other and holds up nobody who is in step.
type allowance struct {
	rate    float64 // bytes a second
	burst   float64 // bytes that may go at once
	left    float64 // negative after a scope larger than what was left
	average float64 // bytes of a scope, of the latest ones
	at      time.Time
	queue   []waiter
}

// waiter is a stream in the queue and when it was told to ask again.
type waiter struct {
	stream *Stream
	askAt  time.Time
}

const (
	// firstAverage is the size of a scope, in bytes, by which waits are estimated until one was sent.
	firstAverage = 16 << 10
	// averageOver is over how many of the latest scopes the average goes.
	averageOver = 8
	// leastWait keeps streams that wait from asking all the time.
	leastWait = 10 * time.Millisecond
	// absentAfter is how long after its time the head of the queue may ask. Then it loses its place: it may be stuck in
	// a write, and must not hold up those behind it.
	absentAfter = time.Second
)

func newAllowance(rate, burst float64) allowance {
	return allowance{rate: max(rate, 1), burst: max(burst, 1), average: firstAverage}
}

// take tells whether a stream may be sent a whole scope now, and else when to ask again.
func (a *allowance) take(now time.Time, stream *Stream) (wait time.Duration) {
	a.refill(now)
	place := a.place(stream)
	if place < 0 {
		a.queue = append(a.queue, waiter{stream, now})
		place = len(a.queue) - 1
	}
	if a.left > 0 {
		place -= a.dropAbsent(now, place)
	}
	if place == 0 && a.left > 0 {
		return 0
	}
	wait = a.waitFor(place)
	a.queue[place].askAt = now.Add(wait)
	return wait
}

func (a *allowance) refill(now time.Time) {
	if a.at.IsZero() {
		a.left = a.burst
	} else if now.After(a.at) {
		a.left = min(a.burst, a.left+a.rate*now.Sub(a.at).Seconds())
	}
	a.at = now
}

func (a *allowance) place(stream *Stream) int {
	return slices.IndexFunc(a.queue, func(w waiter) bool { return w.stream == stream })
}

// dropAbsent takes those out of the queue who are before a place and did not ask when they should have, up to the first
// who is not late. It tells how many there were.
func (a *allowance) dropAbsent(now time.Time, place int) (dropped int) {
	for dropped < place && now.Sub(a.queue[dropped].askAt) > absentAfter {
		dropped++
	}
	a.queue = slices.Delete(a.queue, 0, dropped)
	return dropped
}

// waitFor estimates when the stream at a place may have its scope. Those behind the head are told half of it, so that
// the next one asks in time if the scopes before it turn out small.
func (a *allowance) waitFor(place int) time.Duration {
	missing := max(0, -a.left) + float64(place)*a.average
	wait := time.Duration(missing / a.rate * float64(time.Second))
	if place > 0 {
		wait /= 2
	}
	return max(leastWait, wait)
}

// spend books what was sent to the stream at the head of the queue.
func (a *allowance) spend(stream *Stream, bytes float64) {
	a.left -= bytes
	a.average += (bytes - a.average) / averageOver
	a.leave(stream)
}

// leave takes a stream out of the queue.
func (a *allowance) leave(stream *Stream) {
	if place := a.place(stream); place >= 0 {
		a.queue = slices.Delete(a.queue, place, place+1)
	}
}
