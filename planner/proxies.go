package planner

import (
	"math"
	"slices"
)

// proxy is what the planner knows of one proxy. It is kept when its stream breaks: its demand decays.
type proxy struct {
	connected    bool
	subset       int
	baselineRate float64   // requests a second that it usually gets, as told when it joined; 0 while it is away
	demand       []float64 // requests a second by route; nil before it joined for the first time
}

// proxyRegistry holds the proxies by their number.
type proxyRegistry struct {
	all     []proxy
	unbound []int // those that joined and wait to be bound, the first one first
}

// grow makes room for a proxy's number.
func (r *proxyRegistry) grow(number int) {
	for len(r.all) <= number {
		r.all = append(r.all, proxy{})
	}
}

// connected lists the proxies whose streams are connected.
func (r *proxyRegistry) connected() []int {
	var numbers []int
	for p := range r.all {
		if r.all[p].connected {
			numbers = append(numbers, p)
		}
	}
	return numbers
}

// dequeue takes a proxy off those that wait to be bound.
func (r *proxyRegistry) dequeue(number int) {
	r.unbound = slices.DeleteFunc(r.unbound, func(p int) bool { return p == number })
}

// ProxyJoined says that a proxy's stream is connected, and how many requests a second it usually gets. The proxy is
// bound to a table in any case, as it may hold the one of another controller.
func (c *Planner) ProxyJoined(now float64, proxy, zone int, rate float64) {
	c.now = now
	c.proxies.grow(proxy)
	zone = min(zone, c.config.Zones-1)
	if p := &c.proxies.all[proxy]; p.connected && p.subset%c.config.Zones == zone {
		// A connected proxy is notified again after a gap in the watch. Its stream may never have broken: then what
		// is in flight to it still is, and it gets its table's entries. Releasing that would overrun the channel.
		if !slices.Contains(c.proxies.unbound, proxy) {
			c.proxies.unbound = append(c.proxies.unbound, proxy)
		}
		c.bindWaiting()
		return
	}
	c.ProxyLeft(now, proxy)
	c.connect(proxy, zone, rate)
	if !c.config.Sharded {
		c.proxies.unbound = append(c.proxies.unbound, proxy)
		c.bindWaiting()
	}
}

// connect gives a proxy its subset and its demand until reports tell it.
func (c *Planner) connect(proxy, zone int, rate float64) {
	p := &c.proxies.all[proxy]
	p.connected = true
	p.baselineRate = rate
	c.assignSubset(proxy, zone)
	if s := &c.subsets[p.subset]; len(s.members) == 0 {
		// All its proxies were away, and the time until now tells nothing of their demand: else the first report
		// would take off their baseline rates, and the allocation would spill into the subset's own endpoints.
		s.demandReportedAt = c.now
	}
	if p.demand == nil || sum(p.demand) < rate {
		// A proxy that is back counts for its baseline rate at once: its reports come seconds later.
		p.demand = slices.Repeat([]float64{rate / float64(len(c.config.Routes))}, len(c.config.Routes))
	}
}

// ProxyLeft says that a proxy's stream broke. Its demand decays, so that a short break moves no subset's share.
func (c *Planner) ProxyLeft(now float64, proxy int) {
	c.now = now
	if proxy >= len(c.proxies.all) || !c.proxies.all[proxy].connected {
		return
	}
	p := &c.proxies.all[proxy]
	s := &c.subsets[p.subset]
	s.baselineRate -= p.baselineRate
	s.members = slices.DeleteFunc(s.members, func(member int) bool { return member == proxy })
	c.proxies.dequeue(proxy)
	p.connected = false
	p.baselineRate = 0
	c.flow.account.proxyLeft(proxy)
}

// bindWaiting binds proxies that joined, as flow control lets it: a whole fleet at once would overrun the channel.
// Before the first endpoint is known it binds none: an empty table would take from them what they hold.
func (c *Planner) bindWaiting() {
	for len(c.proxies.unbound) > 0 && len(c.endpoints.all) > 0 {
		proxy := c.proxies.unbound[0]
		if !c.flow.fits(c.bindCost(proxy)+c.config.MessageOverhead+1, bindShare) {
			return
		}
		c.proxies.unbound = c.proxies.unbound[1:]
		c.bind(proxy)
	}
}

// bindCost is the entries that a proxy is sent when it is bound: the bind, the admission levels and the table.
func (c *Planner) bindCost(proxy int) float64 {
	entries := 1 + float64(len(c.config.Routes))
	for _, weight := range c.subsets[c.proxies.all[proxy].subset].published {
		entries += min(1, math.Ceil(weight))
	}
	return entries
}

// bind puts a proxy on its subset's table.
func (c *Planner) bind(proxy int) {
	subset := c.proxies.all[proxy].subset
	c.host.BindProxy(proxy, subset)
	s := &c.subsets[subset]
	if !slices.Contains(s.members, proxy) {
		s.members = append(s.members, proxy)
	}
	c.reserve([]int{proxy}, c.bindCost(proxy))
	c.flow.account.countBind(c.now, subset)
}
