package planner

import (
	"cmp"
	"math"
	"slices"
)

const stepInterval = 0.1 // s; well under every grace and delay, and cheap

// New makes a conductor that knows nothing yet.
func New(host Host, site Config, now float64) *Planner {
	c := &Planner{host: host, config: site, now: now, endpoints: endpointRegistry{indexOf: map[uint32]int{}}, nextPublication: now, nextUpdate: now,
		decayedAt: now, workBudget: math.Inf(1), saturated: true, subscribeAt: math.Inf(1), flow: newFlowControl(site)}
	c.typeCapacity = slices.Repeat([]float64{1}, site.MachineTypes)
	for _, figure := range []*[]float64{&c.routeDemand, &c.originalRequests, &c.unthrottledDemand, &c.rejected, &c.level, &c.priorityPerCost} {
		*figure = make([]float64, len(site.Routes))
	}
	c.makeSubsets(0)
	if site.Sharded {
		return c
	}
	for r, rt := range site.Routes {
		c.routesByPriority = append(c.routesByPriority, r)
		c.priorityPerCost[r], c.level[r] = rt.PriorityWeight/max(rt.LatencyObjective, 1e-9), 1
		c.localZoneOnly = c.localZoneOnly || rt.LocalZoneOnly
	}
	slices.SortStableFunc(c.routesByPriority, func(a, b int) int { return cmp.Compare(c.priorityPerCost[b], c.priorityPerCost[a]) })
	if site.MustSubscribe {
		host.Subscribe()
	}
	host.Wake(now + stepInterval)
	return c
}

// Step comes at the pace that the conductor asked for.
func (c *Planner) Step(now float64) {
	c.now = now
	c.host.Wake(now + stepInterval)
	if now >= c.subscribeAt {
		c.subscribeAt = math.Inf(1)
		c.host.Subscribe()
	}
	c.updateDemand()
	c.updateOutliers()
	if now >= c.nextUpdate {
		c.nextUpdate = now + updateInterval
		c.learnCapacity()
		c.updateAdmission()
	}
	c.publishUrgent()
	c.publishOrdinary()
	c.probe()
}
