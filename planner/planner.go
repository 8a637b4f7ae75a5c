package planner

import "math"

const (
	// stepIntervalSeconds is the time in s between two steps: short beside every grace and delay of the platform.
	stepIntervalSeconds = 0.1
	// updateIntervalSeconds is the time in s between two updates of learned capacity and of admission.
	updateIntervalSeconds = 0.5
)

// Planner decides for the proxies that have joined it. It is not safe for concurrent use: the event loop of its
// controller owns it.
type Planner struct {
	host   Host
	config Config
	now    float64 // s, of the event under way
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

	nextUpdate    float64 // s, of learned capacity and admission
	localZoneOnly bool    // whether the requests of some route may not leave their zone
}

// New returns a planner that knows nothing of its fleet yet. It asks host for its first step, and for the list's
// changes if config says that a controller has to. An inactive planner (Config.Sharded) asks for neither.
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

// inactive reports whether the planner leaves the routing tables alone: where they are sharded, a store hands them out,
// and a planner that published as well would overwrite them. It then asks for no step and no subscription, plans no
// table and binds no proxy that is new.
//
// Two commands still leave an inactive planner: SetAdmission with level 0 for each table and route at the first
// endpoint list, as publishUrgent runs with levels that were never set, and BindProxy for a proxy that joins once more
// without having left.
func (p *Planner) inactive() bool { return p.config.Sharded }

// Step decides anew and commands what has changed. It is due when the planner asked for it with Host.Wake.
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

// updateOutliers ejects outliers, and gives those that were ejected for long enough their probation.
func (p *Planner) updateOutliers() {
	for _, change := range p.outliers.detect(p.now, p.endpoints.all, p.demand.meanObjective) {
		if change.health == Probation {
			p.endpoints.all[change.endpoint].resetStatistics()
		}
		p.setHealth(change.endpoint, change.health)
	}
}

// setHealth sets an endpoint's health and notifies the host if it has changed.
func (p *Planner) setHealth(i int, h Health) {
	e := &p.endpoints.all[i]
	if e.health != h {
		p.host.EndpointHealthChanged(e.node, h)
	}
	e.health = h
	e.healthSince = p.now
	p.publication.urgentPending = true
}

// updateAdmission decides the admission levels and the retry policy. It keeps the last levels and retry policy while
// there is no demand, and while fewer than minAttempts attempts lie in the load window: neither tells of saturation.
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

// fleetInput is what the fleet's load is measured by.
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
