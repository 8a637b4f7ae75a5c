package brain

// Every decision is in this file. A Conductor is made by New and then told what happens, one method for each
// thing that can happen. It acts by calling the Host that it was handed and asks to be woken steadily.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

const (
	wakeEvery = 0.1  // s; well under every grace and delay, and cheap
	paceEvery = 1.0  // s between two changes of a table, and that a step waits for its marks (design page)
	moveLeast = 0.10 // part of a weight that must move before lines go out (design page)
	usageOver = 3.0  // s over which a proxy's usage is averaged: long enough for its few calls, callers drift
	poolMost  = 10.0 // nodes of a pool on average: one is a tenth, and each still gets many calls of a proxy
	lendPart  = 0.50 // most part of a node that other pools' calls take, unless they need more of its pool
	offMost   = 0.25 // part of a table's calls that may go elsewhere than wanted before it is set anew at once
	ownPrior  = 20.0 // proxies that must be seen before ours tell much of those that we do not see
	rampFrom  = 0.25 // part of its weight that a new node starts with (design page)
	easeMost  = 0.25 // most part of its ramp that a cold node gets, for each time of the fall multiple
	leastPart = 0.1  // least part that a ramp or lost tries leave a node: it still gets calls to be judged by
	viewOver  = 2.5  // s that what was met at a node is remembered: a few dozen calls, a few reports
	filledAt  = 0.5  // part of a view that tells the rate of answers: one taken early throttles an idle fleet

	learnEvery = 0.5  // s between two steps of the learned speeds
	learnOver  = 8.0  // s that a node's answers and use are remembered: its work varies from call to call
	learnPrior = 1.5  // s of being busy that its kind counts for: a few dozen calls tell about as much
	easyTime   = 0.30 // part of the SLO time that a try takes without waiting, for all that is known
	quickFade  = 0.01 // a second by which the best time seen at a node fades: its work may change
	easyUse    = 0.30 // least busy part of a node that is believed: less says nothing of its speed

	sickLost   = 0.25 // part of tries lost, above half again what the median node loses, that is sick
	queueLeast = 1.0  // calls waiting, where reported, that tell of load rather than of a fault
	deadLost   = 0.95 // part lost that no load explains: a full node still answers some
	sumsLate   = 1.6  // s that sums come late at most, as the briefs tell
	sickCalls  = 4.0  // tries that must have ended before a node is judged, or its trial is over
	outFor     = 4.0  // s that a sick node is left out before it is tried again: most faults outlast that
	outPart    = 0.40 // part of the listed weight that may be out at once, if all is lost there; less if less is
	trialPart  = 0.25 // part of its weight that a node on trial gets, as a new one gets

	tightTime   = 0.55 // part of the SLO time that the fleet's mean time may take before less is let in
	slackTime   = 0.45 // part under which more is let in again
	tightCut    = 0.95 // times what the fleet can answer: less, so that full queues empty
	holdFor     = 5.0  // s between two cuts: sums reach back some seconds, come late and are averaged
	slackPull   = 0.05 // a second by which more is let in while nothing waits: queues fill later than sums tell
	slackBack   = 0.5  // the same for each whole that the budget is under the best rate of answers seen
	shutOver    = 3.0  // s over which a level shows in what is asked: its way, the report's and the mean's
	repeatFor   = 8.0  // s of throttling in which repeats are told from a change of callers
	repeatLeast = 0.1  // part of the calls that must be turned away for that
	repeatMost  = 3.0  // repeats of a call that are believed
	levelMove   = 0.05 // part by which a level must move before it is sent
	levelsPart  = 0.5  // most part of the channel's pace that levels take: tables move on as well
	ablePart    = 0.65 // part of what nodes could answer if all were busy that is let in: chance fills the rest
	levelOff    = 1.3  // times the demand at which a budget no longer binds
	tierPart    = 0.8  // part of a route's gain that another must have to share its level
	levelLow    = 0.02 // least level: 0 would also stop what a proxy holds

	idlePart  = 0.10 // part up to which the queue counts as empty, so that changes may start
	queuePart = 0.35 // part of the channel's queue that ordinary changes may fill: it can run 5 times slower
	bindPart  = 0.60 // part that levels and tables for proxies that joined may fill: what must go finds room
	queueFull = 0.80 // part that urgent changes may fill
	waitMost  = 2.0  // s of the channel's pace that what may wait fills: beyond it is out of date, drains wait
	callPart  = 0.20 // part that one call to the relay may fill: lost answers may put it there three times
	askMark   = 3.0  // s from the last sending until a proxy is asked what has left; then up to four times that
	askFirst  = 0.2  // s before the list's service is asked again after a failure
)

// New makes a conductor that knows nothing yet.
func New(host Host, site Site, now float64) *Conductor {
	c := &Conductor{host: host, site: site, now: now, index: map[uint32]int{}, planAt: now, learnAt: now,
		fadedAt: now, budget: math.Inf(1), full: true, askAt: math.Inf(1), channel: channel{head: site.Head}}
	c.kindSpeed = slices.Repeat([]float64{1}, site.Kinds)
	for _, figure := range []*[]float64{&c.asked, &c.first, &c.before, &c.shut, &c.level, &c.gain} {
		*figure = make([]float64, len(site.Routes))
	}
	c.divide(0)
	if site.Sliced {
		return c
	}
	for r, rt := range site.Routes {
		c.order = append(c.order, r)
		c.gain[r], c.level[r] = rt.Importance/max(rt.SLOTime, 1e-9), 1
		c.homeOnly = c.homeOnly || rt.HomeOnly
	}
	slices.SortStableFunc(c.order, func(a, b int) int { return cmp.Compare(c.gain[b], c.gain[a]) })
	if site.MustAsk {
		host.Subscribe()
	}
	host.Wake(now + wakeEvery)
	return c
}

// divide makes the pools, each some nodes and proxies of a zone with one table for these. A zone is one pool
// unless its table would take the channel too long and give its proxies too many connections.
func (c *Conductor) divide(nodes int) {
	n := c.site.Zones * max(1, int(math.Ceil(float64(nodes)/float64(c.site.Zones)/poolMost)))
	c.poolCalls, c.members, c.writes = make([]float64, n), make([][]int, n), make([][]float64, n)
	c.want, c.sent = make([][]float64, n), make([][]float64, n)
	c.callers, c.dealt = make([]float64, n), make([]int, c.site.Zones)
	c.heardAt = slices.Repeat([]float64{c.now}, n)
	c.told, c.toldAt, c.toldFew = make([][]float64, n), make([]float64, n), make([]bool, n)
	for z := range c.told {
		c.told[z] = slices.Repeat([]float64{1}, len(c.site.Routes)) // proxies let all in until told
	}
}

// ListWhole is the complete list, at the start the one last known: what it lacks is gone.
func (c *Conductor) ListWhole(now float64, rows []Row) {
	for i := range c.condition {
		c.condition[i] = Gone
	}
	c.ListChanged(now, rows)
}

// ListChanged brings the entries that are new or other than before.
func (c *Conductor) ListChanged(now float64, rows []Row) {
	c.now, c.askTries = now, 0
	if len(c.node) == 0 {
		c.divide(len(rows))
		for p, here := range c.joined {
			if here {
				c.house(p, c.home[p])
			}
		}
	}
	for _, row := range rows {
		if row.Zone >= c.site.Zones || row.Kind >= c.site.Kinds {
			continue
		}
		i, known := c.index[row.Node]
		if !known {
			i = c.addNode(row)
		}
		if row.Started > c.started[i] {
			// A restart under the same id is a new, cold process: what was seen of the old one is void.
			c.started[i] = row.Started
			c.setHealth(i, well)
			c.forget(i)
		}
		c.condition[i], c.listed[i] = row.Condition, cmp.Or(max(row.Weight, 0), 1)
	}
	c.changed = !c.site.Sliced
	c.settle()
}

func (c *Conductor) addNode(row Row) int {
	i := len(c.node)
	if n := len(c.spare); n > 0 {
		i, c.spare = c.spare[n-1], c.spare[:n-1]
	} else {
		c.node, c.kind, c.pool = append(c.node, 0), append(c.kind, 0), append(c.pool, 0)
		c.condition, c.health = append(c.condition, Gone), append(c.health, well)
		for _, figure := range []*[]float64{&c.listed, &c.started, &c.since, &c.done, &c.busy,
			&c.quick, &c.queue, &c.use, &c.ended, &c.lost, &c.spent} {
			*figure = append(*figure, 0)
		}
		for t := range c.sent {
			c.sent[t], c.want[t] = append(c.sent[t], 0), append(c.want[t], 0)
		}
	}
	c.index[row.Node] = i
	c.node[i], c.kind[i], c.condition[i], c.health[i] = row.Node, row.Kind, Ready, well
	c.pool[i] = (row.Zone + c.site.Zones*c.dealt[row.Zone]) % len(c.want)
	c.dealt[row.Zone]++
	c.started[i], c.since[i] = -1, 0
	return i
}

// Forget guards against memory and work that grow with each release: a node that is gone for good gives its
// place back. It tells whether it could: not while a table has its line.
func (c *Conductor) Forget(node uint32) bool {
	i, known := c.index[node]
	if !known {
		return true
	}
	for t := range c.sent {
		if c.condition[i] != Gone || c.sent[t][i] > 0 {
			return false
		}
		c.want[t][i] = 0
	}
	c.forget(i)
	delete(c.index, node)
	c.spare = append(c.spare, i)
	return true
}

// ListFailed says that asking for the list failed or that the subscription broke.
func (c *Conductor) ListFailed(now float64) {
	c.now = now
	if c.site.MustAsk && !c.site.Sliced && math.IsInf(c.askAt, 1) {
		// Waits grow and are spread by chance: the service is one for all and turns crowds away.
		c.askAt = now + min(askFirst*math.Exp2(c.askTries), c.site.AskWithin/4)*(0.5+c.chance())
		c.askTries++
	}
}

// ProxyJoined says that a proxy's stream stands. It is to be bound: what it holds may be anyone's.
func (c *Conductor) ProxyJoined(now float64, proxy, zone int, rate float64) {
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
		c.bindJoined()
		return
	}
	c.ProxyLeft(now, proxy)
	c.joined[proxy], c.typical[proxy] = true, rate
	c.house(proxy, best)
	if home := c.home[proxy]; len(c.members[home]) == 0 {
		c.heardAt[home] = now // all were away: the first report on one took off their usual calls
	}
	if c.usage[proxy] == nil || sum(c.usage[proxy]) < rate {
		// One that is back counts for its usual calls at once: what it is asked is told seconds later.
		c.usage[proxy] = slices.Repeat([]float64{rate / float64(len(c.site.Routes))}, len(c.site.Routes))
	}
	if !c.site.Sliced {
		c.unbound = append(c.unbound, proxy)
		c.bindJoined()
	}
}

// house gives a proxy the pool of its zone whose proxies get the fewest calls.
func (c *Conductor) house(proxy, zone int) {
	best := zone
	for pool := best; pool < len(c.want); pool += c.site.Zones {
		if c.callers[pool] < c.callers[best] {
			best = pool
		}
	}
	c.home[proxy] = best
	c.callers[best] += c.typical[proxy]
}

// bindJoined puts proxies that joined on their tables, as the queue takes them: a fleet would overrun it.
// Before any node is known a table would only take from them the nodes that they hold.
func (c *Conductor) bindJoined() {
	for len(c.unbound) > 0 && len(c.node) > 0 {
		p := c.unbound[0]
		if !c.fits(c.bindCost(p)+c.site.Head+1, bindPart) {
			return
		}
		c.unbound = c.unbound[1:]
		c.bind(p)
	}
}

// bindCost is how many lines of its own it takes to bind a proxy to its table.
func (c *Conductor) bindCost(proxy int) float64 {
	lines := 1 + float64(len(c.site.Routes))
	for _, weight := range c.sent[c.home[proxy]] {
		lines += min(1, math.Ceil(weight))
	}
	return lines
}

func (c *Conductor) bind(proxy int) {
	c.host.Bind(proxy, c.home[proxy])
	if members := &c.members[c.home[proxy]]; !slices.Contains(*members, proxy) {
		*members = append(*members, proxy)
	}
	c.book([]int{proxy}, c.bindCost(proxy))
	c.channel.bind(c.home[proxy])
}

// askOne guards against a channel that counts as full for good: those that were to confirm the last mark may
// have been renewed, and nothing else goes out. Who is bound once more confirms that all before has left.
func (c *Conductor) askOne() {
	if s := c.channel.sendings; len(s) == 0 || c.now < s[len(s)-1].at+askMark*(1+min(c.channel.unheard, 3)) {
		return
	}
	c.channel.unheard++
	var here []int
	for p, joined := range c.joined {
		if joined {
			here = append(here, p)
		}
	}
	if len(here) > 0 {
		p := here[int(c.chance()*float64(len(here)))]
		c.unbound = slices.DeleteFunc(c.unbound, func(q int) bool { return q == p })
		c.bind(p)
	}
}

// ProxyLeft says that a proxy's stream broke. Its usage fades: a short break swings no zone's share.
func (c *Conductor) ProxyLeft(now float64, proxy int) {
	c.now = now
	if proxy < len(c.joined) && c.joined[proxy] {
		home, gone := c.home[proxy], func(p int) bool { return p == proxy }
		c.callers[home] -= c.typical[proxy]
		c.members[home], c.unbound = slices.DeleteFunc(c.members[home], gone), slices.DeleteFunc(c.unbound, gone)
		c.joined[proxy], c.typical[proxy] = false, 0
		c.channel.left(proxy)
	}
}

// OrdersTaken says that the call with a mark was answered.
func (c *Conductor) OrdersTaken(now float64, mark int) {
	c.now = now
	c.channel.taken(mark)
}

// OrdersRepeated says that the call with a mark goes out again though it may have been carried out, all of it
// or its first part.
func (c *Conductor) OrdersRepeated(now float64, mark int, whole bool) {
	c.now = now
	c.channel.repeated(mark, whole)
}

// MarkConfirmed says that a proxy applied what was sent up to a mark; all that was ordered before has left.
func (c *Conductor) MarkConfirmed(now float64, proxy, mark int) {
	c.now = now
	c.channel.confirmed(proxy, mark)
}

// NodeSums brings what the proxies of a zone met at a node.
func (c *Conductor) NodeSums(now float64, s Sums) {
	c.now = now
	i, known := c.index[s.Node]
	if !known || now-s.Span-sumsLate < c.started[i] {
		return // it tells of the process before: a zone's new nodes were put out for what the lost ones had lost
	}
	// What was held up and comes all at once must not pass for a rate of answers that was never reached.
	part := min(1, viewOver/max(s.Span, 1e-9))
	ended, lost := float64(s.Ended)*part, float64(s.Lost)*part
	c.ended[i], c.lost[i], c.spent[i] = c.ended[i]+ended, c.lost[i]+lost, c.spent[i]+(ended-lost)*s.Mean
	if k := c.site.Backlog; k >= 0 && k < len(s.Report) {
		c.queue[i] = s.Report[k]
	}
	if k := c.site.Utilization; k >= 0 && k < len(s.Report) {
		c.use[i] += (s.Report[k] - c.use[i]) * (1 - math.Exp(-c.site.Period/viewOver))
	}
}

// RouteUsage brings how many calls of a route came to a proxy.
func (c *Conductor) RouteUsage(now float64, u Usage) {
	c.now = now
	if u.Proxy >= len(c.joined) || c.usage[u.Proxy] == nil || int(u.Route) >= len(c.site.Routes) || u.Span <= 0 {
		return
	}
	// A proxy without calls says nothing: what was counted fades as others of its pool report, and stays while
	// none does. Reports that were held up come all at once: each tells of the time that is averaged at most.
	pool := c.home[u.Proxy]
	if keep := math.Exp((c.heardAt[pool] - now) / usageOver); keep < 1 {
		for _, p := range c.members[pool] {
			for r := range c.usage[p] {
				c.usage[p][r] *= keep
			}
		}
	}
	c.heardAt[pool] = now
	c.usage[u.Proxy][u.Route] += float64(u.Calls) / max(u.Span, usageOver)
}

// Woke comes at the pace that the conductor asked for.
func (c *Conductor) Woke(now float64) {
	c.now = now
	c.host.Wake(now + wakeEvery)
	if now >= c.askAt {
		c.askAt = math.Inf(1)
		c.host.Subscribe()
	}
	c.takeStock()
	c.judgeNodes()
	if now >= c.learnAt {
		c.learnAt = now + learnEvery
		c.learn()
		c.letIn()
	}
	c.settle()
	c.ordinary()
	c.askOne()
}

// takeStock lets what was met age, but on trial, where few calls must tell, and sums up what is asked.
func (c *Conductor) takeStock() {
	keep := math.Exp((c.fadedAt - c.now) / viewOver)
	c.fadedAt = c.now
	for i := range c.node {
		if c.health[i] != onTrial {
			c.ended[i], c.lost[i], c.spent[i] = keep*c.ended[i], keep*c.lost[i], keep*c.spent[i]
		}
	}
	c.answering = 0
	if ended := sum(c.ended); ended >= sickCalls {
		c.answering = 1 - sum(c.lost)/ended
		c.filled += (1 - c.filled) * (1 - keep)
	}
	clear(c.poolCalls)
	clear(c.asked)
	for p, here := range c.joined {
		for r, rate := range c.usage[p] {
			c.poolCalls[c.home[p]] += rate
			c.asked[r] += rate
			if !here {
				c.usage[p][r] *= math.Exp(-wakeEvery / usageOver)
			}
		}
	}
	c.slo = 0
	for r, rate := range c.asked {
		c.slo += c.site.Routes[r].SLOTime * rate / max(sum(c.asked), 1e-9)
	}
}

func (c *Conductor) forget(i int) {
	c.ended[i], c.lost[i], c.spent[i], c.done[i], c.busy[i] = 0, 0, 0, 0, 0
	c.use[i], c.queue[i], c.quick[i] = 0, 0, math.Inf(1)
}

func (c *Conductor) setHealth(i int, h health) {
	if c.health[i] != h {
		c.host.Log(fmt.Sprintf("node %d %s", c.node[i], [...]string{"well", "out", "on trial"}[h]))
	}
	c.health[i], c.since[i], c.changed = h, c.now, true
}

// judgeNodes takes out nodes that lose far more than their peers, and tries them again with a small part.
func (c *Conductor) judgeNodes() {
	losses, all, away := []float64(nil), 0.0, 0.0
	for i, condition := range c.condition {
		if condition != Ready {
			continue
		}
		all += c.listed[i]
		if c.health[i] != well {
			away += c.listed[i]
		} else if c.ended[i] >= sickCalls {
			losses = append(losses, c.lost[i]/c.ended[i])
		}
	}
	slices.Sort(losses)
	c.usualLost = 0
	if len(losses) > 0 {
		c.usualLost = losses[len(losses)/2]
	}
	lossBar := sickLost + 1.5*c.usualLost
	for i := range c.node {
		if c.condition[i] != Ready {
			continue
		}
		ended, lost, spent := c.ended[i], c.lost[i], c.spent[i]
		// A full node turns calls away as well, but the calls that it answers take long: that is load, and the
		// weights answer it. Taking it out would only fill the next one.
		quick := spent < tightTime*c.slo*(ended-lost) && c.queue[i] < queueLeast
		bad := ended >= sickCalls && lost >= lossBar*ended && (lost >= deadLost*ended || quick)
		switch {
		case c.health[i] == out:
			if c.now >= c.since[i]+outFor {
				c.forget(i)
				c.setHealth(i, onTrial)
			}
		case bad && (c.health[i] == onTrial || away+c.listed[i] <= outPart*all*lost/ended):
			away += c.listed[i]
			c.setHealth(i, out)
		case !bad && c.health[i] == onTrial && ended >= sickCalls:
			c.setHealth(i, well)
		}
	}
}

// learn keeps what each node answered beside how busy it was; the quotient is its speed. A node that tells
// nothing counts as busy by how long its tries wait beside the best time seen there.
func (c *Conductor) learn() {
	keep := math.Exp(-learnEvery / learnOver)
	for i, ended := range c.ended {
		lost, spent := c.lost[i], c.spent[i]
		if c.condition[i] != Ready || c.health[i] != well || ended < sickCalls || c.warmth(i) < 1 || c.slo == 0 {
			continue
		}
		use := c.use[i]
		if c.site.Utilization < 0 {
			if good := ended - lost; good >= sickCalls {
				c.quick[i] = min(c.quick[i]*(1+quickFade*learnEvery), spent/good)
			}
			quick := min(c.quick[i], easyTime*c.slo)
			use = 1 - quick/max(quick, (spent+lost*c.slo)/ended)
		}
		c.done[i] = c.done[i]*keep + (ended-lost)/viewOver*learnEvery
		c.busy[i] = c.busy[i]*keep + max(use, easyUse)*c.listed[i]*learnEvery
	}
	done, busy := make([]float64, len(c.kindSpeed)), make([]float64, len(c.kindSpeed))
	for i, k := range c.kind {
		done[k], busy[k] = done[k]+c.done[i], busy[k]+c.busy[i]
	}
	for k := range c.kindSpeed {
		c.kindSpeed[k] = (done[k] + learnPrior*(sum(c.done)+1e-9)/(sum(c.busy)+1e-9)) / (busy[k] + learnPrior)
	}
}

// speed is a node's listed weight times what is learned of it; where little is, its kind's.
func (c *Conductor) speed(i int) float64 {
	prior := learnPrior * c.listed[i]
	return c.listed[i] * (c.done[i] + prior*c.kindSpeed[c.kind[i]]) / (c.busy[i] + prior)
}

// warmth is the part of its weight that a node has by its ramp.
func (c *Conductor) warmth(i int) float64 {
	if c.started[i] <= 0 {
		return 1
	}
	return min(1, rampFrom+(1-rampFrom)*max(0, c.now-c.started[i])/max(c.site.Ramp, wakeEvery))
}

// ease guards against a cold node being pushed over by tries that others turn away: it gets less
// by the square of what the fleet answers, and by the fleet's load. Until sums tell, little is answered.
func (c *Conductor) ease(i int) float64 {
	part := rampFrom
	if c.answering > 0 {
		part = c.answering * c.answering * min(1, slackTime/c.load)
	}
	return max(leastPart, min(part, easeMost*c.site.FallTimes))
}

// room is a node's part of its pool's capacity.
func (c *Conductor) room(i int) float64 {
	if c.condition[i] != Ready || c.health[i] == out {
		return 0
	}
	room, usual := c.speed(i), c.usualLost
	if warmth := c.warmth(i); warmth < 1 {
		room, usual = room*warmth*c.ease(i), 0
	}
	if c.ended[i] >= sickCalls {
		// One that has grown far slower than its peers, or is cold, loses tries long before its speed is learned.
		room *= max(leastPart, 1-max(0, c.lost[i]/c.ended[i]-usual))
	}
	if c.health[i] == onTrial {
		room *= trialPart
	}
	return room
}

// plan water-fills the pools' traffic over the pools' room and lays the wanted tables out.
func (c *Conductor) plan() {
	n := len(c.want)
	room, poolRoom, total := make([]float64, len(c.node)), make([]float64, n), 0.0
	for i := range c.node {
		room[i] = c.room(i)
		poolRoom[c.pool[i]] += room[i]
		total += room[i]
	}
	given := c.fill(c.shares(poolRoom), poolRoom)
	// What a pool lends to others takes few nodes, from the end of the list: each line costs one at every proxy.
	// But it takes no whole ones: should the others be lost, the pool's own proxies still hold all its nodes.
	taker, part := make([]int, n), make([]float64, n)
	for z, room := range poolRoom {
		part[z] = max(lendPart, 1-given[z*n+z]/max(room, 1e-9))
		clear(c.want[z])
	}
	for i := len(c.node) - 1; i >= 0; i-- {
		z, own := c.pool[i], room[i]
		for lend := part[z] * room[i]; lend > 0 && taker[z] < n-1; {
			from := (z + 1 + taker[z]) % n
			if given[from*n+z] < moveLeast*room[i] {
				taker[z]++ // less is not worth a line
				continue
			}
			take := min(lend, given[from*n+z])
			c.want[from][i] += take
			given[from*n+z] -= take
			own, lend = own-take, lend-take
		}
		if given[z*n+z] > 0 {
			c.want[z][i] = own
		}
	}
	for z, want := range c.want {
		whole := sum(want)
		for i := range want {
			if whole > 0 {
				want[i] /= whole
			} else if total == 0 && c.condition[i] == Ready {
				want[i] = c.sent[z][i] // no capacity: the last tables stay, but for what must go
			} else if c.pool[i] == z || poolRoom[z] == 0 {
				// No allocation: its own nodes, or where it has none, all: a proxy that joins must find a line.
				want[i] = room[i] / max(total, 1e-9)
			}
		}
	}
}

// shares are the calls by pool for the fill. A conductor that its own zone's proxies join would lend their
// calls to all zones alike: those that it does not see are taken to be as many, and where the room is.
func (c *Conductor) shares(poolRoom []float64) []float64 {
	if !c.site.OwnZone {
		return c.poolCalls
	}
	shares, missing := slices.Clone(c.poolCalls), make([]float64, len(poolRoom))
	all, seen, room := float64(c.site.Proxies), 0.0, max(sum(poolRoom), 1e-9)
	for pool, members := range c.members {
		seen += float64(len(members))
		missing[pool] = max(0, all*poolRoom[pool]/room-float64(len(members)))
	}
	// The fuller our own nodes are, the likelier it is that others have more room.
	belief := max(0, min(1, (tightTime-c.load)/(tightTime-slackTime)))
	unseen, whole := belief*sum(c.callers)/(seen+ownPrior)*max(0, all-seen), sum(missing)
	for pool, proxies := range missing {
		shares[pool] += unseen * proxies / max(whole, 1e-9)
	}
	return shares
}

// fill is the paper's Algorithm 1 over pools: direct room first, then evenly over those that still have room,
// of its own zone first, a pool weighing its share of the traffic. It gives what of each goes to which.
func (c *Conductor) fill(shares, poolRoom []float64) []float64 {
	n := len(poolRoom)
	left := slices.Clone(poolRoom)
	given := make([]float64, n*n)
	whole := sum(poolRoom)
	use, load := make([]float64, n*n), make([]float64, n)
	for {
		clear(use)
		clear(load)
		near, far := make([][]int, c.site.Zones), []int(nil) // pools with room, of a zone and anywhere
		for to := range n {
			if left[to] > 1e-9*whole {
				near[to%c.site.Zones] = append(near[to%c.site.Zones], to)
				far = append(far, to)
			}
		}
		for from, share := range shares {
			targets := near[from%c.site.Zones]
			if left[from] > 1e-9*whole {
				targets = []int{from}
			} else if len(targets) == 0 && !c.homeOnly {
				targets = far
			}
			if share > 0 && len(targets) == 0 {
				return given
			}
			for _, to := range targets {
				use[from*n+to] += share / float64(len(targets))
				load[to] += share / float64(len(targets))
			}
		}
		bottleneck := math.Inf(1)
		for to := range n {
			if load[to] > 0 {
				bottleneck = min(bottleneck, left[to]/load[to])
			}
		}
		if math.IsInf(bottleneck, 1) {
			return given
		}
		for k, u := range use {
			given[k] += u * bottleneck
			left[k%n] -= u * bottleneck
		}
	}
}

// settle sends at once what cannot wait for step and pace: lines to nodes that drain or are gone, then tables
// for proxies that joined, then levels, then what moved of tables with a line to a sick node, or to a cold
// one that gets twice its part since others went, and of those that are a quarter off or have no line.
func (c *Conductor) settle() {
	if !c.changed {
		c.bindJoined()
		c.tellLevels()
		return
	}
	c.changed = false
	c.plan()
	for t := range c.sent {
		gone := slices.DeleteFunc(c.moved(t, 0), func(i int) bool { return c.condition[i] == Ready })
		c.changed = !c.push(t, gone, queueFull) || c.changed
	}
	c.bindJoined()
	if !c.tellLevels() {
		c.changed = true
		return
	}
	urgent := make([][]int, len(c.sent))
	for t := range c.sent {
		_, urgent[t] = c.off(t)
	}
	c.changed = !c.pushAll(urgent, bindPart) || c.changed
}

// off tells how many of a table's calls go elsewhere than wanted, and the lines that cannot wait.
func (c *Conductor) off(t int) (calls float64, urgent []int) {
	rest, part := 0.0, 0.0
	for i, weight := range c.sent[t] {
		if c.want[t][i] > 0 {
			rest += weight
		}
	}
	for i, weight := range c.sent[t] {
		want := c.want[t][i]
		part += math.Abs(want-weight/max(rest, 1e-9)) / 2
		if weight > 0 && (want == 0 || c.warmth(i) < 1 && 2*want*rest <= weight) {
			urgent = append(urgent, i)
		}
	}
	if rest == 0 || part > offMost || len(urgent) > 0 {
		urgent = c.moved(t, moveLeast)
	}
	if rest == 0 && len(c.members[t]) > 0 {
		return math.Inf(1), urgent // its proxies have no node to pick
	}
	return part * c.poolCalls[t], urgent
}

// pushAll sends lines by table, the one with most calls off for each line first: else a small pool's, all of
// it wrong, would wait behind large ones that are a little off. If they do not fit, all wait: what is small
// would always find room before them, and a pool's calls went to the one node that it had left.
func (c *Conductor) pushAll(lines [][]int, queue float64) bool {
	var tables []int
	off := make([]float64, len(lines))
	for t := range lines {
		if len(lines[t]) > 0 {
			tables = append(tables, t)
			off[t], _ = c.off(t)
			off[t] /= c.channel.cost(c.now, c.members[t], float64(len(lines[t]))) + 1
		}
	}
	slices.SortStableFunc(tables, func(t, u int) int { return cmp.Compare(off[u], off[t]) })
	for _, t := range tables {
		if !c.push(t, lines[t], queue) {
			return false
		}
	}
	return true
}

// ordinary sends the tables that moved: pools that receive first, then pools that send to others.
func (c *Conductor) ordinary() {
	if len(c.later) > 0 {
		if open, messages := c.channel.unsettled(c.stepMark); 2*open <= messages || c.now >= c.stepUntil {
			c.pushAll(c.allMoved(c.later), queuePart)
			c.later = nil
		}
		return
	}
	if c.now < c.planAt || len(c.unbound) > 0 || c.free(idlePart) <= 0 {
		return
	}
	c.plan()
	var first, then []int
	for t, want := range c.want {
		sends := false
		for i, weight := range want {
			sends = sends || weight > 0 && c.pool[i] != t
		}
		if moved := len(c.moved(t, moveLeast)) > 0; moved && sends {
			then = append(then, t)
		} else if moved {
			first = append(first, t)
		}
	}
	if len(first) == 0 {
		first, then = then, nil
	}
	if len(first) > 0 {
		c.planAt = c.now + paceEvery
		c.pushAll(c.allMoved(first), queuePart)
	}
	c.later, c.stepMark, c.stepUntil = then, c.channel.marks, c.now+paceEvery
}

// scale turns wanted weights into those of a table as sent, by their median ratio: weights only count beside
// each other, so that a line that goes or turns cold moves no other.
func (c *Conductor) scale(t int) float64 {
	want, sent, half := c.want[t], c.sent[t], 0.0
	var kept []int
	for i, weight := range want {
		if weight > 0 && sent[i] > 0 {
			kept = append(kept, i)
			half += weight / 2
		}
	}
	slices.SortFunc(kept, func(i, j int) int { return cmp.Compare(sent[i]/want[i], sent[j]/want[j]) })
	for _, i := range kept {
		if half -= want[i]; half <= 0 {
			return sent[i] / want[i]
		}
	}
	return 1
}

// moved lists a table's lines that are off by more than a part, the one that moves most calls first.
func (c *Conductor) moved(t int, part float64) (lines []int) {
	scale := c.scale(t)
	by := func(i int) float64 { return math.Abs(c.want[t][i]*scale - c.sent[t][i]) }
	for i, want := range c.want[t] {
		if by(i) > part*max(want*scale, c.sent[t][i]) {
			lines = append(lines, i)
		}
	}
	slices.SortStableFunc(lines, func(i, j int) int { return cmp.Compare(by(j), by(i)) })
	return lines
}

// allMoved lists, by table, what moved of some tables by a tenth.
func (c *Conductor) allMoved(tables []int) [][]int {
	lines := make([][]int, len(c.want))
	for _, t := range tables {
		lines[t] = c.moved(t, moveLeast)
	}
	return lines
}

// push sends lines of a table and tells whether all went out. Those that may wait go together, or as many as
// fit into an empty channel: a message costs lines of its own, and sent one by one, half of a fleet's new
// nodes were on no table for 10 s.
func (c *Conductor) push(t int, lines []int, queue float64) bool {
	scale, n := c.scale(t), len(lines)
	for n > 0 && !c.mayWrite(t, float64(n), queue) {
		if n--; queue < queueFull && c.free(idlePart) <= 0 {
			return false
		}
	}
	for _, i := range lines[:n] {
		c.sent[t][i] = c.want[t][i] * scale
		c.host.SetLine(t, c.node[i], c.sent[t][i])
		c.write(t)
	}
	return n == len(lines)
}

// write books a line to the proxies of a pool.
func (c *Conductor) write(pool int) {
	if w := c.writes[pool]; len(c.members[pool]) > 0 && (len(w) == 0 || w[len(w)-1] != c.now) {
		c.writes[pool] = append(w, c.now)
	}
	c.book(c.members[pool], 1)
	c.channel.put(c.now, pool)
}

// book counts lines for each of some proxies into the channel.
func (c *Conductor) book(proxies []int, each float64) {
	if c.channel.book(c.now, proxies, each) {
		c.host.Mark(c.channel.marks % markModulo)
	}
}

// free is how many lines may still be written until a part of the queue is full. What waits is known by the
// marks alone: the channel can be far slower than stated, and for long. A queue that holds far more than the
// channel sends in a while is not filled by what may wait: orders took 20 s to get through it.
func (c *Conductor) free(queue float64) float64 {
	size := c.site.Queue
	if queue < queueFull && c.site.Pace > 0 {
		size = min(size, waitMost*c.site.Pace)
	}
	return queue*size - c.channel.lines
}

// fits tells whether lines may be written into a part of the queue, and into the call that is next. If they
// are more than may ever wait, they go when the channel is nearly empty.
func (c *Conductor) fits(lines, queue float64) bool {
	call, alone := c.channel.call, c.free(idlePart) > 0 && lines <= c.free(queueFull)
	return (lines <= c.free(queue) || alone) && (call == 0 || call+lines <= callPart*c.site.Queue)
}

// mayWrite tells whether lines to all proxies of a pool and messages for them fit into a part of the limits.
func (c *Conductor) mayWrite(pool int, each, queue float64) bool {
	w := slices.DeleteFunc(c.writes[pool], func(at float64) bool { return c.now-at > c.site.MessageSpan })
	c.writes[pool] = w
	lines, limit := c.channel.cost(c.now, c.members[pool], each), queue*float64(c.site.Messages)-1
	more := len(w) == 0 || w[len(w)-1] != c.now
	return c.fits(lines, queue) && (!more || c.site.Messages == 0 || len(w) == 0 || float64(len(w)) < limit)
}

// takeLoad sees how full the fleet is; it gives what was answered, the nodes' weight, and what they could
// answer. A few full nodes are for the weights to relieve: each counts for its answers, and bounded.
func (c *Conductor) takeLoad() (good, fleet, able float64) {
	c.load = 0
	for i, tries := range c.ended {
		if c.condition[i] != Ready || c.health[i] == out {
			continue
		}
		fleet, able = fleet+c.listed[i]*c.warmth(i), able+c.speed(i)*c.warmth(i)
		answers := tries - c.lost[i]
		good += answers
		// Tries lost where the others are quick are no load: connections refused, or a node that fails.
		slow := min(1, max(0, (c.spent[i]/max(answers, 1)/c.slo-easyTime)/(tightTime-easyTime)))
		part := (c.spent[i]/c.slo + slow*c.lost[i]) / max(tries, sickCalls)
		if c.site.Backlog >= 0 {
			// Calls that wait tell of a queue before those that waited do.
			part = easyTime + c.queue[i]*viewOver/max(answers, 1)/float64(c.site.Conductors)/c.slo
		}
		c.load += answers * min(part, 1)
	}
	c.load /= max(good, 1)
	return good, fleet, able
}

// countFirst tells first tries from what is asked, in SLO times a second. Clients repeat what is turned away,
// and that is turned away again; how often shows early in throttling, beside what as many asked before.
func (c *Conductor) countFirst() (asked float64) {
	all, was, hidden, turned := sum(c.asked), 0.0, 0.0, 0.0
	calls := max(sum(c.poolCalls), 1e-9)
	for r, rate := range c.asked {
		shut := 0.0
		for z, told := range c.told {
			shut += (1 - told[r]) * c.poolCalls[z] / calls
		}
		c.shut[r] += (shut - c.shut[r]) * learnEvery / shutOver
		if !c.tight {
			c.before[r] = rate / c.calling
		}
		was, hidden = was+c.before[r]*c.calling, hidden+c.before[r]*c.calling*c.shut[r]
		turned += rate * c.shut[r]
		c.first[r] = rate / (1 + c.repeats*c.shut[r])
		asked += c.first[r] * c.site.Routes[r].SLOTime
	}
	if c.tight && c.now < c.tightAt+repeatFor && hidden > repeatLeast*was {
		seen := min(max((all-was)/hidden, 0), repeatMost)
		c.repeats += (seen - c.repeats) * learnEvery / shutOver
	}
	if tries := sum(c.ended) / viewOver / c.filled; c.load < easyTime && turned > 0 {
		// Repeats alone could keep an idle fleet throttled: where nothing waits, what ended was let in.
		c.repeats = min(max((all-turned)/tries-1, 0)*all/turned, repeatMost)
	}
	return asked
}

// letIn guards against full queues: it lets in what the fleet has shown that it can answer, and of that the
// routes with most importance for each unit of work first, a route's SLO time standing for its work.
func (c *Conductor) letIn() {
	if c.slo == 0 || c.answering == 0 {
		return
	}
	// A zone or a release takes nodes away and brings them back, a conductor that stops its proxies: what the
	// nodes can answer of ours goes and comes along, as slowly as the usage of proxies that left fades.
	callers := max(sum(c.callers), 1e-9)
	c.calling = max(callers, callers+(c.calling-callers)*math.Exp(-learnEvery/usageOver))
	good, fleet, able := c.takeLoad()
	asked := c.countFirst()
	if fleet *= c.calling; c.fleet > 0 {
		c.budget, c.peak = c.budget*fleet/c.fleet, c.peak*fleet/c.fleet
	}
	c.fleet = fleet
	if c.filled > filledAt {
		c.peak = max(c.peak, good/viewOver/c.filled*c.slo)
	}
	c.full = c.load > tightTime || c.full && c.load > slackTime
	switch {
	case c.load > tightTime && c.now >= c.holdUntil && c.peak > 0:
		c.budget = tightCut * min(c.budget, c.peak)
		c.holdUntil = c.now + holdFor
	case c.load < slackTime:
		pull := slackPull + slackBack*max(0, 1-c.budget/max(c.peak, 1e-9))
		c.budget *= 1 + pull*learnEvery*min(1, (slackTime-c.load)/(slackTime-easyTime))
	}
	if able *= ablePart * c.slo; c.site.Utilization >= 0 && asked > able {
		// Where nodes tell how busy they are, a burst shows in what is asked before any queue tells.
		c.budget = min(c.budget, able)
	}
	if c.site.Levels == LevelsOff || c.load < slackTime && c.budget > levelOff*asked {
		c.budget = math.Inf(1)
	}
	if tight := !math.IsInf(c.budget, 1); tight != c.tight {
		c.tight, c.tightAt = tight, c.now
		c.host.Log(fmt.Sprintf("throttling: %t", tight))
	}
	left, level, tier := c.budget, 1.0, math.Inf(1)
	for k, r := range c.order {
		if c.gain[r] < tierPart*tier {
			// Routes that gain about alike share one level: the gain is only known roughly.
			work := 0.0
			for _, q := range c.order[k:] {
				if c.gain[q] >= tierPart*c.gain[r] {
					work += c.first[q] * c.site.Routes[q].SLOTime
				}
			}
			tier, level = c.gain[r], max(levelLow, min(1, left/max(work, 1e-9)))
			left = max(0, left-work)
		}
		if math.Abs(level-c.level[r]) > levelMove*c.level[r] || level == 1 && c.level[r] < 1 {
			c.level[r] = level
		}
	}
}

// tellLevels tells each pool the levels as the queue takes them, before tables that may wait: for all proxies
// at once they found no room beside tables, and a jam went on with all let in. Further tries are one, after
// proof that the first never ran, which is safe on every route; none while the fleet is full, where each only
// fills another node.
func (c *Conductor) tellLevels() (all bool) {
	tries, routes := RetryUnsent, float64(len(c.order))
	if all = true; c.full {
		tries = NoRetry
	}
	for z, told := range c.told {
		lines := float64(len(c.members[z])*len(c.told)) * (c.site.Head + 1 + routes) // as though all were as many
		late := c.now >= c.toldAt[z]+max(paceEvery, lines/(levelsPart*max(c.site.Pace, 1)))
		if !late || c.toldFew[z] == c.full && slices.Equal(told, c.level) {
			continue
		}
		room := c.fits(c.channel.cost(c.now, c.members[z], routes), bindPart) || c.free(idlePart) > 0
		if all = all && room; !room || !c.mayWrite(z, routes, queueFull) {
			continue // a pool that has had its messages holds no other back
		}
		for r, level := range c.level {
			if told[r] != level || c.toldFew[z] != c.full {
				if told[r] = level; c.site.Levels == LevelRate {
					level = c.rateFor(r)
				}
				c.host.SetLevel(z, RouteID(r), level, tries)
				c.write(z)
			}
		}
		c.toldAt[z], c.toldFew[z] = c.now, c.full
	}
	return all
}

// rateFor is each proxy's max-min rate that lets in a part of a route's first tries; repeats use none of it.
func (c *Conductor) rateFor(r int) float64 {
	var rates []float64
	for p, here := range c.joined {
		if here {
			rates = append(rates, c.usage[p][r]*c.first[r]/max(c.asked[r], 1e-9))
		}
	}
	slices.Sort(rates)
	left := c.level[r] * sum(rates)
	for k, rate := range rates {
		if each := left / float64(len(rates)-k); c.level[r] < 1 && rate >= each {
			return each
		}
		left -= rate
	}
	return math.MaxFloat32
}
