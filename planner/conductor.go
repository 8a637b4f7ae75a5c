package planner

import (
	"cmp"
	"math"
	"slices"
)

const wakeEvery = 0.1 // s; well under every grace and delay, and cheap

// New makes a conductor that knows nothing yet.
func New(host Host, site Config, now float64) *Planner {
	c := &Planner{host: host, site: site, now: now, index: map[uint32]int{}, planAt: now, learnAt: now,
		fadedAt: now, budget: math.Inf(1), full: true, askAt: math.Inf(1), channel: channel{head: site.MessageOverhead}}
	c.kindSpeed = slices.Repeat([]float64{1}, site.MachineTypes)
	for _, figure := range []*[]float64{&c.asked, &c.firstTries, &c.askedBefore, &c.turnedAway, &c.level, &c.gain} {
		*figure = make([]float64, len(site.Routes))
	}
	c.makePools(0)
	if site.Sharded {
		return c
	}
	for r, rt := range site.Routes {
		c.order = append(c.order, r)
		c.gain[r], c.level[r] = rt.PriorityWeight/max(rt.LatencyObjective, 1e-9), 1
		c.homeOnly = c.homeOnly || rt.LocalZoneOnly
	}
	slices.SortStableFunc(c.order, func(a, b int) int { return cmp.Compare(c.gain[b], c.gain[a]) })
	if site.MustSubscribe {
		host.Subscribe()
	}
	host.Wake(now + wakeEvery)
	return c
}

// Step comes at the pace that the conductor asked for.
func (c *Planner) Step(now float64) {
	c.now = now
	c.host.Wake(now + wakeEvery)
	if now >= c.askAt {
		c.askAt = math.Inf(1)
		c.host.Subscribe()
	}
	c.updateDemand()
	c.updateHealth()
	if now >= c.learnAt {
		c.learnAt = now + learnEvery
		c.learn()
		c.updateLevels()
	}
	c.sendUrgent()
	c.sendOrdinary()
	c.probeOne()
}
