package planner

import "math"

const (
	// stepIntervalSeconds is the time in s between two steps. It is short compared with every grace period and delay of
	// the platform.
	stepIntervalSeconds = 0.1
	// updateIntervalSeconds is the time in s between two updates of learned capacity and of admission.
	updateIntervalSeconds = 0.5
)

// Planner makes the decisions for the proxies that have joined its controller. It is not safe for concurrent use: the
// event loop of the controller owns it.
type Planner struct {
	host   Host
	config Config
	now    float64 // s, time of the current event
	random randomSource

	endpoints endpointRegistry
	proxies   proxyRegistry
	subsets   []subset

	watch        endpointWatch
	demand       demandEstimate
	load         loadStatistics
	outliers     outlierDetector
	capacity     capacityEstimate
	slowStart    slowStart
	admission    admissionControl
	retryControl retryControl
	publication  publication
	flow         flowControl

	nextUpdate    float64 // s, when learned capacity and admission are next updated
	localZoneOnly bool    // whether the requests of some route must stay in their zone
}

// New returns a planner without endpoints and proxies. It requests its first step from host, and subscribes to the
// changes of the endpoint list if Config.MustSubscribe is set. An inactive planner (Config.Sharded) does neither.
func New(host Host, config Config, now float64) *Planner {
	p := &Planner{
		host:         host,
		config:       config,
		now:          now,
		random:       randomSource{seed: config.Seed},
		endpoints:    endpointRegistry{indexOf: map[uint32]int{}},
		watch:        endpointWatch{subscribeAt: math.Inf(1)},
		demand:       demandEstimate{byRoute: make([]float64, len(config.Routes))},
		load:         loadStatistics{decayedAt: now},
		capacity:     newCapacityEstimate(config),
		slowStart:    slowStart{window: config.SlowStartWindow, overloadMultiple: config.OverloadMultiple},
		admission:    newAdmissionControl(config),
		retryControl: retryControl{saturated: true},
		publication:  publication{nextAt: now},
		flow:         newFlowControl(config),
		nextUpdate:   now,
	}
	p.makeSubsets(0)
	if p.inactive() {
		return p
	}
	p.admission.rankRoutes()
	for _, route := range config.Routes {
		p.localZoneOnly = p.localZoneOnly || route.LocalZoneOnly
	}
	if config.MustSubscribe {
		host.Subscribe()
	}
	host.Wake(now + stepIntervalSeconds)
	return p
}

// inactive reports whether the planner does not manage the routing tables. If the tables are sharded, a store
// distributes them, and a planner that published tables as well would overwrite them. An inactive planner requests no
// step and no subscription, plans no table and binds no new proxy.
//
// An inactive planner still issues two commands: SetAdmission with level 0 for each table and route at the first
// endpoint list, because publishUrgent runs with levels that were never set, and BindProxy for a proxy that joins again
// without having left.
func (p *Planner) inactive() bool { return p.config.Sharded }

// Step updates all decisions and issues commands for the changes. The controller calls it at the time that the planner
// requested with Host.Wake.
func (p *Planner) Step(now float64) {
	p.now = now
	p.host.Wake(now + stepIntervalSeconds)
	p.resubscribe()
	p.load.update(now, &p.endpoints)
	p.demand.update(p.proxies.all, p.subsets, p.config.Routes)
	p.updateOutliers()
	if now >= p.nextUpdate {
		p.nextUpdate = now + updateIntervalSeconds
		p.capacity.learn(now, p.endpoints.all, p.slowStart, p.demand.meanObjective)
		p.updateAdmission()
	}
	p.publishUrgent()
	p.publishOrdinary()
	p.probeChannel()
}

// updateOutliers ejects outliers, and starts the probation of endpoints whose ejection has lasted long enough.
func (p *Planner) updateOutliers() {
	for _, change := range p.outliers.detect(p.now, p.endpoints.all, p.demand.meanObjective) {
		if change.health == Probation {
			p.endpoints.all[change.endpoint].resetStatistics()
		}
		p.setHealth(change.endpoint, change.health)
	}
}

// setHealth sets the health of an endpoint and notifies the host if it has changed.
func (p *Planner) setHealth(i int, h Health) {
	e := &p.endpoints.all[i]
	if e.health != h {
		p.host.EndpointHealthChanged(e.node, h)
	}
	e.health = h
	e.healthSince = p.now
	p.publication.urgentPending = true
}

// updateAdmission decides the admission levels and the retry policy. It keeps the previous ones while there is no
// demand and while the load window holds fewer than minAttempts attempts, as saturation cannot be measured then.
func (p *Planner) updateAdmission() {
	if p.demand.meanObjective == 0 || p.load.successRatio == 0 {
		return
	}
	fleet := p.load.measureFleet(p.fleetInput())
	p.retryControl.update(p.load.saturation)
	completed := p.endpoints.sum(func(e *endpoint) float64 { return e.load.completed })
	throttlingChanged := p.admission.update(admissionInput{
		now:            p.now,
		demand:         p.demand.byRoute,
		meanObjective:  p.demand.meanObjective,
		subsets:        p.subsets,
		baselineRate:   p.baselineRate(),
		fleet:          fleet,
		saturation:     p.load.saturation,
		windowCoverage: p.load.windowCoverage,
		attempts:       completed / loadWindowSeconds / p.load.windowCoverage,
	})
	if throttlingChanged {
		p.host.ThrottlingChanged(p.admission.throttling)
	}
}

// fleetInput returns the input for measuring the load of the fleet.
func (p *Planner) fleetInput() fleetInput {
	return fleetInput{
		now:           p.now,
		endpoints:     p.endpoints.all,
		capacity:      &p.capacity,
		slowStart:     p.slowStart,
		meanObjective: p.demand.meanObjective,
		queueReported: p.config.QueueLengthIndex >= 0,
		controllers:   p.config.Controllers,
	}
}
