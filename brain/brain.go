package brain

// Every decision is in this file. A Conductor is made by New and then told what happens, one method for
// each thing that can happen: ListWhole, ListChanged, ListFailed, ProxyJoined, ProxyLeft, MarkConfirmed,
// NodeSums, RouteUsage and Woke. It acts by calling the Host that it was handed and asks to be woken at a
// steady pace. Host and the types handed in are in host.go.

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
)

const (
	wakeEvery  = 0.1  // s; well under every grace and delay, and cheap
	paceEvery  = 1.0  // s between two changes of a table (design page)
	stepWait   = 1.0  // s that a step waits for its marks (design page)
	moveLeast  = 0.10 // part of a weight that must move before lines go out (design page)
	moveTrim   = 0.01 // part; smaller moves stay home when a table goes out, they would change no split
	usageOver  = 5.0  // s over which a proxy's usage is averaged: callers drift within some 10 s
	backTimes  = 2.0  // times its usual calls that a proxy counts for when it is back: to a burst, maybe
	demandOver = 2.0  // s over which demand is averaged for levels: long enough for a proxy's few calls
	rampFrom   = 0.25 // part of its weight that a new node starts with (design page)
	rampTimes  = 3.0  // fall multiple up to which the ramp lasts the whole time that a node may take to warm up
	easeMost   = 0.25 // most part of its ramp that a cold node gets, for each time of the fall multiple
	easeLeast  = 0.1  // least part of its ramp that it gets, so that it still gets calls to be judged by
	viewOver   = 2.5  // s that what was met at a node is remembered: a few dozen calls, a few reports

	learnEvery = 0.5  // s between two steps of the learned speeds
	learnOver  = 8.0  // s that a node's answers and use are remembered: its work varies from call to call
	learnPrior = 1.5  // s of being busy that its kind counts for: a few dozen calls tell about as much
	easyTime   = 0.30 // part of the SLO time that a try takes without waiting, for all that is known
	quickFade  = 0.01 // a second by which the best time seen at a node fades: its work may change
	easyUse    = 0.30 // least busy part of a node that is believed: less says nothing of its speed

	sickLost   = 0.25 // part of tries lost, above half again what the median node loses, that is sick
	deadLost   = 0.95 // part lost that no load explains: a full node still answers some
	sickCalls  = 4.0  // tries that must have ended before a node is judged: fewer are chance
	silentFor  = 8.0  // calls overdue at a node; chance brings so many about once in 3000 looks
	outFirst   = 4.0  // s that a sick node is left out at first: most faults outlast that
	outMost    = 16.0 // s; a node that stays sick is tried again at least so often
	outPart    = 0.40 // part of the listed weight that may be out at once: beyond, the judge is at fault
	trialPart  = 0.25 // part of its weight that a node on trial gets, as a new one gets
	trialCalls = 3.0  // calls that end a trial

	tightTime   = 0.60 // part of the SLO time that the fleet's mean time may take before less is let in
	slackTime   = 0.45 // part under which more is let in again
	tightCut    = 0.90 // times what the fleet can answer: less, so that full queues empty
	holdFor     = 3.0  // s between two cuts: the sums that show a cut's effect come 2 to 3 s late
	slackPull   = 0.05 // a second by which more is let in while nothing waits: queues fill later than sums tell
	slackBack   = 0.5  // the same for each whole that the budget is under the best rate of answers seen
	peakFade    = 0.03 // a second by which the best rate of answers fades while full: nodes slow down
	shutOver    = 3.0  // s over which a level shows in what is asked: its way, the report's and the mean's
	repeatFor   = 8.0  // s of throttling in which repeats are told from a change of callers
	repeatLeast = 0.1  // part of the calls that must be turned away for that
	repeatMost  = 3.0  // repeats of a call that are believed
	levelMove   = 0.05 // part by which a level must move before it is sent
	ablePart    = 0.75 // part of what nodes could answer if all were busy that is let in: chance fills the rest
	levelOff    = 1.3  // times the demand at which a budget no longer binds
	tierPart    = 0.8  // part of a route's gain that another must have to share its level
	levelLow    = 0.02 // least level: 0 would also stop what a proxy holds

	queuePart  = 0.35  // part of the channel's queue that ordinary changes may fill: it can run 5 times slower
	queueFull  = 0.80  // part that urgent changes may fill
	queueStale = 6.0   // times the stated time after which an unconfirmed message counts as sent
	markModulo = 60000 // marks are whole numbers below 65536

	askFirst = 0.2 // s before the list's service is asked again after a failure
)

type health uint8

const (
	well health = iota
	out
	onTrial
)

// message is what one reply put into the channel; its cost is in lines.
type message struct {
	mark     int
	at, cost float64
}

// Conductor decides for the proxies joined to it.
type Conductor struct {
	host  Host
	site  Site
	now   float64
	draws uint64

	// Nodes, under a dense index.
	index      map[uint32]int
	node       []uint32
	zone, kind []int
	listed     []float64
	condition  []Condition
	started    []float64 // its last start; its ramp begins there
	done       []float64 // calls that it answered, fading
	busy       []float64 // s of its listed weight that it was busy meanwhile
	health     []health
	since      []float64 // of its health
	back       []float64 // s that it stays out the next time
	heard      []float64 // when sums last told of it
	quick      []float64 // best mean time of its answers
	queue      []float64 // calls waiting there, as reported
	use        []float64 // busy part of its cores, as reported
	share      []float64 // of all calls of our proxies, by the last plan

	ended, lost, spent []float64 // tries that ended, those lost, and the time of the good ones, fading

	kindSpeed []float64 // answers a second of being busy and of listed weight, by machine type

	// Proxies, by number.
	joined   []bool
	home     []int
	leftAt   []float64
	typical  []float64   // calls a second that it usually gets, as told when it joined
	usage    [][]float64 // calls a second by route, for zone shares
	demand   [][]float64 // the same, for levels
	answered []int       // the last mark confirmed
	writes   [][]float64 // times of the messages written lately

	// What is asked of the joined proxies, as of the last wake.
	zoneCalls []float64 // calls a second by zone
	calls     float64   // the same of all zones
	asked     []float64 // calls a second by route, for levels
	slo       float64   // mean SLO time of these
	answering float64   // part of all tries that was good; 0 while too few ended

	homeRoutes uint16      // those that may not leave their zone
	want, sent [][]float64 // weights by table and node
	changed    bool        // a node's condition or health did, and the tables have not yet

	// The step under way: its tables and mark, until when it waits, and the tables of the step to come.
	stepTables, later []int
	stepMark          int
	stepUntil         float64

	planAt, learnAt, fadedAt, levelAt, holdUntil, tightAt float64 // the next or last time of each

	marks   int // marks set so far
	channel []message

	// Work a second, in SLO times: what is let in, what was answered at best of late.
	budget, peak float64
	fleet        float64   // listed weight, ramped, of the nodes that these are for
	first        []float64 // calls a second by route that are first tries
	before       []float64 // calls a second by route asked before throttling, for each typical one
	shut         []float64 // part of a route that was turned away, as old as what is asked
	repeats      float64   // times that a client comes again with what is turned away
	gain         []float64 // a route's importance for its SLO time
	order        []int     // routes, the one with most gain first
	level        []float64
	sentTries    []Tries
	load         float64 // part of an SLO time that the fleet takes for a call
	tight        bool
	full         bool // also until sums tell: we may have restarted in the middle of a jam

	askAt, askTries float64
}

// New makes a conductor that knows nothing yet.
func New(host Host, site Site, now float64) *Conductor {
	c := &Conductor{host: host, site: site, now: now, index: map[uint32]int{}, planAt: now, learnAt: now,
		fadedAt: now, budget: math.Inf(1), full: true, askAt: math.Inf(1)}
	c.kindSpeed, c.zoneCalls = slices.Repeat([]float64{1}, site.Kinds), make([]float64, site.Zones)
	for _, figure := range []*[]float64{&c.asked, &c.first, &c.before, &c.shut, &c.level, &c.gain} {
		*figure = make([]float64, len(site.Routes))
	}
	tables := site.Zones // and one a zone more where some routes may not leave it
	for r, rt := range site.Routes {
		if rt.HomeOnly {
			c.homeRoutes |= 1 << r
			tables = 2 * site.Zones
		}
	}
	c.want, c.sent = make([][]float64, tables), make([][]float64, tables)
	c.sentTries = make([]Tries, len(site.Routes))
	if site.Sliced {
		return c
	}
	for r, rt := range site.Routes {
		c.order = append(c.order, r)
		c.gain[r] = rt.Importance / rt.SLOTime
		c.level[r] = 1
		c.sendLevel(r)
	}
	slices.SortStableFunc(c.order, func(a, b int) int { return cmp.Compare(c.gain[b], c.gain[a]) })
	if site.MustAsk {
		host.Subscribe()
	}
	host.Wake(now + wakeEvery)
	return c
}

// chance draws from 0 to 1.
func (c *Conductor) chance() float64 {
	c.draws++
	h := fnv.New64a()
	fmt.Fprint(h, c.site.Seed, c.draws)
	return float64(h.Sum64()>>11) / (1 << 53)
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
		c.condition[i] = row.Condition
		c.listed[i] = row.Weight
		if row.Weight <= 0 {
			c.listed[i] = 1
		}
	}
	c.changed = !c.site.Sliced
	c.settle()
}

func (c *Conductor) addNode(row Row) int {
	i := len(c.node)
	c.index[row.Node] = i
	c.node, c.zone, c.kind = append(c.node, row.Node), append(c.zone, row.Zone), append(c.kind, row.Kind)
	c.condition, c.health = append(c.condition, Ready), append(c.health, well)
	for _, figure := range []*[]float64{&c.listed, &c.started, &c.since, &c.back, &c.heard, &c.done, &c.busy,
		&c.quick, &c.queue, &c.use, &c.share, &c.ended, &c.lost, &c.spent} {
		*figure = append(*figure, 0)
	}
	for t := range c.sent {
		c.sent[t], c.want[t] = append(c.sent[t], 0), append(c.want[t], 0)
	}
	c.started[i] = -1
	return i
}

// ListFailed says that asking for the list failed or that the subscription broke.
func (c *Conductor) ListFailed(now float64) {
	c.now = now
	if c.site.MustAsk && !c.site.Sliced && math.IsInf(c.askAt, 1) {
		// Waits grow and are spread by chance: the service is one for all and turns crowds away.
		wait := min(askFirst*math.Exp2(c.askTries), c.site.AskWithin/4)
		c.askAt = now + wait*(0.5+c.chance())
		c.askTries++
	}
}

// ProxyJoined says that a proxy's stream stands. It is bound at once: what it holds may be anyone's.
func (c *Conductor) ProxyJoined(now float64, proxy, zone int, rate float64) {
	c.now = now
	for len(c.joined) <= proxy {
		c.joined, c.home, c.answered = append(c.joined, false), append(c.home, 0), append(c.answered, 0)
		c.leftAt, c.writes = append(c.leftAt, now), append(c.writes, nil)
		c.typical = append(c.typical, 0)
		c.usage, c.demand = append(c.usage, nil), append(c.demand, nil)
	}
	c.joined[proxy], c.home[proxy], c.answered[proxy], c.writes[proxy] = true, zone, 0, nil
	c.typical[proxy] = rate
	if even := 1 / float64(len(c.site.Routes)); c.usage[proxy] == nil {
		c.usage[proxy] = slices.Repeat([]float64{rate * even}, len(c.site.Routes))
		c.demand[proxy] = slices.Clone(c.usage[proxy])
	} else if sum(c.usage[proxy]) < backTimes*rate {
		// A proxy that is back counts for more than usual at first: the first reports of a zone that starts
		// again, its nodes cold, tell little of what is about to come.
		c.usage[proxy] = slices.Repeat([]float64{backTimes * rate * even}, len(c.site.Routes))
	}
	if c.site.Sliced || zone >= c.site.Zones {
		return
	}
	c.bind(proxy, zone, 0)
	if c.homeRoutes != 0 {
		c.bind(proxy, c.site.Zones+zone, c.homeRoutes)
	}
}

func (c *Conductor) bind(proxy, table int, routes uint16) {
	c.host.Bind(proxy, table, routes)
	c.charge(proxy, float64(1+len(c.site.Routes)+len(c.node)))
}

// ProxyLeft says that a proxy's stream broke. Its usage fades: a short break swings no zone's share.
func (c *Conductor) ProxyLeft(now float64, proxy int) {
	c.now = now
	if proxy < len(c.joined) {
		c.joined[proxy], c.leftAt[proxy] = false, now
	}
}

// MarkConfirmed says that a proxy applied what was sent up to a mark; all that was ordered before has left.
func (c *Conductor) MarkConfirmed(now float64, proxy, mark int) {
	c.now = now
	at := slices.IndexFunc(c.channel, func(m message) bool { return m.mark%markModulo == mark })
	if at < 0 || proxy >= len(c.joined) {
		return
	}
	c.answered[proxy] = c.channel[at].mark
	c.channel = slices.Delete(c.channel, 0, at)
}

// NodeSums brings what the proxies of a zone met at a node.
func (c *Conductor) NodeSums(now float64, s Sums) {
	c.now = now
	i, known := c.index[s.Node]
	if !known {
		return
	}
	c.ended[i] += float64(s.Ended)
	c.lost[i] += float64(s.Lost)
	c.spent[i] += float64(s.Ended-s.Lost) * s.Mean
	c.heard[i] = now
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
	if u.Proxy >= len(c.joined) || c.usage[u.Proxy] == nil || u.Route >= len(c.site.Routes) || u.Span <= 0 {
		return
	}
	rate := float64(u.Calls) / u.Span
	c.usage[u.Proxy][u.Route] += (rate - c.usage[u.Proxy][u.Route]) * (1 - math.Exp(-u.Span/usageOver))
	c.demand[u.Proxy][u.Route] += (rate - c.demand[u.Proxy][u.Route]) * (1 - math.Exp(-u.Span/demandOver))
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
}

// takeStock lets what was met at the nodes age, but for nodes on trial, whose few calls all count, and sums
// up what was met and what is asked.
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
	}
	clear(c.zoneCalls)
	clear(c.asked)
	for p, here := range c.joined {
		calls := sum(c.usage[p])
		if !here {
			calls *= math.Exp((c.leftAt[p] - c.now) / usageOver)
		}
		if c.home[p] < c.site.Zones {
			c.zoneCalls[c.home[p]] += calls
		}
		for r, rate := range c.demand[p] {
			if here {
				c.asked[r] += rate
			}
		}
	}
	c.calls, c.slo = sum(c.zoneCalls), 0
	all := max(sum(c.asked), 1e-9)
	for r, rate := range c.asked {
		c.slo += c.site.Routes[r].SLOTime * rate / all
	}
}

func (c *Conductor) forget(i int) {
	c.ended[i], c.lost[i], c.spent[i] = 0, 0, 0
	c.done[i], c.busy[i] = 0, 0
	c.heard[i], c.use[i], c.queue[i], c.quick[i] = c.now, 0, 0, math.Inf(1)
}

func (c *Conductor) setHealth(i int, h health) {
	if c.health[i] != h {
		c.host.Log(fmt.Sprintf("node %d %s", c.node[i], [...]string{"well", "out", "on trial"}[h]))
	}
	c.health[i], c.since[i], c.changed = h, c.now, true
}

// judgeNodes takes out nodes that lose far more than their peers or fall silent, whatever the cause, and
// tries them again with a small part.
func (c *Conductor) judgeNodes() {
	var losses, gaps []float64
	all, away := 0.0, 0.0
	for i, condition := range c.condition {
		switch {
		case condition != Ready:
			continue
		case c.health[i] != well:
			away += c.listed[i]
		case c.ended[i] >= sickCalls:
			losses = append(losses, c.lost[i]/c.ended[i])
			fallthrough
		default:
			gaps = append(gaps, c.now-c.heard[i])
		}
		all += c.listed[i]
	}
	lossBar := sickLost + 1.5*median(losses)
	// All silent at once is a late report or a stall of our own: only silence beyond the peers' counts.
	gapBar := median(gaps) + c.site.Period
	for i := range c.node {
		if c.condition[i] != Ready {
			continue
		}
		ended, lost, spent := c.ended[i], c.lost[i], c.spent[i]
		// A full node turns calls away as well, but the calls that it answers take long: that is load, and the
		// weights answer it. Taking it out would only fill the next one.
		failing := lost >= lossBar*ended && (lost >= deadLost*ended || spent < tightTime*c.slo*(ended-lost))
		switch c.health[i] {
		case well:
			expected := min(c.share[i]*c.calls, ended/viewOver*math.Exp((c.now-c.heard[i])/viewOver))
			silent := expected*(c.now-c.heard[i]-gapBar) > silentFor
			if !silent && (ended < sickCalls || !failing) || away+c.listed[i] > outPart*all {
				continue
			}
			away += c.listed[i]
			c.back[i] = outFirst
			c.setHealth(i, out)
		case out:
			if c.now >= c.since[i]+c.back[i] {
				c.forget(i)
				c.setHealth(i, onTrial)
			}
		case onTrial:
			if ended >= trialCalls && !failing {
				c.setHealth(i, well)
			} else if ended >= trialCalls {
				c.back[i] = min(2*c.back[i], outMost)
				c.setHealth(i, out)
			}
		}
	}
}

func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[len(v)/2]
}

// learn keeps what each node answered beside how busy it was: the one over the other is its speed, with no
// loop that could swing. A node that tells nothing counts as busy by how long its tries wait beside the best
// time seen there.
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
	all, allBusy := sum(c.done), sum(c.busy)
	for k := range c.kindSpeed {
		done, busy := 0.0, 0.0
		for i := range c.node {
			if c.kind[i] == k {
				done, busy = done+c.done[i], busy+c.busy[i]
			}
		}
		if allBusy > 0 {
			c.kindSpeed[k] = (done + learnPrior*all/allBusy) / (busy + learnPrior)
		}
	}
}

// speed is a node's listed weight times what is learned of it; where little is, its kind's.
func (c *Conductor) speed(i int) float64 {
	prior := learnPrior * c.listed[i]
	return c.listed[i] * (c.done[i] + prior*c.kindSpeed[c.kind[i]]) / (c.busy[i] + prior)
}

// warmth is the part of its weight that a node has by its ramp, the longer the less a cold node stands.
func (c *Conductor) warmth(i int) float64 {
	if c.started[i] <= 0 {
		return 1
	}
	over := c.site.Ramp * min(1, rampTimes/max(c.site.FallTimes, 1))
	return min(1, rampFrom+(1-rampFrom)*max(0, c.now-c.started[i])/max(over, wakeEvery))
}

// ease guards against a cold node being pushed over by tries that a full fleet turns away and that come
// again: it gets less by the tries lost, its own or the fleet's, and by how full the fleet is. Until sums
// tell, little is answered for all we know.
func (c *Conductor) ease(i int) float64 {
	part := rampFrom
	if c.answering > 0 {
		part = c.answering * min(1, slackTime/c.load)
	}
	if c.ended[i] >= sickCalls {
		part = min(part, 1-c.lost[i]/c.ended[i])
	}
	return max(easeLeast, min(part, easeMost*c.site.FallTimes))
}

// room is a node's part of its zone's capacity.
func (c *Conductor) room(i int) float64 {
	if c.condition[i] != Ready || c.health[i] == out {
		return 0
	}
	room := c.speed(i)
	if warmth := c.warmth(i); warmth < 1 {
		room *= warmth * c.ease(i)
	}
	if c.health[i] == onTrial {
		room *= trialPart
	}
	return room
}

// plan water-fills the zones' traffic over the zones' room and lays the wanted tables out.
func (c *Conductor) plan() {
	n := c.site.Zones
	room := make([]float64, len(c.node))
	zoneRoom := make([]float64, n)
	total := 0.0
	for i := range c.node {
		room[i] = c.room(i)
		zoneRoom[c.zone[i]] += room[i]
		total += room[i]
	}
	if total == 0 {
		// No capacity: the last tables stay, but for what must not be sent to any more.
		for t := range c.want {
			for i, condition := range c.condition {
				if c.want[t][i] = 0; condition == Ready {
					c.want[t][i] = c.sent[t][i]
				}
			}
		}
		return
	}
	given := c.fill(c.zoneCalls, zoneRoom)
	clear(c.share)
	for t := range c.want {
		z := t % n
		row := given[z*n : z*n+n]
		if whole := sum(row); t < n && whole > 0 {
			for to := range row {
				row[to] /= whole
			}
		} else if zoneRoom[z] > 0 {
			clear(row)
			row[z] = 1
		} else {
			// A zone without traffic or room: a proxy that joins there must still find a line.
			for to := range row {
				row[to] = zoneRoom[to] / total
			}
		}
		for i := range c.node {
			c.want[t][i] = 0
			if room[i] > 0 {
				c.want[t][i] = row[c.zone[i]] * room[i] / zoneRoom[c.zone[i]]
			}
			if t < n && c.calls > 0 {
				c.share[i] += c.want[t][i] * c.zoneCalls[z] / c.calls
			}
		}
	}
}

// fill is the paper's Algorithm 1 over zones: direct room first, then evenly over the zones that still have
// room, each zone weighing its share of the traffic. It gives what of each zone's traffic goes to which.
func (c *Conductor) fill(shares, zoneRoom []float64) []float64 {
	n := c.site.Zones
	left := slices.Clone(zoneRoom)
	given := make([]float64, n*n)
	whole := sum(zoneRoom)
	open := func(to int) bool {
		return left[to] > 1e-9*whole
	}
	for stuck := false; !stuck; {
		use, load := make([]float64, n*n), make([]float64, n)
		for from, share := range shares {
			if share <= 0 {
				continue
			}
			var targets []int
			if open(from) {
				targets = []int{from}
			} else {
				for to := range n {
					if open(to) {
						targets = append(targets, to)
					}
				}
			}
			stuck = stuck || len(targets) == 0
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
		if stuck || math.IsInf(bottleneck, 1) {
			break
		}
		for k, u := range use {
			given[k] += u * bottleneck
			left[k%n] -= u * bottleneck
		}
	}
	return given
}

// settle sends at once what cannot wait for step and pace: a table with a line that must go or that leads to
// a node which turned cold, and a table without lines.
func (c *Conductor) settle() {
	if !c.changed || !c.mayWrite(queueFull, 1) {
		return
	}
	c.changed = false
	c.plan()
	for t, sent := range c.sent {
		urgent := sum(sent) == 0
		for i, was := range sent {
			urgent = urgent || was > 0 && (c.want[t][i] == 0 || c.warmth(i) < 1 && c.want[t][i] < was/2)
		}
		if urgent {
			c.push(t)
		}
	}
}

func sum(v []float64) (s float64) {
	for _, x := range v {
		s += x
	}
	return s
}

// ordinary sends the tables that moved: zones that receive first, then zones that send to others.
func (c *Conductor) ordinary() {
	if len(c.later) > 0 {
		if (c.stepDone() || c.now >= c.stepUntil) && c.mayWrite(queueFull, 0.5) {
			for _, t := range c.later {
				c.push(t)
			}
			c.later = nil
		}
		return
	}
	if c.now < c.planAt || !c.mayWrite(queuePart, 0.5) {
		return
	}
	c.plan()
	var first, then []int
	for t, want := range c.want {
		moved, sends := false, false
		for i, weight := range want {
			moved = moved || math.Abs(weight-c.sent[t][i]) > moveLeast*max(weight, c.sent[t][i])
			sends = sends || weight > 0 && c.zone[i] != t%c.site.Zones
		}
		switch {
		case moved && sends:
			then = append(then, t)
		case moved:
			first = append(first, t)
		}
	}
	if len(first) == 0 {
		first, then = then, nil
	}
	for _, t := range first {
		c.push(t)
		c.planAt = c.now + paceEvery
	}
	c.stepTables, c.later, c.stepMark, c.stepUntil = first, then, c.marks, c.now+stepWait
}

// stepDone tells whether most proxies of the step under way confirmed its mark; one that left counts no more.
func (c *Conductor) stepDone() bool {
	members, done := 0, 0
	for p, here := range c.joined {
		if here && slices.Contains(c.stepTables, c.home[p]) {
			members++
			if c.answered[p] >= c.stepMark {
				done++
			}
		}
	}
	return 2*done > members || members == 0
}

// push sends a table's lines that are other than wanted.
func (c *Conductor) push(t int) {
	lines := 0.0
	for i, want := range c.want[t] {
		if math.Abs(want-c.sent[t][i]) > moveTrim*max(want, c.sent[t][i]) {
			c.host.SetLine(t, c.node[i], want)
			c.sent[t][i] = want
			lines++
		}
	}
	for p, here := range c.joined {
		if here && lines > 0 && c.home[p] == t%c.site.Zones {
			c.charge(p, lines)
		}
	}
}

// charge books lines for a proxy, and its message's head and mark if this reply had none for it yet.
func (c *Conductor) charge(proxy int, lines float64) {
	if n := len(c.channel); n == 0 || c.channel[n-1].at != c.now {
		c.marks++
		c.host.Mark(c.marks % markModulo)
		c.channel = append(c.channel, message{mark: c.marks, at: c.now})
	}
	if w := c.writes[proxy]; len(w) == 0 || w[len(w)-1] != c.now {
		c.writes[proxy] = append(w, c.now)
		lines += c.site.Head + 1
	}
	c.channel[len(c.channel)-1].cost += lines
}

// mayWrite tells whether a part of the channel's queue, and of the messages that a proxy may be sent, is
// still free. What waits is known by the marks alone: the channel can be far slower than stated.
func (c *Conductor) mayWrite(queue, messages float64) bool {
	stale := queueStale * c.site.Queue / max(c.site.Pace, 1)
	c.channel = slices.DeleteFunc(c.channel, func(m message) bool { return c.now-m.at > stale })
	waiting := 0.0
	for _, m := range c.channel {
		waiting += m.cost
	}
	if waiting > queue*c.site.Queue {
		return false
	}
	if c.site.Messages <= 0 {
		return true
	}
	for p := range c.joined {
		c.writes[p] = slices.DeleteFunc(c.writes[p], func(at float64) bool { return c.now-at > c.site.MessageSpan })
		if c.joined[p] && float64(len(c.writes[p])) > messages*float64(c.site.Messages)-3 {
			return false
		}
	}
	return true
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
		if tries < sickCalls {
			continue
		}
		part := (c.spent[i]/c.slo + c.lost[i]) / tries
		if c.site.Backlog >= 0 {
			// Calls that wait tell of a queue before those that waited do.
			part = easyTime + c.queue[i]*viewOver/max(answers, 1)/float64(c.site.Conductors)/c.slo
		}
		c.load += answers * min(part, 1)
	}
	c.load /= max(good, 1)
	return good, fleet, able
}

// countFirst tells first tries from what is asked. Clients repeat what is turned away, and a repeat is turned
// away again; how often they do shows in the first seconds of throttling, beside what was asked before by as
// many callers. It gives the SLO times a second asked for, and the mean SLO time of what is let in.
func (c *Conductor) countFirst() (asked, slo float64) {
	callers := 1e-9
	for p, here := range c.joined {
		if here {
			callers += c.typical[p]
		}
	}
	was, hidden, passed, calls := 0.0, 0.0, 0.0, 0.0
	for r, rate := range c.asked {
		c.shut[r] += (1 - c.level[r] - c.shut[r]) * learnEvery / shutOver
		if !c.tight {
			c.before[r] = rate / callers
		}
		was, hidden = was+c.before[r]*callers, hidden+c.before[r]*callers*c.shut[r]
		c.first[r] = rate / (1 + c.repeats*c.shut[r])
		asked += c.first[r] * c.site.Routes[r].SLOTime
		passed, calls = passed+c.first[r]*c.level[r]*c.site.Routes[r].SLOTime, calls+c.first[r]*c.level[r]
	}
	if c.tight && c.now < c.tightAt+repeatFor && hidden > repeatLeast*was {
		seen := min(max((sum(c.asked)-was)/hidden, 0), repeatMost)
		c.repeats += (seen - c.repeats) * learnEvery / shutOver
	}
	return asked, passed / max(calls, 1e-9)
}

// letIn guards against full queues: it lets in what the fleet has shown that it can answer, and of that the
// routes with most importance for each unit of work first, a route's SLO time standing for its work.
func (c *Conductor) letIn() {
	if c.slo == 0 || c.answering == 0 {
		return
	}
	good, fleet, able := c.takeLoad()
	asked, slo := c.countFirst()
	if c.fleet > 0 {
		// A zone or a release takes nodes away and brings them back: what they can answer goes and comes along.
		c.budget, c.peak = c.budget*fleet/c.fleet, c.peak*fleet/c.fleet
	}
	c.fleet = fleet
	if c.full {
		c.peak *= 1 - peakFade*learnEvery
	}
	c.peak = max(c.peak, good/viewOver*slo)
	c.full = c.load > tightTime || c.full && c.load > slackTime
	switch {
	case c.load > tightTime && c.now >= c.holdUntil:
		c.budget = tightCut * min(c.budget, c.peak)
		c.holdUntil = c.now + holdFor
	case c.load < slackTime:
		pull := slackPull + slackBack*max(0, 1-c.budget/c.peak)
		c.budget *= 1 + pull*learnEvery*min(1, (slackTime-c.load)/(slackTime-easyTime))
	}
	if able *= ablePart * slo; c.site.Utilization >= 0 && asked > able {
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
	if c.now < c.levelAt+paceEvery || !c.mayWrite(queuePart, 0.5) {
		return
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
		if math.Abs(level-c.level[r]) > levelMove*c.level[r] || level == 1 && c.level[r] < 1 ||
			c.tries() != c.sentTries[r] {
			c.level[r], c.levelAt = level, c.now
			c.sendLevel(r)
		}
	}
}

// sendLevel sends a route's level and further tries to all proxies.
func (c *Conductor) sendLevel(r int) {
	level := c.level[r]
	if c.site.Levels == LevelRate {
		level = c.rateFor(r)
	}
	c.sentTries[r] = c.tries()
	c.host.SetLevel(AllTables, 1<<r, level, c.sentTries[r])
	for p := range c.joined {
		if c.joined[p] {
			c.charge(p, 1)
		}
	}
}

// rateFor is the rate at each proxy that lets in a part of a route's first tries, max-min among the proxies:
// the repeats of what is turned away use none of it.
func (c *Conductor) rateFor(r int) float64 {
	var rates []float64
	for p, here := range c.joined {
		if here {
			rates = append(rates, c.demand[p][r]*c.first[r]/max(c.asked[r], 1e-9))
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

// tries gives the further tries: one, after proof that the first never ran, which is safe on every route; and
// none while the fleet is full, where each only fills another node.
func (c *Conductor) tries() Tries {
	if c.full {
		return NoRetry
	}
	return RetryUnsent
}
