package transport

import "time"

// leaseCheckFraction is the divisor of the lease duration that yields the delay of the next check if the timer finds
// that the lease was renewed.
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

// checkLease reports only once that the lease has expired. It is called by the lease timer.
func (c *Client) checkLease() {
	c.stateMutex.Lock()
	expired := c.follower.Stale(time.Now())
	report := expired && !c.stale && c.running
	c.stale = c.stale || expired
	if !expired && c.running {
		c.leaseTimer.Reset(c.config.Lease / leaseCheckFraction) // it was renewed in the meantime
	}
	c.stateMutex.Unlock()
	if report && c.config.StaleChanged != nil {
		c.config.StaleChanged(true)
	}
}
