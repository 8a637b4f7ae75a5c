package planner

import (
	"math"
	"slices"
)

// ProxyJoined says that a proxy's stream stands. It is to be bound: what it holds may be anyone's.
func (c *Planner) ProxyJoined(now float64, proxy, zone int, rate float64) {
	for len(c.connected) <= proxy {
		c.connected, c.assigned = append(c.connected, false), append(c.assigned, 0)
		c.baselineRate, c.demand = append(c.baselineRate, 0), append(c.demand, nil)
	}
	c.now = now
	best := min(zone, c.config.Zones-1)
	if c.connected[proxy] && c.assigned[proxy]%c.config.Zones == best {
		// One that stands is told again after a gap in the news. Its stream may never have broken: then what
		// waits for it still waits, and it gets its table's lines. Taking that off overran the channel.
		if !slices.Contains(c.unbound, proxy) {
			c.unbound = append(c.unbound, proxy)
		}
		c.bindWaiting()
		return
	}
	c.ProxyLeft(now, proxy)
	c.connected[proxy], c.baselineRate[proxy] = true, rate
	c.assignSubset(proxy, best)
	if home := c.assigned[proxy]; len(c.members[home]) == 0 {
		c.demandReportedAt[home] = now // all were away: the first report on one took off their usual calls
	}
	if c.demand[proxy] == nil || sum(c.demand[proxy]) < rate {
		// One that is back counts for its usual calls at once: what it is asked is told seconds later.
		c.demand[proxy] = slices.Repeat([]float64{rate / float64(len(c.config.Routes))}, len(c.config.Routes))
	}
	if !c.config.Sharded {
		c.unbound = append(c.unbound, proxy)
		c.bindWaiting()
	}
}

// ProxyLeft says that a proxy's stream broke. Its usage fades: a short break swings no zone's share.
func (c *Planner) ProxyLeft(now float64, proxy int) {
	c.now = now
	if proxy < len(c.connected) && c.connected[proxy] {
		home, gone := c.assigned[proxy], func(p int) bool { return p == proxy }
		c.subsetBaselineRate[home] -= c.baselineRate[proxy]
		c.members[home], c.unbound = slices.DeleteFunc(c.members[home], gone), slices.DeleteFunc(c.unbound, gone)
		c.connected[proxy], c.baselineRate[proxy] = false, 0
		c.inFlight.proxyLeft(proxy)
	}
}

// bindWaiting puts proxies that joined on their tables, as the queue takes them: a fleet would overrun it.
// Before any node is known a table would only take from them the nodes that they hold.
func (c *Planner) bindWaiting() {
	for len(c.unbound) > 0 && len(c.node) > 0 {
		p := c.unbound[0]
		if !c.fits(c.bindCost(p)+c.config.MessageOverhead+1, bindShare) {
			return
		}
		c.unbound = c.unbound[1:]
		c.bind(p)
	}
}

// bindCost is how many lines of its own it takes to bind a proxy to its table.
func (c *Planner) bindCost(proxy int) float64 {
	lines := 1 + float64(len(c.config.Routes))
	for _, weight := range c.published[c.assigned[proxy]] {
		lines += min(1, math.Ceil(weight))
	}
	return lines
}

func (c *Planner) bind(proxy int) {
	c.host.BindProxy(proxy, c.assigned[proxy])
	if members := &c.members[c.assigned[proxy]]; !slices.Contains(*members, proxy) {
		*members = append(*members, proxy)
	}
	c.reserve([]int{proxy}, c.bindCost(proxy))
	c.inFlight.addBind(c.assigned[proxy])
}
