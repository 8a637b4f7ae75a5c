package planner

import (
	"maps"
	"slices"
)

// simulatedChannel is a Host that delivers a planner's commands to proxies at the stated rate of the channel, in order.
// The proxies acknowledge each message. It contains the clock and the endpoint list of a test.
type simulatedChannel struct {
	planner *Planner
	now     float64
	wakeAt  float64
	nonce   int

	tables      map[int]map[uint32]float64 // weights as commanded, by table and node
	boundTo     map[int]int                // table as commanded, by proxy
	entries     map[int]float64            // of the current batch, by proxy
	queue       []channelMessage
	busyUntil   float64                    // s, when the channel has delivered its queue
	held        map[int]map[uint32]float64 // weights that each bound proxy uses, by node
	joinedAt    map[int]float64            // s, by proxy
	unavailable map[uint32]float64         // s, when the list first showed a node as draining, by node
}

// channelMessage is the message of a batch to one proxy.
type channelMessage struct {
	proxy       int
	nonce       int
	deliveredAt float64
	weights     map[uint32]float64
}

// newSimulatedChannel returns a channel to a planner with the given Config and endpoints.
func newSimulatedChannel(config Config, endpoints []Endpoint) *simulatedChannel {
	c := &simulatedChannel{
		now:         100,
		tables:      map[int]map[uint32]float64{},
		boundTo:     map[int]int{},
		entries:     map[int]float64{},
		held:        map[int]map[uint32]float64{},
		joinedAt:    map[int]float64{},
		unavailable: map[uint32]float64{},
	}
	c.planner = New(c, config, c.now)
	c.planner.ReplaceEndpoints(c.now, endpoints)
	c.send()
	return c
}

func (c *simulatedChannel) BindProxy(proxy, table int) {
	c.boundTo[proxy] = table
	c.entries[proxy] += 1 + float64(len(c.tables[table]))
}

func (c *simulatedChannel) SetWeight(table int, node uint32, weight float64) {
	if c.tables[table] == nil {
		c.tables[table] = map[uint32]float64{}
	}
	c.tables[table][node] = weight
	if weight == 0 {
		delete(c.tables[table], node)
	}
	c.countEntry(table)
}

func (c *simulatedChannel) SetAdmission(table int, _ RouteID, _ float64, _ RetryPolicy) {
	c.countEntry(table)
}

func (c *simulatedChannel) RequestAck(nonce int)                 { c.nonce = nonce }
func (c *simulatedChannel) Wake(at float64)                      { c.wakeAt = at }
func (c *simulatedChannel) Subscribe()                           {}
func (c *simulatedChannel) EndpointHealthChanged(uint32, Health) {}
func (c *simulatedChannel) ThrottlingChanged(bool)               {}

// countEntry counts an entry of the current batch for each proxy that is bound to a table.
func (c *simulatedChannel) countEntry(table int) {
	for proxy, bound := range c.boundTo {
		if bound == table {
			c.entries[proxy]++
		}
	}
}

// send queues the messages of the current batch.
func (c *simulatedChannel) send() {
	c.planner.CommandsAccepted(c.now, c.nonce)
	c.busyUntil = max(c.busyUntil, c.now)
	for _, proxy := range slices.Sorted(maps.Keys(c.entries)) {
		config := &c.planner.config
		c.busyUntil += (c.entries[proxy] + config.MessageOverhead + 1) / config.EntriesPerSecond
		c.queue = append(c.queue, channelMessage{
			proxy:       proxy,
			nonce:       c.nonce,
			deliveredAt: c.busyUntil,
			weights:     maps.Clone(c.tables[c.boundTo[proxy]]),
		})
	}
	clear(c.entries)
}

// deliver delivers the messages that are due.
func (c *simulatedChannel) deliver() {
	for len(c.queue) > 0 && c.queue[0].deliveredAt <= c.now {
		message := c.queue[0]
		c.queue = c.queue[1:]
		c.held[message.proxy] = message.weights
		c.planner.Acknowledged(c.now, message.proxy, message.nonce)
	}
}

// advance advances the clock to a time and calls Step whenever the planner asked for it.
func (c *simulatedChannel) advance(until float64) {
	for c.wakeAt <= until {
		c.now = c.wakeAt
		c.deliver()
		c.planner.Step(c.now)
		c.send()
	}
	c.now = until
	c.deliver()
}

func (c *simulatedChannel) join(proxy, zone int, rate float64) {
	c.joinedAt[proxy] = c.now
	c.planner.ProxyJoined(c.now, proxy, zone, rate)
	c.send()
}

// list passes changes of the endpoint list to the planner.
func (c *simulatedChannel) list(changes []Endpoint) {
	for _, endpoint := range changes {
		if _, known := c.unavailable[endpoint.Node]; endpoint.State != Ready && !known {
			c.unavailable[endpoint.Node] = c.now
		}
	}
	c.planner.UpdateEndpoints(c.now, changes)
	c.send()
}

// lateProxy is a proxy that may send to an unavailable endpoint after the grace period.
type lateProxy struct {
	proxy int
	bound bool
	node  uint32
	late  float64 // s after the grace period
}

// lateProxies returns the proxies that may send to an unavailable endpoint later than Config.DrainGrace after the list
// showed it, or after they joined. A proxy that is not bound may send to any endpoint.
func (c *simulatedChannel) lateProxies() (late []lateProxy) {
	for _, proxy := range slices.Sorted(maps.Keys(c.joinedAt)) {
		weights, bound := c.held[proxy]
		for _, node := range slices.Sorted(maps.Keys(c.unavailable)) {
			delay := c.now - max(c.unavailable[node], c.joinedAt[proxy]) - c.planner.config.DrainGrace
			if delay > 0 && (!bound || weights[node] > 0) {
				late = append(late, lateProxy{proxy: proxy, bound: bound, node: node, late: delay})
				break
			}
		}
	}
	return late
}
