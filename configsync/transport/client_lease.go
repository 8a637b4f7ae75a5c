package transport

import "time"

// leaseCheckFraction of the lease is the delay of the next check where the timer has found the lease renewed.
const leaseCheckFraction = 10

func (c *Client) startLeaseTimer() {
	c.stateMutex.Lock()
	defer c.stateMutex.Unlock()
	c.leaseTimer = time.AfterFunc(c.config.Lease, c.checkLease)
	c.running = true
}

func (c *Client) stopLeaseTimer() {
	c.stateMutex.Lock()
	defer c.stateMutex.Unlock()
	c.running = false
	c.leaseTimer.Stop()
}

// checkLease reports, once, that the lease has run out. The lease timer calls it.
func (c *Client) checkLease() {
	c.stateMutex.Lock()
	expired := c.follower.Stale(time.Now())
	report := expired && !c.stale && c.running
	c.stale = c.stale || expired
	if !expired && c.running {
		c.leaseTimer.Reset(c.config.Lease / leaseCheckFraction) // it was renewed meanwhile
	}
	c.stateMutex.Unlock()
	if report && c.config.StaleChanged != nil {
		c.config.StaleChanged(true)
	}
}
