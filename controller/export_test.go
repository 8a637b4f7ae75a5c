package controller

// IterateAt handles what has come in, as of so many seconds after the controller's start.
func (c *Controller) IterateAt(after float64) {
	c.loop.now = c.loop.clock.startUnix + after
	c.loop.iterate(nil)
}
