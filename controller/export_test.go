package controller

// IterateAt handles what has come in as of a time in seconds after the core's start.
func (c *Controller) IterateAt(after float64) {
	c.now = c.unix + after
	c.iterate(nil)
}
