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

// grow extends the registry to a proxy's number.
func (r *proxyRegistry) grow(number int) {
	for len(r.all) <= number {
		r.all = append(r.all, proxy{})
	}
}

// connected lists the proxies whose streams are connected.
func (r *proxyRegistry) connected() []int {
	var numbers []int
	for number := range r.all {
		if r.all[number].connected {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// dequeue takes a proxy off those that wait to be bound.
func (r *proxyRegistry) dequeue(number int) {
	r.unbound = slices.DeleteFunc(r.unbound, func(waiting int) bool { return waiting == number })
}

// ProxyJoined says that a proxy's stream is connected, and how many requests a second it usually gets. The proxy is
// bound to a table in any case, as it may hold the one of another controller.
func (p *Planner) ProxyJoined(now float64, proxy, zone int, rate float64) {
	p.now = now
	p.proxies.grow(proxy)
	zone = min(zone, p.config.Zones-1)
	if known := &p.proxies.all[proxy]; known.connected && p.zoneOf(known.subset) == zone {
		// A connected proxy is notified again after a gap in the watch. Its stream may never have broken: then what
		// is in flight to it still is, and it gets its table's entries. Releasing that would overrun the channel.
		if !slices.Contains(p.proxies.unbound, proxy) {
			p.proxies.unbound = append(p.proxies.unbound, proxy)
		}
		p.bindWaiting()
		return
	}
	p.ProxyLeft(now, proxy)
	p.connect(proxy, zone, rate)
	if !p.inactive() {
		p.proxies.unbound = append(p.proxies.unbound, proxy)
		p.bindWaiting()
	}
}

// connect gives a proxy its subset and its demand until reports tell it.
func (p *Planner) connect(proxy, zone int, rate float64) {
	joined := &p.proxies.all[proxy]
	joined.connected = true
	joined.baselineRate = rate
	p.assignSubset(proxy, zone)
	if s := &p.subsets[joined.subset]; len(s.members) == 0 {
		// All its proxies were away, and the time until now tells nothing of their demand: else the first report
		// would take off their baseline rates, and the allocation would spill into the subset's own endpoints.
		s.demandReportedAt = p.now
	}
	if joined.demand == nil || sum(joined.demand) < rate {
		// A proxy that is back counts for its baseline rate at once: its reports come seconds later.
		joined.demand = slices.Repeat([]float64{rate / float64(len(p.config.Routes))}, len(p.config.Routes))
	}
}

// ProxyLeft says that a proxy's stream broke. Its demand decays, so that a short break moves no subset's share.
func (p *Planner) ProxyLeft(now float64, proxy int) {
	p.now = now
	if proxy >= len(p.proxies.all) || !p.proxies.all[proxy].connected {
		return
	}
	left := &p.proxies.all[proxy]
	s := &p.subsets[left.subset]
	s.baselineRate -= left.baselineRate
	s.members = slices.DeleteFunc(s.members, func(member int) bool { return member == proxy })
	p.proxies.dequeue(proxy)
	left.connected = false
	left.baselineRate = 0
	p.flow.account.proxyLeft(proxy)
}

// bindWaiting binds proxies that joined, as flow control lets it: a whole fleet at once would overrun the channel.
// Before the first endpoint is known it binds none: an empty table would take from them what they hold.
//
// Proxies are bound in the order in which they joined; one that does not fit holds back those behind it. A proxy gets
// its table as published so far. publishUrgent binds before it publishes the entries that fill the table, so that the
// new members get these as well. If they do not fit, the members keep the table as it was, empty at the first list, and
// the entries are due again at each step.
func (p *Planner) bindWaiting() {
	for len(p.proxies.unbound) > 0 && len(p.endpoints.all) > 0 {
		proxy := p.proxies.unbound[0]
		if !p.flow.fits(p.bindCost(proxy)+p.config.MessageOverhead+1, bindQueueFraction) {
			return
		}
		p.proxies.unbound = p.proxies.unbound[1:]
		p.bind(proxy)
	}
}

// bindCost is the entries that a proxy is sent when it is bound: the bind, the admission levels and the table.
func (p *Planner) bindCost(proxy int) float64 {
	entries := 1 + float64(len(p.config.Routes))
	for _, weight := range p.subsets[p.proxies.all[proxy].subset].table.published {
		entries += min(1, math.Ceil(weight))
	}
	return entries
}

// bind puts a proxy on its subset's table.
func (p *Planner) bind(proxy int) {
	subset := p.proxies.all[proxy].subset
	p.host.BindProxy(proxy, subset)
	s := &p.subsets[subset]
	if !slices.Contains(s.members, proxy) {
		s.members = append(s.members, proxy)
	}
	p.reserve([]int{proxy}, p.bindCost(proxy))
	p.flow.account.countBind(p.now, subset)
}
