package controller

import "time"

// clock is Unix time that only moves forward: the wall clock is read once, at the start, the monotonic clock from
// then on.
type clock struct {
	start     time.Time // with its monotonic reading
	startUnix float64   // s; the same as Unix time
	wall      func() time.Time
}

func newClock() clock {
	start := time.Now()
	return clock{start: start, startUnix: unixSeconds(start), wall: time.Now}
}

// now is the Unix time in seconds.
func (c *clock) now() float64 { return c.startUnix + time.Since(c.start).Seconds() }

// wallOffset is by how many seconds the machine's clock has been set forward since the start, below 0: back.
func (c *clock) wallOffset() float64 { return unixSeconds(c.wall()) - c.now() }

func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / float64(time.Second) }
