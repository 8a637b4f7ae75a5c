package fakeplatform

import "slices"

// Channel is the way of a controller's commands to its proxies, by the platform's page of the protocol: a call becomes
// one message for each proxy concerned, messages leave one after the other at a rate, and the entries that wait are
// counted. It is fed calls and times in seconds; it has no socket.
type Channel struct {
	MessageOverhead  float64 // entries that a message costs beside its own
	EntriesPerSecond float64

	joined     map[int]bool
	bound      map[int]int             // table by proxy
	tables     map[int]map[string]bool // nodes by table
	admissions map[string]map[string]bool

	messages       []message         // that wait, oldest first
	waitingEntries float64           // of messages
	credit         float64           // entries that may leave now
	received       map[int][]float64 // by proxy, when messages were written to it
	now            float64
}

// message is what a proxy gets of one call.
type message struct {
	proxy   int
	nonce   int // to acknowledge; 0: none
	entries float64
}

// Acknowledgement says that a proxy has applied a message with a nonce.
type Acknowledgement struct{ Proxy, Nonce int }

// NewChannel makes a channel without proxies.
func NewChannel(messageOverhead, entriesPerSecond float64) *Channel {
	return &Channel{
		MessageOverhead:  messageOverhead,
		EntriesPerSecond: entriesPerSecond,
		joined:           map[int]bool{},
		bound:            map[int]int{},
		tables:           map[int]map[string]bool{},
		admissions:       map[string]map[string]bool{},
		received:         map[int][]float64{},
	}
}

// WaitingEntries is how many entries wait.
func (c *Channel) WaitingEntries() float64 { return c.waitingEntries }

// Joined reports whether a proxy is connected.
func (c *Channel) Joined(proxy int) bool { return c.joined[proxy] }

// Bound returns the table that a proxy was bound to since it joined.
func (c *Channel) Bound(proxy int) (table int, ok bool) {
	table, ok = c.bound[proxy]
	return table, ok
}

// HasEntry reports whether a table has an entry for a node.
func (c *Channel) HasEntry(table int, node string) bool { return c.tables[table][node] }

// Messages is how many messages were written to a proxy since a time.
func (c *Channel) Messages(proxy int, since float64) (n int) {
	for _, at := range c.received[proxy] {
		if at >= since {
			n++
		}
	}
	return n
}

// Join has a proxy connect: its earlier stream and what waits for it are gone.
func (c *Channel) Join(proxy int) {
	c.Leave(proxy)
	c.joined[proxy] = true
}

// Leave breaks a proxy's stream.
func (c *Channel) Leave(proxy int) {
	delete(c.joined, proxy)
	delete(c.bound, proxy)
	delete(c.received, proxy)
	c.messages = slices.DeleteFunc(c.messages, func(m message) bool {
		if m.proxy != proxy {
			return false
		}
		c.waitingEntries -= m.entries
		return true
	})
}

// Advance lets time go by, in which messages leave at a part of the usual rate. It returns what proxies acknowledge.
func (c *Channel) Advance(now, ratePart float64) (acknowledged []Acknowledgement) {
	c.credit += (now - c.now) * c.EntriesPerSecond * ratePart
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
