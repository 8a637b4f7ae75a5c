package planner

import (
	"math"
	"slices"
)

// proxy is the state of a proxy. It is kept after its stream breaks, as its demand decays only gradually.
type proxy struct {
	connected    bool
	subset       int
	baselineRate float64   // requests a second that it usually receives, as stated when it joined; 0 while disconnected
	demand       []float64 // requests a second by route; nil before it joins for the first time
}

// proxyRegistry holds the proxies, indexed by number.
type proxyRegistry struct {
	all       []proxy
	bindQueue []waitingProxy // in the order of joining
}

// waitingProxy is a proxy that joined and waits to be bound, also for a second time.
type waitingProxy struct {
	number int
	since  float64 // s, when it joined or was announced again
}

// grow extends the registry to include the given proxy number.
func (r *proxyRegistry) grow(number int) {
	for len(r.all) <= number {
		r.all = append(r.all, proxy{})
	}
}

// connected returns the numbers of the proxies whose streams are connected.
func (r *proxyRegistry) connected() []int {
	var numbers []int
	for number := range r.all {
		if r.all[number].connected {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// enqueue appends a proxy to the bind queue unless it is waiting already.
func (r *proxyRegistry) enqueue(number int, now float64) {
	if !slices.ContainsFunc(r.bindQueue, func(waiting waitingProxy) bool { return waiting.number == number }) {
		r.bindQueue = append(r.bindQueue, waitingProxy{number: number, since: now})
	}
}

// dequeue removes a proxy from the bind queue.
func (r *proxyRegistry) dequeue(number int) {
	r.bindQueue = slices.DeleteFunc(r.bindQueue, func(waiting waitingProxy) bool { return waiting.number == number })
}

// ProxyJoined handles the connection of a proxy's stream. rate is the number of requests a second that the proxy
// usually receives. The planner, unless it is inactive, binds the proxy to a table even if the proxy was bound before,
// as it may hold the table of another controller.
func (p *Planner) ProxyJoined(now float64, proxy, zone int, rate float64) {
	p.now = now
	p.proxies.grow(proxy)
	zone = min(zone, p.config.Zones-1)
	if existing := &p.proxies.all[proxy]; existing.connected && p.zoneOf(existing.subset) == zone {
		// A connected proxy is announced again after a gap in the proxy watch. Its stream may never have broken. In
		// that case its entries are still in flight, and releasing them would overrun the channel; it also continues
		// to receive its table's entries.
		p.proxies.enqueue(proxy, now)
		p.bindJoined()
		return
	}
	p.ProxyLeft(now, proxy)
	p.connect(proxy, zone, rate)
	if !p.inactive() {
		p.proxies.enqueue(proxy, now)
		p.bindJoined()
	}
}

// bindJoined binds waiting proxies when one has joined. While removals are pending, which may precede the bind, it leaves
// them to the next step.
func (p *Planner) bindJoined() {
	if !p.publication.removalsPending {
		p.bindWaiting()
	}
}

// connect marks a proxy as connected and assigns its subset and an initial demand until reports arrive.
func (p *Planner) connect(proxy, zone int, rate float64) {
	joined := &p.proxies.all[proxy]
	joined.connected = true
	joined.baselineRate = rate
	p.assignSubset(proxy, zone)
	if s := &p.subsets[joined.subset]; len(s.members) == 0 {
		// All proxies of the subset were disconnected, so the time since the last report must not decay their demand.
		// Otherwise the first report would remove their baseline rates, and the allocation would let other subsets
		// spill into the subset's own endpoints.
		s.demandReportedAt = p.now
	}
	if joined.demand == nil || sum(joined.demand) < rate {
		// A returning proxy counts with its baseline rate immediately, as its reports arrive seconds later.
		joined.demand = slices.Repeat([]float64{rate / float64(len(p.config.Routes))}, len(p.config.Routes))
	}
}

// ProxyLeft handles the break of a proxy's stream. The proxy's demand decays gradually, so a short break does not
// change the subsets' shares.
func (p *Planner) ProxyLeft(now float64, proxy int) {
	p.now = now
	if proxy >= len(p.proxies.all) || !p.proxies.all[proxy].connected {
		return
	}
	departed := &p.proxies.all[proxy]
	s := &p.subsets[departed.subset]
	s.baselineRate -= departed.baselineRate
	s.members = slices.DeleteFunc(s.members, func(member int) bool { return member == proxy })
	p.proxies.dequeue(proxy)
	departed.connected = false
	departed.baselineRate = 0
	p.flow.account.releaseProxy(proxy)
}

// bindWaiting binds waiting proxies as flow control permits.
func (p *Planner) bindWaiting() { p.bindWaitingSince(math.Inf(1)) }

// bindWaitingSince binds the proxies that have waited since before the given time, as flow control permits: binding an
// entire fleet in one batch would overrun the channel. It reports whether all of them were bound. It binds no proxy
// before the first endpoint is known, as an empty table would remove the entries that the proxies hold.
//
// Proxies are bound in the order in which they joined; a proxy that does not fit delays those behind it. A proxy
// receives its table as published so far. publishUrgent binds proxies before it publishes the entries that fill the
// table, so the new members receive these as well. If the entries do not fit, the members keep the table as it was,
// which is empty at the first list, and the entries are due again at each step.
func (p *Planner) bindWaitingSince(before float64) (allBound bool) {
	for len(p.proxies.bindQueue) > 0 && p.proxies.bindQueue[0].since < before {
		proxy := p.proxies.bindQueue[0].number
		cost := p.bindMessageCost(p.proxies.all[proxy].subset)
		if len(p.endpoints.all) == 0 || !p.flow.fits(cost, bindQueueFraction) {
			return false
		}
		p.proxies.bindQueue = p.proxies.bindQueue[1:]
		p.bind(proxy)
	}
	return true
}

// bindMessageCosts returns the number of entries of a message that binds a proxy, by subset.
func (p *Planner) bindMessageCosts() []float64 {
	costs := make([]float64, len(p.subsets))
	for k := range costs {
		costs[k] = p.bindMessageCost(k)
	}
	return costs
}

// bindMessageCost returns the number of entries of a message that binds a proxy of a subset, including its overhead.
func (p *Planner) bindMessageCost(subset int) float64 {
	return p.bindCost(subset) + p.config.MessageOverhead + 1
}

// bindCost returns the number of entries that binding a proxy of a subset sends to it: the bind, the admission levels
// and the table.
func (p *Planner) bindCost(subset int) float64 {
	entries := 1 + float64(len(p.config.Routes))
	for _, weight := range p.subsets[subset].table.published {
		entries += min(1, math.Ceil(weight))
	}
	return entries
}

// bind binds a proxy to the table of its subset.
func (p *Planner) bind(proxy int) {
	subset := p.proxies.all[proxy].subset
	p.host.BindProxy(proxy, subset)
	s := &p.subsets[subset]
	if !slices.Contains(s.members, proxy) {
		s.members = append(s.members, proxy)
	}
	p.reserve([]int{proxy}, p.bindCost(subset))
	p.flow.account.countBind(p.now, subset)
}
