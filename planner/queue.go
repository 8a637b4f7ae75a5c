package planner

import "slices"

// Use of the channel to the proxies.
const (
	idleShare       = 0.10 // part up to which the queue counts as empty, so that changes may start
	ordinaryShare   = 0.35 // part of the channel's queue that ordinary changes may fill: it can run 5 times slower
	bindShare       = 0.60 // part that levels and tables for proxies that joined may fill: what must go finds room
	urgentShare     = 0.80 // part that urgent changes may fill
	maxQueueSeconds = 2.0  // s of the channel's pace that what may wait fills: beyond it is out of date, drains wait
	maxCallShare    = 0.20 // part that one call to the relay may fill: lost answers may put it there three times
	probeSeconds    = 3.0  // s from the last sending until a proxy is asked what has left; then up to four times that
)

// reserveEntry books a line to the proxies of a pool.
func (c *Planner) reserveEntry(pool int) {
	if w := c.subsets[pool].messageTimes; len(c.subsets[pool].members) > 0 && (len(w) == 0 || w[len(w)-1] != c.now) {
		c.subsets[pool].messageTimes = append(w, c.now)
	}
	c.reserve(c.subsets[pool].members, 1)
	c.inFlight.addWeight(c.now, pool)
}

// reserve counts lines for each of some proxies into the channel.
func (c *Planner) reserve(proxies []int, each float64) {
	if c.inFlight.reserve(c.now, proxies, each) {
		c.host.RequestAck(c.inFlight.nonces % nonceModulo)
	}
}

// available is how many lines may still be written until a part of the queue is full. What waits is known by
// acknowledgements alone: the channel can be far slower than stated, and for long. A queue that holds far more than the
// channel sends in a while is not filled by what may wait: orders took 20 s to get through it.
func (c *Planner) available(queue float64) float64 {
	size := c.config.MaxInFlightEntries
	if queue < urgentShare && c.config.EntriesPerSecond > 0 {
		size = min(size, maxQueueSeconds*c.config.EntriesPerSecond)
	}
	return queue*size - c.inFlight.entries
}

// fits tells whether lines may be written into a part of the queue, and into the call that is next. If they
// are more than may ever wait, they go when the channel is nearly empty.
func (c *Planner) fits(lines, queue float64) bool {
	call, alone := c.inFlight.unanswered, c.available(idleShare) > 0 && lines <= c.available(urgentShare)
	return (lines <= c.available(queue) || alone) && (call == 0 || call+lines <= maxCallShare*c.config.MaxInFlightEntries)
}

// mayPublish tells whether lines to all proxies of a pool and messages for them fit into a part of the limits.
func (c *Planner) mayPublish(pool int, each, queue float64) bool {
	w := slices.DeleteFunc(c.subsets[pool].messageTimes, func(at float64) bool { return c.now-at > c.config.MessageWindow })
	c.subsets[pool].messageTimes = w
	lines, limit := c.inFlight.cost(c.now, c.subsets[pool].members, each), queue*float64(c.config.MaxMessages)-1
	more := len(w) == 0 || w[len(w)-1] != c.now
	return c.fits(lines, queue) && (!more || c.config.MaxMessages == 0 || len(w) == 0 || float64(len(w)) < limit)
}

// probe guards against a channel that counts as full for good: those that were to confirm the last nonce may
// have been renewed, and nothing else goes out. Who is bound once more confirms that all before has left.
func (c *Planner) probe() {
	if s := c.inFlight.batches; len(s) == 0 || c.now < s[len(s)-1].at+probeSeconds*(1+min(c.inFlight.probes, 3)) {
		return
	}
	c.inFlight.probes++
	here := c.proxies.connected()
	if len(here) > 0 {
		p := here[int(c.random()*float64(len(here)))]
		c.proxies.dequeue(p)
		c.bind(p)
	}
}

// CommandsAccepted says that the call with a nonce was answered.
func (c *Planner) CommandsAccepted(now float64, nonce int) {
	c.now = now
	c.inFlight.accepted(nonce)
}

// CommandsRetried says that the call with a nonce goes out again though it may have been carried out, all of it
// or its first part.
func (c *Planner) CommandsRetried(now float64, nonce int, whole bool) {
	c.now = now
	c.inFlight.retried(nonce, whole)
}

// Acknowledged says that a proxy applied what was sent up to a nonce; all that was ordered before has left.
func (c *Planner) Acknowledged(now float64, proxy, nonce int) {
	c.now = now
	c.inFlight.acknowledged(proxy, nonce)
}
