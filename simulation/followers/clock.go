package followers

import (
	"time"

	"harehook.dev/harehook/simulation/eventqueue"
)

// epoch is the time at which runs begin.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is the virtual clock of a run. Its time advances only when an event runs, to the time of that event.
type clock struct {
	elapsed time.Duration // since the epoch
	events  eventqueue.Queue[time.Duration]
}

// now returns the time that is passed to the state machines under test.
func (c *clock) now() time.Time { return epoch.Add(c.elapsed) }

// schedule schedules run at a time since the epoch, or at the current time if that has passed.
func (c *clock) schedule(at time.Duration, run func()) { c.events.Schedule(max(at, c.elapsed), run) }

// after schedules run after a delay.
func (c *clock) after(delay time.Duration, run func()) { c.schedule(c.elapsed+delay, run) }

// runUntil runs the events that are due at the end or before, until stop returns true.
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
