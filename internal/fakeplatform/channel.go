package fakeplatform

import "slices"

// Channel simulates the delivery of a controller's commands to its proxies according to the platform's protocol. A call
// results in one message for each affected proxy. A message contains entries, which are the values that the call sets
// for the proxy. Messages are sent one after the other at a limited rate in entries per second, and the channel counts
// the waiting entries. Its inputs are calls and times in seconds; it uses no socket.
type Channel struct {
	MessageOverhead  float64 // cost of a message in entries, in addition to the entries it carries
	EntriesPerSecond float64

	joined     map[int]bool
	bound      map[int]int             // table by proxy
	tables     map[int]map[string]bool // nodes by table
	admissions map[string]map[string]bool

	messages       []message         // waiting, oldest first
	waitingEntries float64           // in messages
	credit         float64           // entries that may be sent now
	enqueueTimes   map[int][]float64 // times at which messages were queued, by proxy
	now            float64
}

// message carries the entries of one call for one proxy.
type message struct {
	proxy   int
	nonce   int // to acknowledge; 0 means none
	entries float64
}

// Acknowledgement reports that a proxy has applied the message with a nonce.
type Acknowledgement struct{ Proxy, Nonce int }

// NewChannel returns a channel without proxies.
func NewChannel(messageOverhead, entriesPerSecond float64) *Channel {
	return &Channel{
		MessageOverhead:  messageOverhead,
		EntriesPerSecond: entriesPerSecond,
		joined:           map[int]bool{},
		bound:            map[int]int{},
		tables:           map[int]map[string]bool{},
		admissions:       map[string]map[string]bool{},
		enqueueTimes:     map[int][]float64{},
	}
}

// WaitingEntries returns the number of waiting entries.
func (c *Channel) WaitingEntries() float64 { return c.waitingEntries }

// Joined reports whether a proxy is connected.
func (c *Channel) Joined(proxy int) bool { return c.joined[proxy] }

// Bound returns the table that a proxy is bound to. ok is false if the proxy has not been bound since it joined.
func (c *Channel) Bound(proxy int) (table int, ok bool) {
	table, ok = c.bound[proxy]
	return table, ok
}

// HasEntry reports whether a table has an entry for a node.
func (c *Channel) HasEntry(table int, node string) bool { return c.tables[table][node] }

// Messages returns the number of messages queued for a proxy at or after the time since.
func (c *Channel) Messages(proxy int, since float64) (n int) {
	for _, at := range c.enqueueTimes[proxy] {
		if at >= since {
			n++
		}
	}
	return n
}

// Join connects a proxy. Its earlier stream and the messages that wait for it are discarded.
func (c *Channel) Join(proxy int) {
	c.Leave(proxy)
	c.joined[proxy] = true
}

// Leave disconnects a proxy and discards the messages that wait for it.
func (c *Channel) Leave(proxy int) {
	delete(c.joined, proxy)
	delete(c.bound, proxy)
	delete(c.enqueueTimes, proxy)
	c.messages = slices.DeleteFunc(c.messages, func(m message) bool {
		if m.proxy != proxy {
			return false
		}
		c.waitingEntries -= m.entries
		return true
	})
}

// Advance moves the clock forward to now and sends messages at rateFraction times EntriesPerSecond. It returns the
// acknowledgements of the proxies.
func (c *Channel) Advance(now, rateFraction float64) (acknowledged []Acknowledgement) {
	c.credit += (now - c.now) * c.EntriesPerSecond * rateFraction
	c.now = now
	for len(c.messages) > 0 && c.messages[0].entries <= c.credit {
		m := c.messages[0]
		c.messages = c.messages[1:]
		c.credit -= m.entries
		c.waitingEntries -= m.entries
		if m.nonce > 0 {
			acknowledged = append(acknowledged, Acknowledgement{Proxy: m.proxy, Nonce: m.nonce})
		}
	}
	if len(c.messages) == 0 {
		c.credit = 0
		c.waitingEntries = 0
	}
	return acknowledged
}
