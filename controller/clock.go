package controller

import "time"

// clock provides a Unix time that only moves forward: the wall clock is read once, at the start, and the monotonic
// clock is used from then on.
type clock struct {
	start     time.Time // with its monotonic reading
	startUnix float64   // s; start as Unix time
	wall      func() time.Time
}

func newClock() clock {
	start := time.Now()
	return clock{start: start, startUnix: unixSeconds(start), wall: time.Now}
}

// now returns the Unix time in seconds.
func (c *clock) now() float64 { return c.startUnix + time.Since(c.start).Seconds() }

// wallOffset returns the number of seconds by which the machine's clock was set forward since the start. It is negative
// if the clock was set back.
func (c *clock) wallOffset() float64 { return unixSeconds(c.wall()) - c.now() }

func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / float64(time.Second) }
