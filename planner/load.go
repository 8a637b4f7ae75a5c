package planner

import "math"

const (
	// loadWindowSeconds is the time constant in s with which the attempts at an endpoint decay. It covers a few dozen
	// attempts and a few reports.
	loadWindowSeconds = 2.5
	// maxReportDelaySeconds is the maximum delay of a load report in s, as documented by the platform.
	maxReportDelaySeconds = 1.6
	// minAttempts is the minimum number of completed attempts for statistics of an endpoint, or the fleet, to be used.
	minAttempts = 4.0
)

// Saturation: the mean latency of attempts as a fraction of the latency objective.
const (
	idleLatencyRatio      = 0.30 // assumed for an attempt that does not wait
	relievedLatencyRatio  = 0.45 // below it more is admitted
	saturatedLatencyRatio = 0.55 // above it less is admitted
)

// endpointLoad is an endpoint's load according to load reports. The attempts decay over loadWindowSeconds.
type endpointLoad struct {
	completed   float64 // attempts
	failed      float64 // of these
	latencySum  float64 // s, of those that did not fail
	queueLength float64 // waiting requests, as last reported
	utilization float64 // moving average of the reported busy fraction of its cores
}

// succeeded returns the number of attempts that did not fail.
func (l *endpointLoad) succeeded() float64 { return l.completed - l.failed }

// decay multiplies the attempts by factor.
func (l *endpointLoad) decay(factor float64) {
	l.completed *= factor
	l.failed *= factor
	l.latencySum *= factor
}

// loadStatistics is the fleet's load according to load reports.
type loadStatistics struct {
	decayedAt      float64 // s
	successRatio   float64 // fraction of all attempts that did not fail, 0 while too few have completed
	windowCoverage float64 // fraction of loadWindowSeconds that reports have covered since the planner started
	saturation     float64 // mean latency of attempts as a fraction of the latency objective, at the last update
}

// AddLoadReport handles a load report on an endpoint. Reports on unknown endpoints are ignored.
func (p *Planner) AddLoadReport(now float64, report LoadReport) {
	p.now = now
	i, known := p.endpoints.indexOf[report.Node]
	if !known {
		return
	}
	e := &p.endpoints.all[i]
	if now-report.Interval-maxReportDelaySeconds < e.startTime {
		// The report may cover the former process. Its failures would eject the new process, and a returning zone would
		// lose its endpoints again. A report whose interval certainly began after the start contains none of them.
		return
	}
	// Delayed reports arrive together. Each counts for at most the load window. Otherwise their sum would look like a
	// throughput that was never reached.
	scale := min(1, loadWindowSeconds/max(report.Interval, 1e-9))
	completed := float64(report.Completed) * scale
	failed := float64(report.Failed) * scale
	e.load.completed += completed
	e.load.failed += failed
	e.load.latencySum += (completed - failed) * report.MeanLatency
	if k := p.config.QueueLengthIndex; k >= 0 && k < len(report.Values) {
		e.load.queueLength = report.Values[k]
	}
	if k := p.config.UtilizationIndex; k >= 0 && k < len(report.Values) {
		weight := 1 - math.Exp(-p.config.ReportInterval/loadWindowSeconds)
		e.load.utilization += (report.Values[k] - e.load.utilization) * weight
	}
}

// update decays the attempts and recomputes the success ratio. The attempts at endpoints on probation do not decay,
// because these endpoints get too few.
func (s *loadStatistics) update(now float64, endpoints *endpointRegistry) {
	decayFactor := math.Exp((s.decayedAt - now) / loadWindowSeconds)
	s.decayedAt = now
	for i := range endpoints.all {
		if e := &endpoints.all[i]; e.health != Probation {
			e.load.decay(decayFactor)
		}
	}
	s.successRatio = 0
	completed := endpoints.sum(func(e *endpoint) float64 { return e.load.completed })
	if completed >= minAttempts {
		failed := endpoints.sum(func(e *endpoint) float64 { return e.load.failed })
		s.successRatio = 1 - failed/completed
		s.windowCoverage += (1 - s.windowCoverage) * (1 - decayFactor)
	}
}

// fleetLoad is the load and capacity of the endpoints in service.
type fleetLoad struct {
	succeeded float64 // attempts within loadWindowSeconds that did not fail
	weight    float64 // listed weight, reduced by slow start
	capacity  float64 // requests a second that they can answer
}

// fleetInput is the input of measureFleet.
type fleetInput struct {
	now           float64
	endpoints     []endpoint
	capacity      *capacityEstimate
	slowStart     slowStart
	meanObjective float64 // s
	queueReported bool    // whether endpoints report their waiting requests
	controllers   int     // whose requests share the endpoints' queues
}

// measureFleet returns the load of the endpoints in service and updates their saturation:
//
//	saturation = sum(succeeded * min(latency, 1)) / sum(succeeded), with the latency in latency objectives
//
// The bound of 1 limits the influence of a few full endpoints. Their weights are reduced instead, so the fleet need not
// be throttled.
func (s *loadStatistics) measureFleet(in fleetInput) fleetLoad {
	var fleet fleetLoad
	latency := 0.0 // sum over the succeeded attempts, in latency objectives
	for i := range in.endpoints {
		e := &in.endpoints[i]
		if e.state != Ready || e.health == Ejected {
			continue
		}
		fraction := in.slowStart.fraction(in.now, e.startTime)
		succeeded := e.load.succeeded()
		fleet.weight += e.weight * fraction
		fleet.capacity += in.capacity.learned(e) * fraction
		fleet.succeeded += succeeded
		latency += succeeded * min(in.endpointLatency(e), 1)
	}
	s.saturation = latency / max(fleet.succeeded, 1)
	return fleet
}

// endpointLatency returns the mean latency of attempts at an endpoint as a fraction of the latency objective.
func (in *fleetInput) endpointLatency(e *endpoint) float64 {
	succeeded := max(e.load.succeeded(), 1)
	if in.queueReported {
		// Waiting requests reveal a queue earlier than the latency of completed requests does.
		wait := e.load.queueLength * loadWindowSeconds / succeeded / float64(in.controllers) / in.meanObjective
		return idleLatencyRatio + wait
	}
	// A failed attempt counts as one latency objective if successful attempts are slow. If these are quick, failures
	// indicate rejected connections or a fault, not a queue.
	answerLatency := e.load.latencySum / succeeded / in.meanObjective
	slowFraction := min(1, max(0, (answerLatency-idleLatencyRatio)/(saturatedLatencyRatio-idleLatencyRatio)))
	return (e.load.latencySum/in.meanObjective + slowFraction*e.load.failed) / max(e.load.completed, minAttempts)
}
