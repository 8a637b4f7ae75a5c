package transport

import "time"

// leaseCheckDivisor divides the lease duration. The result is the delay until the next check if a check finds that the
// lease has not expired.
const leaseCheckDivisor = 10

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

// checkLease is called by the lease timer. If the lease has expired, it calls StaleChanged(true), but only once for
// each expiry.
func (c *Client) checkLease() {
	c.stateMutex.Lock()
	expired := c.follower.Stale(time.Now())
	report := expired && !c.stale && c.running
	c.stale = c.stale || expired
	if !expired && c.running {
		c.leaseTimer.Reset(c.config.Lease / leaseCheckDivisor) // it was renewed in the meantime
	}
	c.stateMutex.Unlock()
	if report && c.config.StaleChanged != nil {
		c.config.StaleChanged(true)
	}
}
