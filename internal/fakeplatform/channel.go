package fakeplatform

import (
	"slices"
	"strconv"
	"strings"
)

// Channel is the way of a conductor's orders to its proxies as the protocol's page tells of it: one call becomes one
// message for each proxy concerned, messages leave one after the other, and lines that wait are counted. It is fed
// calls and times; it has no socket.
type Channel struct {
	MessageOverhead  float64 // lines that a message costs beside its own
	EntriesPerSecond float64 // lines a second

	joined         map[int]bool
	bound          map[int]int
	tables         map[int]map[string]bool
	admissions     map[string]map[string]bool // by table, "*" for all
	messages       []message
	waitingEntries float64
	credit         float64
	received       map[int][]float64 // by proxy, when messages were written to it
	now            float64
}

type message struct {
	proxy, nonce int // mark 0: none is asked
	entries      float64
}

// Acknowledgement is what a proxy says when it has applied a message with a mark.
type Acknowledgement struct{ Proxy, Nonce int }

// NewChannel makes one that is empty.
func NewChannel(head, pace float64) *Channel {
	return &Channel{MessageOverhead: head, EntriesPerSecond: pace, joined: map[int]bool{}, bound: map[int]int{},
		tables: map[int]map[string]bool{}, admissions: map[string]map[string]bool{}, received: map[int][]float64{}}
}

// WaitingEntries is how many lines wait.
func (c *Channel) WaitingEntries() float64 { return c.waitingEntries }

// Joined tells whether a proxy's stream stands.
func (c *Channel) Joined(proxy int) bool { return c.joined[proxy] }

// Bound gives the table that a proxy was bound to since it joined.
func (c *Channel) Bound(proxy int) (table int, ok bool) {
	table, ok = c.bound[proxy]
	return table, ok
}

// HasEntry tells whether a table has a line for a node.
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

// Join lets a proxy's stream begin: an earlier one and what waits for it are gone.
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
		if m.proxy == proxy {
			c.waitingEntries -= m.entries
		}
		return m.proxy == proxy
	})
}

// Advance lets time go by: messages leave at a part of the usual pace. It gives what proxies confirm.
func (c *Channel) Advance(now, part float64) (said []Acknowledgement) {
	c.credit += (now - c.now) * c.EntriesPerSecond * part
	c.now = now
	for len(c.messages) > 0 && c.messages[0].entries <= c.credit {
		m := c.messages[0]
		c.messages = c.messages[1:]
		c.credit, c.waitingEntries = c.credit-m.entries, c.waitingEntries-m.entries
		if m.nonce > 0 {
			said = append(said, Acknowledgement{m.proxy, m.nonce})
		}
	}
	if len(c.messages) == 0 {
		c.credit, c.waitingEntries = 0, 0
	}
	return said
}

// Call carries out a call's orders until one can't be; it tells how many were.
func (c *Channel) Call(text string) (taken int) {
	cost, mark := map[int]float64{}, 0
	var order []int
	reach := func(proxy int, lines float64) {
		if _, has := cost[proxy]; !has {
			order = append(order, proxy)
			cost[proxy] = c.MessageOverhead
		}
		cost[proxy] += lines
	}
	orders := strings.Split(strings.TrimSuffix(strings.TrimPrefix(text, "txn "), "\r\n"), ";")
	for _, o := range orders {
		part := strings.Split(o, ",")
		first, _ := strconv.Atoi(part[1])
		switch part[0] {
		case "put":
			if c.tables[first] == nil {
				c.tables[first] = map[string]bool{}
			}
			if c.tables[first][part[2]] = true; part[3] == "0" {
				delete(c.tables[first], part[2])
			}
			for _, proxy := range c.boundTo(part[1]) {
				reach(proxy, 1)
			}
		case "attach":
			if !c.joined[first] {
				c.write(order, cost, 0)
				return taken
			}
			table, _ := strconv.Atoi(part[2])
			c.bound[first] = table
			reach(first, 1+float64(len(c.tables[table])+len(c.admissions["*"])+len(c.admissions[part[2]])))
		case "gate":
			if c.admissions[part[1]] == nil {
				c.admissions[part[1]] = map[string]bool{}
			}
			c.admissions[part[1]][part[2]] = true
			for _, proxy := range c.boundTo(part[1]) {
				reach(proxy, 1)
			}
		case "fence":
			mark = first
		}
		taken++
	}
	c.write(order, cost, mark)
	return taken
}

// boundTo lists the joined proxies on a table, or all.
func (c *Channel) boundTo(table string) (proxies []int) {
	for proxy := range c.joined {
		if bound, ok := c.bound[proxy]; table == "*" || ok && strconv.Itoa(bound) == table {
			proxies = append(proxies, proxy)
		}
	}
	slices.Sort(proxies)
	return proxies
}

func (c *Channel) write(order []int, cost map[int]float64, mark int) {
	for _, proxy := range order {
		m := message{proxy: proxy, nonce: mark, entries: cost[proxy]}
		if mark > 0 {
			m.entries++
		}
		c.messages = append(c.messages, m)
		c.waitingEntries += m.entries
		c.received[proxy] = append(c.received[proxy], c.now)
	}
}
