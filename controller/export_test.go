package controller

// TurnAt handles what has come in as of a time in seconds after the core's start.
func (c *Controller) TurnAt(after float64) {
	c.now = c.unix + after
	c.turn(nil)
}
