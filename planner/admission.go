package planner

import (
	"cmp"
	"math"
	"slices"
)

// The work budget.
const (
	// budgetCut is the factor on min(budget, peak throughput) at a cut; under 1, so that full queues empty.
	budgetCut = 0.95
	// cutIntervalSeconds is the time between two cuts: load reports reach back some seconds, come late and are
	// averaged, so that a cut shows only then.
	cutIntervalSeconds = 5.0
	// budgetGrowthPerSecond is the part by which the budget grows each second while the fleet is idle: queues fill
	// later than load reports tell.
	budgetGrowthPerSecond = 0.05
	// budgetRecoveryPerSecond is the extra growth each second when the budget is 0. It falls linearly to 0 where the
	// budget is at the peak throughput.
	budgetRecoveryPerSecond = 0.5
	// minWindowCoverage is the part of loadWindowSeconds that has to be covered by reports before they tell the
	// throughput.
	minWindowCoverage = 0.5
	// capacityTargetFraction is the part of what busy endpoints could answer that is admitted: requests arrive at
	// random.
	capacityTargetFraction = 0.65
	// unboundBudgetRatio is the budget, as a multiple of the original work, above which it does not bind.
	unboundBudgetRatio = 1.3
)

// Admission levels.
const (
	// priorityTierRatio is the part of a route's priority per cost that another needs to share its level.
	priorityTierRatio = 0.8
	// minLevel is the lowest admission level: 0 would also stop the requests that a proxy holds.
	minLevel = 0.02
	// minLevelChangeFraction is the part by which a level has to change before it is published.
	minLevelChangeFraction = 0.05
)

// admissionControl decides how much of each route the proxies admit. It guards against full queues, in which requests
// wait until their objective is missed: it admits the work that the fleet has shown it can answer, and of that the
// routes with the highest priority per cost first. A route's latency objective stands for the work of a request, as
// nothing else is known of it; work is counted in latency objectives a second.
type admissionControl struct {
	kind            AdmissionKind
	utilization     bool // whether endpoints report it
	routes          []Route
	byPriority      []int     // routes, that with the highest priority per cost first
	priorityPerCost []float64 // by route

	workBudget     float64 // work admitted, +Inf while it does not bind
	peakThroughput float64 // best work answered of late
	budgetScale    float64 // weight of the endpoints times servedBaselineRate that both are for
	noCutBefore    float64 // s

	// servedBaselineRate is the baseline rate of our proxies, those that left of late included.
	servedBaselineRate float64

	throttling      bool    // whether the budget binds
	throttlingSince float64 // s

	levels        []float64 // by route, the part of its requests to admit
	clientRetries clientRetryEstimate
}

// admissionInput is what an update of admission control is decided by.
type admissionInput struct {
	now            float64
	demand         []float64 // requests a second by route
	meanObjective  float64   // s, of that demand
	subsets        []subset  // their demand and published levels
	baselineRate   float64   // requests a second that the connected proxies usually get
	fleet          fleetLoad
	saturation     float64
	windowCoverage float64 // part of loadWindowSeconds that reports cover
	attempts       float64 // attempts a second that completed
}

func newAdmissionControl(config Config) admissionControl {
	routes := len(config.Routes)
	return admissionControl{
		kind:            config.Admission,
		utilization:     config.UtilizationIndex >= 0,
		routes:          config.Routes,
		priorityPerCost: make([]float64, routes),
		workBudget:      math.Inf(1),
		levels:          make([]float64, routes),
		clientRetries:   newClientRetryEstimate(routes),
	}
}

// rankRoutes orders the routes by priority per cost and admits all of them.
func (a *admissionControl) rankRoutes() {
	for r, route := range a.routes {
		a.byPriority = append(a.byPriority, r)
		a.priorityPerCost[r] = route.PriorityWeight / max(route.LatencyObjective, 1e-9)
		a.levels[r] = 1
	}
	slices.SortStableFunc(a.byPriority, func(r, q int) int {
		return cmp.Compare(a.priorityPerCost[q], a.priorityPerCost[r])
	})
}

// update decides the levels, every updateIntervalSeconds. It reports whether throttling has begun or ended.
//
// The order counts. The client retries are estimated with the throttling and the baseline rate known before this
// update, the original work from them. The budget is scaled to the endpoints and proxies of now before the throughput
// of now may raise the peak, and moved only then, as a cut starts from that peak. The bounds come last, so that no
// growth passes them, and throttling is told from the budget that results.
func (a *admissionControl) update(in admissionInput) (throttlingChanged bool) {
	a.followBaselineRate(in.baselineRate)
	a.clientRetries.update(clientRetryInput{
		now:                in.now,
		demand:             in.demand,
		subsets:            in.subsets,
		servedBaselineRate: a.servedBaselineRate,
		throttling:         a.throttling,
		throttlingSince:    a.throttlingSince,
		saturation:         in.saturation,
		attempts:           in.attempts,
	})
	originalWork := a.originalWork()
	a.scaleBudget(in.fleet.weight * a.servedBaselineRate)
	if in.windowCoverage > minWindowCoverage {
		// Before, a few answers would pass for all that the fleet can do, and throttle an idle one.
		throughput := in.fleet.answers / loadWindowSeconds / in.windowCoverage * in.meanObjective
		a.peakThroughput = max(a.peakThroughput, throughput)
	}
	a.moveBudget(in)
	a.limitByUtilization(in, originalWork)
	if a.budgetUnbound(in.saturation, originalWork) {
		a.workBudget = math.Inf(1)
	}
	throttling := !math.IsInf(a.workBudget, 1)
	throttlingChanged = throttling != a.throttling
	if throttlingChanged {
		a.throttling = throttling
		a.throttlingSince = in.now
	}
	a.assignLevels()
	return throttlingChanged
}

// budgetUnbound reports whether the budget need not bind: admission is off, or the fleet is relieved and the budget far
// over the original work.
func (a *admissionControl) budgetUnbound(saturation, originalWork float64) bool {
	if a.kind == AdmissionOff {
		return true
	}
	return saturation < relievedLatencyRatio && a.workBudget > unboundBudgetRatio*originalWork
}

// followBaselineRate follows the proxies that join at once, and those that leave as slowly as their demand decays:
// another controller serves them from then on, or they go on sending.
func (a *admissionControl) followBaselineRate(connected float64) {
	connected = max(connected, 1e-9)
	left := a.servedBaselineRate - connected
	a.servedBaselineRate = max(connected, connected+left*math.Exp(-updateIntervalSeconds/demandWindowSeconds))
}

// scaleBudget scales the budget with the weight of the endpoints and the baseline rate of our proxies. It guards against
// a budget that was learned for another fleet, as after a zone is lost, a release, or the stop of another controller:
// too much would be admitted to the endpoints that are left, or requests rejected by an idle fleet once they are back.
// What the endpoints can answer of our requests is in proportion to both, so that the scaled budget fits at once.
func (a *admissionControl) scaleBudget(scale float64) {
	if a.budgetScale > 0 {
		a.workBudget = a.workBudget * scale / a.budgetScale
		a.peakThroughput = a.peakThroughput * scale / a.budgetScale
	}
	a.budgetScale = scale
}

// moveBudget cuts the budget while the fleet is saturated, and lets it grow while the fleet is relieved: the faster,
// the farther it is under the peak throughput.
func (a *admissionControl) moveBudget(in admissionInput) {
	switch {
	case in.saturation > saturatedLatencyRatio && in.now >= a.noCutBefore && a.peakThroughput > 0:
		a.workBudget = budgetCut * min(a.workBudget, a.peakThroughput)
		a.noCutBefore = in.now + cutIntervalSeconds
	case in.saturation < relievedLatencyRatio:
		deficit := max(0, 1-a.workBudget/max(a.peakThroughput, 1e-9))
		growth := budgetGrowthPerSecond + budgetRecoveryPerSecond*deficit
		relief := min(1, (relievedLatencyRatio-in.saturation)/(relievedLatencyRatio-idleLatencyRatio))
		a.workBudget *= 1 + growth*updateIntervalSeconds*relief
	}
}

// limitByUtilization bounds the budget by what busy endpoints could answer. Where utilization is reported that is
// known, and a burst shows in what is asked before any queue tells. Capacity that is learned from latencies is too
// rough for it.
func (a *admissionControl) limitByUtilization(in admissionInput, originalWork float64) {
	limit := in.fleet.capacity * (capacityTargetFraction * in.meanObjective)
	if a.utilization && originalWork > limit {
		a.workBudget = min(a.workBudget, limit)
	}
}

// originalWork is the work that is asked with original requests.
func (a *admissionControl) originalWork() (work float64) {
	for r, requests := range a.clientRetries.original {
		work += requests * a.routes[r].LatencyObjective
	}
	return work
}

// assignLevels spends the budget on the routes by priority per cost. Routes of about the same share one level, as
// priority per cost is known only roughly.
func (a *admissionControl) assignLevels() {
	left := a.workBudget
	level := 1.0
	tierPriority := math.Inf(1)
	for k, r := range a.byPriority {
		if a.priorityPerCost[r] < priorityTierRatio*tierPriority {
			tierPriority = a.priorityPerCost[r]
			work := a.tierWork(a.byPriority[k:])
			level = max(minLevel, min(1, left/max(work, 1e-9)))
			left = max(0, left-work)
		}
		before := a.levels[r]
		changed := math.Abs(level-before) > minLevelChangeFraction*before
		restored := level == 1 && before < 1
		if changed || restored {
			a.levels[r] = level
		}
	}
}

// tierWork is the work of the routes that share the level of the first one.
func (a *admissionControl) tierWork(routes []int) (work float64) {
	first := a.priorityPerCost[routes[0]]
	for _, r := range routes {
		if a.priorityPerCost[r] >= priorityTierRatio*first {
			work += a.clientRetries.original[r] * a.routes[r].LatencyObjective
		}
	}
	return work
}
