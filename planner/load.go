package planner

import "math"

const (
	// loadWindowSeconds is the time in s over which the attempts at an endpoint are remembered: a few dozen of them,
	// and a few reports.
	loadWindowSeconds = 2.5
	// maxReportDelaySeconds is the most that a load report comes late, in s, as the platform's pages tell.
	maxReportDelaySeconds = 1.6
	// minAttempts is how many attempts must have completed before an endpoint, or the fleet, is judged by them.
	minAttempts = 4.0
)

// Saturation, the mean latency of attempts as part of the latency objective.
const (
	idleLatencyRatio      = 0.30 // of an attempt that does not wait, for all that is known
	relievedLatencyRatio  = 0.45 // under which more is admitted
	saturatedLatencyRatio = 0.55 // over which less is admitted
)

// endpointLoad is what load reports tell of an endpoint. The attempts decay over loadWindowSeconds.
type endpointLoad struct {
	completed   float64 // attempts
	failed      float64 // of these
	latencySum  float64 // s, of those that did not fail
	queueLength float64 // requests that wait, as last reported
	utilization float64 // busy part of its cores, as reported, averaged
}

// answers are the attempts that did not fail.
func (l *endpointLoad) answers() float64 { return l.completed - l.failed }

// decay takes a factor of the attempts off.
func (l *endpointLoad) decay(keep float64) {
	l.completed *= keep
	l.failed *= keep
	l.latencySum *= keep
}

// loadStatistics is what load reports tell of the fleet.
type loadStatistics struct {
	decayedAt      float64 // s
	successRatio   float64 // part of all attempts that did not fail, 0 while too few completed
	windowCoverage float64 // part of loadWindowSeconds that reports have covered since the planner started
	saturation     float64 // mean latency of attempts as part of the latency objective, as of the last update
}

// AddLoadReport handles what the proxies of a zone got from an endpoint. Reports on unknown endpoints are ignored.
func (p *Planner) AddLoadReport(now float64, report LoadReport) {
	p.now = now
	i, known := p.endpoints.indexOf[report.Node]
	if !known {
		return
	}
	e := &p.endpoints.all[i]
	if now-report.Interval-maxReportDelaySeconds < e.startTime {
		// The report may reach back to the former process. Its failures would eject the new one, and a zone that comes
		// back would lose its endpoints again. A report that surely began after the start has none of them.
		return
	}
	// Reports that were held up come all at once. Each counts for the window that is averaged at most: else they would
	// pass for a throughput that was never reached.
	part := min(1, loadWindowSeconds/max(report.Interval, 1e-9))
	completed := float64(report.Completed) * part
	failed := float64(report.Failed) * part
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

// update decays the attempts, but those of endpoints on probation, where few must tell, and sees how many succeed.
func (s *loadStatistics) update(now float64, endpoints *endpointRegistry) {
	keep := math.Exp((s.decayedAt - now) / loadWindowSeconds)
	s.decayedAt = now
	for i := range endpoints.all {
		if e := &endpoints.all[i]; e.health != Probation {
			e.load.decay(keep)
		}
	}
	s.successRatio = 0
	completed := endpoints.sum(func(e *endpoint) float64 { return e.load.completed })
	if completed >= minAttempts {
		failed := endpoints.sum(func(e *endpoint) float64 { return e.load.failed })
		s.successRatio = 1 - failed/completed
		s.windowCoverage += (1 - s.windowCoverage) * (1 - keep)
	}
}

// fleetLoad is what load reports and the list tell of the endpoints in service.
type fleetLoad struct {
	answers  float64 // attempts within loadWindowSeconds that did not fail
	weight   float64 // listed weight, as far as slow start gives it
	capacity float64 // requests a second that they can answer
}

// fleetInput is what the fleet's load is measured by.
type fleetInput struct {
	now           float64
	endpoints     []endpoint
	capacity      *capacityEstimate
	slowStart     slowStart
	meanObjective float64 // s
	queueReported bool    // whether endpoints report the requests that wait
	controllers   int     // whose requests wait there
}

// measureFleet measures the load of the endpoints in service and their saturation:
//
//	saturation = sum(answers * min(latency, 1)) / sum(answers), with the latency in latency objectives
//
// The bound of 1 limits what a few full endpoints add: the weights relieve them, and the fleet need not be throttled.
func (s *loadStatistics) measureFleet(in fleetInput) fleetLoad {
	var fleet fleetLoad
	latency := 0.0 // in latency objectives
	for i := range in.endpoints {
		e := &in.endpoints[i]
		if e.state != Ready || e.health == Ejected {
			continue
		}
		fraction := in.slowStart.fraction(in.now, e.startTime)
		answers := e.load.answers()
		fleet.weight += e.weight * fraction
		fleet.capacity += in.capacity.learned(e) * fraction
		fleet.answers += answers
		latency += answers * min(in.endpointLatency(e), 1)
	}
	s.saturation = latency / max(fleet.answers, 1)
	return fleet
}

// endpointLatency is the mean latency of attempts at an endpoint as part of the latency objective.
func (in *fleetInput) endpointLatency(e *endpoint) float64 {
	answers := max(e.load.answers(), 1)
	if in.queueReported {
		// Requests that wait tell of a queue before those that have waited do.
		wait := e.load.queueLength * loadWindowSeconds / answers / float64(in.controllers) / in.meanObjective
		return idleLatencyRatio + wait
	}
	// A failed attempt counts for an objective where the answers are slow. Where they are quick it tells of no queue,
	// but of rejected connections or a fault.
	answerLatency := e.load.latencySum / answers / in.meanObjective
	slow := min(1, max(0, (answerLatency-idleLatencyRatio)/(saturatedLatencyRatio-idleLatencyRatio)))
	return (e.load.latencySum/in.meanObjective + slow*e.load.failed) / max(e.load.completed, minAttempts)
}
