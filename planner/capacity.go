package planner

import "math"

const (
	// capacityWindowSeconds is the time constant in s with which answered requests and busy time decay. It averages over
	// requests whose work varies.
	capacityWindowSeconds = 8.0
	// capacityPriorSeconds is the busy time in s that the machine type's capacity counts for as a prior. The prior
	// weighs as much as a few dozen requests.
	capacityPriorSeconds = 1.5
	// baselineLatencyGrowthPerSecond is the fraction by which the lowest observed mean latency grows each second, because
	// the work for each request may change.
	baselineLatencyGrowthPerSecond = 0.01
	// minUtilization is the lower bound of the utilization used for learning. Lower values say nothing about capacity.
	minUtilization = 0.30
)

// capacityEvidence holds the statistics that an endpoint's capacity is learned from. It decays over
// capacityWindowSeconds.
type capacityEvidence struct {
	answered        float64 // requests
	busySeconds     float64 // s that it was busy with them, times its weight
	baselineLatency float64 // s, the lowest observed mean latency
}

// capacityEstimate learns how many requests a second the endpoints can answer: the answered requests divided by the
// busy time. It is a quotient rather than a control loop because load reports are seconds old.
type capacityEstimate struct {
	byType              []float64 // by machine type, requests for each second of busy time and unit of weight
	utilizationReported bool
}

func newCapacityEstimate(config Config) capacityEstimate {
	byType := make([]float64, config.MachineTypes)
	for machineType := range byType {
		byType[machineType] = 1
	}
	return capacityEstimate{byType: byType, utilizationReported: config.UtilizationIndex >= 0}
}

// learn adds the requests that healthy, warm endpoints answered since the last update, and averages the evidence by
// machine type.
func (c *capacityEstimate) learn(now float64, endpoints []endpoint, start slowStart, meanObjective float64) {
	decayFactor := math.Exp(-updateIntervalSeconds / capacityWindowSeconds)
	for i := range endpoints {
		e := &endpoints[i]
		inService := e.state == Ready && e.health == Healthy
		if !inService || e.load.completed < minAttempts || start.warmingUp(now, e.startTime) || meanObjective == 0 {
			continue
		}
		utilization := e.load.utilization
		if !c.utilizationReported {
			utilization = e.utilizationByLatency(meanObjective)
		}
		e.evidence.answered = e.evidence.answered*decayFactor + e.load.succeeded()/loadWindowSeconds*updateIntervalSeconds
		busy := max(utilization, minUtilization) * e.weight * updateIntervalSeconds
		e.evidence.busySeconds = e.evidence.busySeconds*decayFactor + busy
	}
	c.averageByType(endpoints)
}

// utilizationByLatency estimates the utilization of an endpoint that does not report it:
//
//	utilization = 1 - baseline/latency
//
// A failed attempt counts in the mean latency as one latency objective. The baseline is the baseline latency, but at
// most idleLatencyRatio times the objective.
func (e *endpoint) utilizationByLatency(meanObjective float64) float64 {
	if succeeded := e.load.succeeded(); succeeded >= minAttempts {
		grownBaseline := e.evidence.baselineLatency * (1 + baselineLatencyGrowthPerSecond*updateIntervalSeconds)
		e.evidence.baselineLatency = min(grownBaseline, e.load.latencySum/succeeded)
	}
	baseline := min(e.evidence.baselineLatency, idleLatencyRatio*meanObjective)
	latency := (e.load.latencySum + e.load.failed*meanObjective) / e.load.completed
	return 1 - baseline/max(baseline, latency)
}

// averageByType averages the evidence over the endpoints of each machine type, with the average of all endpoints as the
// prior.
func (c *capacityEstimate) averageByType(endpoints []endpoint) {
	answered := make([]float64, len(c.byType))
	busySeconds := make([]float64, len(c.byType))
	totalAnswered := 0.0
	totalBusySeconds := 0.0
	for i := range endpoints {
		e := &endpoints[i]
		answered[e.machineType] += e.evidence.answered
		busySeconds[e.machineType] += e.evidence.busySeconds
		totalAnswered += e.evidence.answered
		totalBusySeconds += e.evidence.busySeconds
	}
	priorAnswered := capacityPriorSeconds * (totalAnswered + 1e-9) / (totalBusySeconds + 1e-9)
	for machineType := range c.byType {
		withPrior := answered[machineType] + priorAnswered
		c.byType[machineType] = withPrior / (busySeconds[machineType] + capacityPriorSeconds)
	}
}

// learned returns the requests a second that an endpoint can answer when warm. The estimate is based on the endpoint's
// own evidence, with the average of its machine type as the prior, and scales with its weight.
func (c *capacityEstimate) learned(e *endpoint) float64 {
	prior := capacityPriorSeconds * e.weight
	return e.weight * (e.evidence.answered + prior*c.byType[e.machineType]) / (e.evidence.busySeconds + prior)
}

// availableCapacity returns the maximum requests a second that an endpoint should get: its learned capacity, reduced
// during slow start, while it fails attempts, and on probation.
func (p *Planner) availableCapacity(e *endpoint) float64 {
	if e.state != Ready || e.health == Ejected {
		return 0
	}
	capacity := p.capacity.learned(e)
	expectedFailureRatio := p.outliers.medianFailureRatio
	if fraction := p.slowStart.fraction(p.now, e.startTime); fraction < 1 {
		capacity = capacity * fraction * p.slowStart.damping(p.load.successRatio, p.load.saturation)
		expectedFailureRatio = 0
	}
	if e.load.completed >= minAttempts {
		// An endpoint that is cold or has become far slower than its peers fails attempts long before its capacity is
		// learned. It continues to fail them unless its capacity is reduced immediately.
		excess := max(0, e.load.failed/e.load.completed-expectedFailureRatio)
		capacity *= max(minCapacityFraction, 1-excess)
	}
	if e.health == Probation {
		capacity *= probationFraction
	}
	return capacity
}
