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
	Head float64 // lines that a message costs beside its own
	Pace float64 // lines a second

	joined   map[int]bool
	bound    map[int]int
	tables   map[int]map[string]bool
	levels   map[string]map[string]bool // by table, "*" for all
	waiting  []message
	lines    float64
	credit   float64
	received map[int][]float64 // by proxy, when messages were written to it
	now      float64
}

type message struct {
	proxy, mark int // mark 0: none is asked
	lines       float64
}

// Confirmation is what a proxy says when it has applied a message with a mark.
type Confirmation struct{ Proxy, Mark int }

// NewChannel makes one that is empty.
func NewChannel(head, pace float64) *Channel {
	return &Channel{Head: head, Pace: pace, joined: map[int]bool{}, bound: map[int]int{},
		tables: map[int]map[string]bool{}, levels: map[string]map[string]bool{}, received: map[int][]float64{}}
}

// Waiting is how many lines wait.
func (c *Channel) Waiting() float64 { return c.lines }

// Joined tells whether a proxy's stream stands.
func (c *Channel) Joined(proxy int) bool { return c.joined[proxy] }

// Bound gives the table that a proxy was bound to since it joined.
func (c *Channel) Bound(proxy int) (table int, ok bool) {
	table, ok = c.bound[proxy]
	return table, ok
}

// Holds tells whether a table has a line for a node.
func (c *Channel) Holds(table int, node string) bool { return c.tables[table][node] }

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
	c.waiting = slices.DeleteFunc(c.waiting, func(m message) bool {
		if m.proxy == proxy {
			c.lines -= m.lines
		}
		return m.proxy == proxy
	})
}

// Pass lets time go by: messages leave at a part of the usual pace. It gives what proxies confirm.
func (c *Channel) Pass(now, part float64) (said []Confirmation) {
	c.credit += (now - c.now) * c.Pace * part
	c.now = now
	for len(c.waiting) > 0 && c.waiting[0].lines <= c.credit {
		m := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.credit, c.lines = c.credit-m.lines, c.lines-m.lines
		if m.mark > 0 {
			said = append(said, Confirmation{m.proxy, m.mark})
		}
	}
	if len(c.waiting) == 0 {
		c.credit, c.lines = 0, 0
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
			cost[proxy] = c.Head
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
			for _, proxy := range c.standing(part[1]) {
				reach(proxy, 1)
			}
		case "attach":
			if !c.joined[first] {
				c.write(order, cost, 0)
				return taken
			}
			table, _ := strconv.Atoi(part[2])
			c.bound[first] = table
			reach(first, 1+float64(len(c.tables[table])+len(c.levels["*"])+len(c.levels[part[2]])))
		case "gate":
			if c.levels[part[1]] == nil {
				c.levels[part[1]] = map[string]bool{}
			}
			c.levels[part[1]][part[2]] = true
			for _, proxy := range c.standing(part[1]) {
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

// standing lists the joined proxies on a table, or all.
func (c *Channel) standing(table string) (proxies []int) {
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
		m := message{proxy: proxy, mark: mark, lines: cost[proxy]}
		if mark > 0 {
			m.lines++
		}
		c.waiting = append(c.waiting, m)
		c.lines += m.lines
		c.received[proxy] = append(c.received[proxy], c.now)
	}
}
