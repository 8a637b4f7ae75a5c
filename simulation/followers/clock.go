package followers

import (
	"time"

	"harehook.dev/harehook/simulation/eventqueue"
)

// epoch is when runs begin.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is the virtual clock of a run: it stands still but for the next event, to whose time it jumps.
type clock struct {
	elapsed time.Duration // since the epoch
	events  eventqueue.Queue[time.Duration]
}

// now is the time that the machines under test are given.
func (c *clock) now() time.Time { return epoch.Add(c.elapsed) }

// schedule has something done at a time of the run, at once if that is past.
func (c *clock) schedule(at time.Duration, run func()) { c.events.Schedule(max(at, c.elapsed), run) }

// after has something done some time from now.
func (c *clock) after(delay time.Duration, run func()) { c.schedule(c.elapsed+delay, run) }

// runUntil runs all that is due until a time, or until it is told to stop.
func (c *clock) runUntil(end time.Duration, stop func() bool) {
	for !stop() {
		next, due := c.events.PopDue(end)
		if !due {
			return
		}
		c.elapsed = next.At
		next.Run()
	}
}
