package controller

// IterateAt runs an iteration of the event loop at a time given in seconds after the controller's start.
func (c *Controller) IterateAt(after float64) {
	c.loop.now = c.loop.clock.startUnix + after
	c.loop.iterate(nil)
}
