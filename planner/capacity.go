package planner

import "math"

const (
	// capacityWindowSeconds is the time in s over which answers and busy time are remembered: work varies between
	// requests.
	capacityWindowSeconds = 8.0
	// capacityPriorSeconds is the busy time in s that the capacity of the machine type counts for: a few dozen
	// requests tell as much.
	capacityPriorSeconds = 1.5
	// baselineLatencyGrowthPerSecond is the part by which the best mean latency seen grows each second, as work may
	// change.
	baselineLatencyGrowthPerSecond = 0.01
	// minUtilization is the least utilization that is believed: less tells nothing of capacity.
	minUtilization = 0.30
)

// capacityEvidence is what an endpoint's capacity is learned from. It decays over capacityWindowSeconds.
type capacityEvidence struct {
	answered        float64 // requests
	busySeconds     float64 // s that it was busy meanwhile, times its weight
	baselineLatency float64 // s, the best mean latency seen
}

// capacityEstimate learns how many requests a second the endpoints can answer: what they answered over how long they
// were busy. It is a quotient and no control loop, as load reports are seconds old.
type capacityEstimate struct {
	byType              []float64 // requests a second of being busy and of weight, by machine type
	utilizationReported bool
}

func newCapacityEstimate(config Config) capacityEstimate {
	byType := make([]float64, config.MachineTypes)
	for machineType := range byType {
		byType[machineType] = 1
	}
	return capacityEstimate{byType: byType, utilizationReported: config.UtilizationIndex >= 0}
}

// learn adds what healthy, warm endpoints answered since the last update, and averages it by machine type.
func (c *capacityEstimate) learn(now float64, endpoints []endpoint, start slowStart, meanObjective float64) {
	keep := math.Exp(-updateIntervalSeconds / capacityWindowSeconds)
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
		e.evidence.answered = e.evidence.answered*keep + e.load.answers()/loadWindowSeconds*updateIntervalSeconds
		busy := max(utilization, minUtilization) * e.weight * updateIntervalSeconds
		e.evidence.busySeconds = e.evidence.busySeconds*keep + busy
	}
	c.averageByType(endpoints)
}

// utilizationByLatency estimates the utilization of an endpoint that does not report it:
//
//	utilization = 1 - baseline/latency
//
// A failed attempt counts in the mean latency with a latency objective. The baseline is the baseline latency, and
// idleLatencyRatio of an objective at most.
func (e *endpoint) utilizationByLatency(meanObjective float64) float64 {
	if answers := e.load.answers(); answers >= minAttempts {
		grown := e.evidence.baselineLatency * (1 + baselineLatencyGrowthPerSecond*updateIntervalSeconds)
		e.evidence.baselineLatency = min(grown, e.load.latencySum/answers)
	}
	baseline := min(e.evidence.baselineLatency, idleLatencyRatio*meanObjective)
	latency := (e.load.latencySum + e.load.failed*meanObjective) / e.load.completed
	return 1 - baseline/max(baseline, latency)
}

// averageByType averages the evidence over the endpoints of each machine type. Where it is little, it counts beside the
// average of all.
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

// learned is the requests a second that an endpoint can answer when warm: its weight times what is learned of it, and
// of its machine type where that is little.
func (c *capacityEstimate) learned(e *endpoint) float64 {
	prior := capacityPriorSeconds * e.weight
	return e.weight * (e.evidence.answered + prior*c.byType[e.machineType]) / (e.evidence.busySeconds + prior)
}

// availableCapacity is the requests a second that an endpoint is to get at most: what it can answer, less in slow
// start, while it fails attempts, and on probation.
func (p *Planner) availableCapacity(e *endpoint) float64 {
	if e.state != Ready || e.health == Ejected {
		return 0
	}
	capacity := p.capacity.learned(e)
	usualFailureRatio := p.outliers.medianFailureRatio
	if fraction := p.slowStart.fraction(p.now, e.startTime); fraction < 1 {
		capacity = capacity * fraction * p.slowStart.damping(p.load.successRatio, p.load.saturation)
		usualFailureRatio = 0
	}
	if e.load.completed >= minAttempts {
		// An endpoint that has become far slower than its peers, or is cold, fails attempts long before its capacity is
		// learned: unless it gets less at once, it goes on failing them.
		excess := max(0, e.load.failed/e.load.completed-usualFailureRatio)
		capacity *= max(minCapacityFraction, 1-excess)
	}
	if e.health == Probation {
		capacity *= probationFraction
	}
	return capacity
}
