package planner

import (
	"fmt"
	"math"
	"slices"
)

const stepInterval = 0.1 // s; well under every grace and delay, and cheap

// New makes a conductor that knows nothing yet.
func New(host Host, site Config, now float64) *Planner {
	c := &Planner{host: host, config: site, now: now, endpoints: endpointRegistry{indexOf: map[uint32]int{}}, nextPublication: now, nextUpdate: now,
		decayedAt: now, admission: newAdmissionControl(site), retries: retryControl{saturated: true}, subscribeAt: math.Inf(1), flow: newFlowControl(site)}
	c.typeCapacity = slices.Repeat([]float64{1}, site.MachineTypes)
	c.routeDemand = make([]float64, len(site.Routes))
	c.makeSubsets(0)
	if site.Sharded {
		return c
	}
	c.admission.rankRoutes()
	for _, route := range site.Routes {
		c.localZoneOnly = c.localZoneOnly || route.LocalZoneOnly
	}
	if site.MustSubscribe {
		host.Subscribe()
	}
	host.Wake(now + stepInterval)
	return c
}

// updateAdmission decides the admission levels and the retry policy, once load reports tell enough.
func (c *Planner) updateAdmission() {
	if c.meanObjective == 0 || c.successRatio == 0 {
		return
	}
	fleet := c.measureSaturation()
	c.retries.update(c.saturation)
	completed := c.endpoints.sum(func(e *endpoint) float64 { return e.completed })
	changed := c.admission.update(admissionInput{
		now:            c.now,
		demand:         c.routeDemand,
		meanObjective:  c.meanObjective,
		subsets:        c.subsets,
		baselineRate:   c.baselineRate(),
		fleet:          fleet,
		saturation:     c.saturation,
		windowCoverage: c.windowCoverage,
		attempts:       completed / loadWindow / c.windowCoverage,
	})
	if changed {
		c.host.Log(fmt.Sprintf("throttling: %t", c.admission.throttling))
	}
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
