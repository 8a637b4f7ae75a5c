package planner

import (
	"cmp"
	"math"
	"slices"
)

// Constants of the work budget.
const (
	// budgetCut is the factor applied to min(budget, peak throughput) at a cut. It is less than 1 so that full queues
	// drain.
	budgetCut = 0.95
	// cutIntervalSeconds is the minimum time between two cuts. Load reports cover the last few seconds, arrive late and
	// are averaged, so the effect of a cut is visible only after this time.
	cutIntervalSeconds = 5.0
	// budgetGrowthPerSecond is the fraction by which the budget grows each second while the fleet is idle. Growth is
	// slow because load reports lag behind the queues.
	budgetGrowthPerSecond = 0.05
	// budgetRecoveryPerSecond is the additional growth each second at a budget of 0. It falls linearly to 0 at a budget
	// equal to the peak throughput.
	budgetRecoveryPerSecond = 0.5
	// minWindowCoverage is the fraction of loadWindowSeconds that reports must cover before the throughput is computed
	// from them.
	minWindowCoverage = 0.5
	// capacityTargetFraction is the fraction of the capacity of busy endpoints that is admitted. The remaining capacity
	// absorbs random variation of arrivals.
	capacityTargetFraction = 0.65
	// unlimitedBudgetRatio is the ratio of the budget to the original work above which the budget becomes unlimited.
	unlimitedBudgetRatio = 1.3
)

// Constants of the admission levels.
const (
	// priorityTierRatio is the minimum fraction of a tier's highest priority per cost that a route needs to share the
	// level of that tier.
	priorityTierRatio = 0.8
	// minLevel is the lowest admission level. A level of 0 would also stop the requests that are held at a proxy.
	minLevel = 0.02
	// minLevelChangeFraction is the relative change of a level that must be exceeded before it is published.
	minLevelChangeFraction = 0.05
)

// admissionControl decides which part of each route's requests the proxies admit. It guards against full queues, in
// which requests wait until they miss their latency objective. It admits the amount of work that the fleet is known to
// answer, and serves the routes with the highest priority per cost first. A route's latency objective is the estimate
// of the work of a request, as no better one is available. Work is therefore the sum of the latency objectives of the
// requests of a second, in seconds for each second.
type admissionControl struct {
	kind            AdmissionKind
	utilization     bool // whether endpoints report their utilization
	routes          []Route
	byPriority      []int     // route indices in descending order of priority per cost
	priorityPerCost []float64 // by route

	workBudget     float64 // work that is admitted, +Inf while it is unlimited
	peakThroughput float64 // highest throughput measured, scaled like the budget
	budgetScale    float64 // weight of the endpoints times servedBaselineRate at the last scaling
	earliestCutAt  float64 // s, earliest time of the next cut

	// servedBaselineRate is the baseline rate of this controller's proxies, including those that left recently.
	servedBaselineRate float64

	throttling      bool    // whether the budget is limited
	throttlingSince float64 // s

	levels        []float64 // by route, the fraction of its requests to admit
	clientRetries clientRetryEstimate
}

// admissionInput holds the input of an update of admission control.
type admissionInput struct {
	now            float64
	demand         []float64 // requests a second by route
	meanObjective  float64   // s, averaged over that demand
	subsets        []subset  // with their demand and published levels
	baselineRate   float64   // requests a second that the connected proxies usually receive
	fleet          fleetLoad
	saturation     float64
	windowCoverage float64 // fraction of loadWindowSeconds that reports cover
	attempts       float64 // completed attempts a second
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

// rankRoutes sorts the routes by priority per cost and admits all of them in full.
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

// update computes the admission levels. It runs every updateIntervalSeconds and reports whether throttling has started
// or stopped.
//
// The order of the steps matters. Client retries are estimated from the throttling state before this update and from
// the updated baseline rate; the original work is derived from that estimate. The budget is scaled to the current
// endpoints and proxies before the current throughput may raise the peak, and is adjusted after that, as a cut starts
// from the peak. The bounds are applied last so that growth cannot exceed them. The throttling state follows from the
// resulting budget.
func (a *admissionControl) update(in admissionInput) (throttlingChanged bool) {
	a.updateBaselineRate(in.baselineRate)
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
		// With less coverage, a few answers would be mistaken for the maximum throughput, and an idle fleet would be
		// throttled.
		throughput := in.fleet.succeeded / loadWindowSeconds / in.windowCoverage * in.meanObjective
		a.peakThroughput = max(a.peakThroughput, throughput)
	}
	a.adjustBudget(in)
	a.limitByUtilization(in, originalWork)
	if a.budgetUnlimited(in.saturation, originalWork) {
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

// budgetUnlimited reports whether the budget becomes unlimited: admission is off, or the fleet is relieved and the
// budget is well above the original work.
func (a *admissionControl) budgetUnlimited(saturation, originalWork float64) bool {
	if a.kind == AdmissionOff {
		return true
	}
	return saturation < relievedLatencyRatio && a.workBudget > unlimitedBudgetRatio*originalWork
}

// updateBaselineRate updates servedBaselineRate. Proxies that join count immediately. The rate of proxies that leave
// decays as slowly as their demand: another controller serves them now, or they continue to send requests.
func (a *admissionControl) updateBaselineRate(connected float64) {
	connected = max(connected, 1e-9)
	departed := a.servedBaselineRate - connected
	a.servedBaselineRate = max(connected, connected+departed*math.Exp(-updateIntervalSeconds/demandWindowSeconds))
}

// scaleBudget scales the budget with the weight of the endpoints and the baseline rate of this controller's proxies. It
// guards against a budget that was learned for a different fleet, for example after the loss of a zone, a release, or
// the stop of another controller: the remaining endpoints would be sent too many requests, or requests would be
// rejected although the fleet is idle once the endpoints are back. The capacity of the endpoints for this controller's
// requests is in proportion to both factors, so the scaled budget fits immediately.
func (a *admissionControl) scaleBudget(scale float64) {
	if a.budgetScale > 0 {
		a.workBudget = a.workBudget * scale / a.budgetScale
		a.peakThroughput = a.peakThroughput * scale / a.budgetScale
	}
	a.budgetScale = scale
}

// adjustBudget cuts the budget while the fleet is saturated and raises it while the fleet is relieved. Growth is faster
// the further the budget is below the peak throughput.
func (a *admissionControl) adjustBudget(in admissionInput) {
	switch {
	case in.saturation > saturatedLatencyRatio && in.now >= a.earliestCutAt && a.peakThroughput > 0:
		a.workBudget = budgetCut * min(a.workBudget, a.peakThroughput)
		a.earliestCutAt = in.now + cutIntervalSeconds
	case in.saturation < relievedLatencyRatio:
		deficit := max(0, 1-a.workBudget/max(a.peakThroughput, 1e-9))
		growth := budgetGrowthPerSecond + budgetRecoveryPerSecond*deficit
		relief := min(1, (relievedLatencyRatio-in.saturation)/(relievedLatencyRatio-idleLatencyRatio))
		a.workBudget *= 1 + growth*updateIntervalSeconds*relief
	}
}

// limitByUtilization limits the budget to the capacity of fully busy endpoints. That capacity is known where endpoints
// report utilization, and a burst is then visible in the demand before queues fill. Capacity that is learned from
// latencies is too inaccurate for this limit.
func (a *admissionControl) limitByUtilization(in admissionInput, originalWork float64) {
	limit := in.fleet.capacity * (capacityTargetFraction * in.meanObjective)
	if a.utilization && originalWork > limit {
		a.workBudget = min(a.workBudget, limit)
	}
}

// originalWork returns the work of the original requests, which excludes client retries.
func (a *admissionControl) originalWork() (work float64) {
	for r, requests := range a.clientRetries.original {
		work += requests * a.routes[r].LatencyObjective
	}
	return work
}

// assignLevels distributes the budget over the routes in descending order of priority per cost. Routes with similar
// priority per cost form a tier and share one level, as priority per cost is only a rough estimate.
func (a *admissionControl) assignLevels() {
	remainingBudget := a.workBudget
	level := 1.0
	tierPriority := math.Inf(1)
	for k, r := range a.byPriority {
		if a.priorityPerCost[r] < priorityTierRatio*tierPriority {
			tierPriority = a.priorityPerCost[r]
			work := a.tierWork(a.byPriority[k:])
			level = max(minLevel, min(1, remainingBudget/max(work, 1e-9)))
			remainingBudget = max(0, remainingBudget-work)
		}
		current := a.levels[r]
		changed := math.Abs(level-current) > minLevelChangeFraction*current
		restored := level == 1 && current < 1
		if changed || restored {
			a.levels[r] = level
		}
	}
}

// tierWork returns the work of the routes that are in the same tier as the first one.
func (a *admissionControl) tierWork(routes []int) (work float64) {
	first := a.priorityPerCost[routes[0]]
	for _, r := range routes {
		if a.priorityPerCost[r] >= priorityTierRatio*first {
			work += a.clientRetries.original[r] * a.routes[r].LatencyObjective
		}
	}
	return work
}
