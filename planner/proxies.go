package planner

import (
	"math"
	"slices"
)

// ProxyJoined says that a proxy's stream stands. It is to be bound: what it holds may be anyone's.
func (c *Planner) ProxyJoined(now float64, proxy, zone int, rate float64) {
	for len(c.joined) <= proxy {
		c.joined, c.home = append(c.joined, false), append(c.home, 0)
		c.typical, c.usage = append(c.typical, 0), append(c.usage, nil)
	}
	c.now = now
	best := min(zone, c.site.Zones-1)
	if c.joined[proxy] && c.home[proxy]%c.site.Zones == best {
		// One that stands is told again after a gap in the news. Its stream may never have broken: then what
		// waits for it still waits, and it gets its table's lines. Taking that off overran the channel.
		if !slices.Contains(c.unbound, proxy) {
			c.unbound = append(c.unbound, proxy)
		}
		c.bindWaiting()
		return
	}
	c.ProxyLeft(now, proxy)
	c.joined[proxy], c.typical[proxy] = true, rate
	c.assignPool(proxy, best)
	if home := c.home[proxy]; len(c.members[home]) == 0 {
		c.heardAt[home] = now // all were away: the first report on one took off their usual calls
	}
	if c.usage[proxy] == nil || sum(c.usage[proxy]) < rate {
		// One that is back counts for its usual calls at once: what it is asked is told seconds later.
		c.usage[proxy] = slices.Repeat([]float64{rate / float64(len(c.site.Routes))}, len(c.site.Routes))
	}
	if !c.site.Sharded {
		c.unbound = append(c.unbound, proxy)
		c.bindWaiting()
	}
}

// ProxyLeft says that a proxy's stream broke. Its usage fades: a short break swings no zone's share.
func (c *Planner) ProxyLeft(now float64, proxy int) {
	c.now = now
	if proxy < len(c.joined) && c.joined[proxy] {
		home, gone := c.home[proxy], func(p int) bool { return p == proxy }
		c.callers[home] -= c.typical[proxy]
		c.members[home], c.unbound = slices.DeleteFunc(c.members[home], gone), slices.DeleteFunc(c.unbound, gone)
		c.joined[proxy], c.typical[proxy] = false, 0
		c.channel.left(proxy)
	}
}

// bindWaiting puts proxies that joined on their tables, as the queue takes them: a fleet would overrun it.
// Before any node is known a table would only take from them the nodes that they hold.
func (c *Planner) bindWaiting() {
	for len(c.unbound) > 0 && len(c.node) > 0 {
		p := c.unbound[0]
		if !c.fits(c.bindCost(p)+c.site.MessageOverhead+1, bindPart) {
			return
		}
		c.unbound = c.unbound[1:]
		c.bind(p)
	}
}

// bindCost is how many lines of its own it takes to bind a proxy to its table.
func (c *Planner) bindCost(proxy int) float64 {
	lines := 1 + float64(len(c.site.Routes))
	for _, weight := range c.sent[c.home[proxy]] {
		lines += min(1, math.Ceil(weight))
	}
	return lines
}

func (c *Planner) bind(proxy int) {
	c.host.BindProxy(proxy, c.home[proxy])
	if members := &c.members[c.home[proxy]]; !slices.Contains(*members, proxy) {
		*members = append(*members, proxy)
	}
	c.book([]int{proxy}, c.bindCost(proxy))
	c.channel.bind(c.home[proxy])
}
