package planner

import (
	"fmt"
	"slices"
)

const (
	// ejectFailureRatio is the fraction of its attempts that an endpoint may fail, in addition to medianFailureMultiple
	// times the failure ratio of the median endpoint.
	ejectFailureRatio     = 0.25
	medianFailureMultiple = 1.5
	// deadFailureRatio is the failure ratio that load alone does not explain: even a full endpoint answers some requests.
	deadFailureRatio = 0.95
	// minOverloadQueue is the minimum reported queue length that indicates load rather than a fault.
	minOverloadQueue = 1.0
	// maxEjectedFraction is the maximum fraction of the listed weight that may be ejected at the same time if an endpoint
	// fails all attempts. The limit falls in proportion to its failure ratio.
	maxEjectedFraction = 0.40
	// ejectionSeconds is the time in s that an endpoint is ejected before its probation. Most faults last longer.
	ejectionSeconds = 4.0
	// probationFraction is the fraction of its capacity that an endpoint gets on probation, the same as a new endpoint.
	probationFraction = 0.25
)

// Health is an endpoint's state in outlier detection.
type Health uint8

// The states of an endpoint in outlier detection.
const (
	Healthy   Health = iota
	Ejected          // it gets no requests for ejectionSeconds
	Probation        // it gets a few requests to show whether it has recovered
)

// String returns the health's name.
func (h Health) String() string {
	switch h {
	case Healthy:
		return "healthy"
	case Ejected:
		return "ejected"
	case Probation:
		return "probation"
	}
	return fmt.Sprintf("health(%d)", uint8(h))
}

// healthChange is a decision to change the health of the endpoint with an index.
type healthChange struct {
	endpoint int
	health   Health
}

// outlierDetector ejects endpoints that fail far more attempts than their peers, and tries them again later. An
// outlier that stayed in service would fail its share of all requests until the list removes it.
type outlierDetector struct {
	medianFailureRatio float64 // fraction of its attempts that the median healthy endpoint fails
}

// detect returns the health changes that are due. If most endpoints fail at the same time, the cause is not a single
// endpoint (a late report, a network partition): the fleet's median and maxEjectedFraction keep them in service.
func (d *outlierDetector) detect(now float64, endpoints []endpoint, meanObjective float64) []healthChange {
	fleet := summarizeHealth(endpoints)
	d.medianFailureRatio = median(fleet.failureRatios)
	ejectedWeight := fleet.unhealthyWeight
	var changes []healthChange
	for i := range endpoints {
		e := &endpoints[i]
		if e.state != Ready {
			continue
		}
		failing := d.failing(e, meanObjective)
		switch {
		case e.health == Ejected:
			if now >= e.healthSince+ejectionSeconds {
				changes = append(changes, healthChange{i, Probation})
			}
		case failing:
			maxWeight := maxEjectedFraction * fleet.weight * e.load.failed / e.load.completed
			if e.health == Probation || ejectedWeight+e.weight <= maxWeight {
				ejectedWeight += e.weight
				changes = append(changes, healthChange{i, Ejected})
			}
		case e.health == Probation && e.load.completed >= minAttempts:
			changes = append(changes, healthChange{i, Healthy})
		}
	}
	return changes
}

// fleetHealth is the state of the fleet that outlier detection compares an endpoint with.
type fleetHealth struct {
	weight          float64   // listed weight of the ready endpoints
	unhealthyWeight float64   // of this, ejected or on probation
	failureRatios   []float64 // of the healthy endpoints with enough attempts
}

func summarizeHealth(endpoints []endpoint) fleetHealth {
	var fleet fleetHealth
	for i := range endpoints {
		e := &endpoints[i]
		if e.state != Ready {
			continue
		}
		fleet.weight += e.weight
		switch {
		case e.health != Healthy:
			fleet.unhealthyWeight += e.weight
		case e.load.completed >= minAttempts:
			fleet.failureRatios = append(fleet.failureRatios, e.load.failed/e.load.completed)
		}
	}
	return fleet
}

// failing reports whether an endpoint fails far more attempts than the median endpoint for a reason other than being
// full. A full endpoint also rejects requests, but answers the others slowly. The weights relieve it; ejecting it would
// only overload the next endpoint.
func (d *outlierDetector) failing(e *endpoint, meanObjective float64) bool {
	if e.load.completed < minAttempts {
		return false
	}
	limit := ejectFailureRatio + medianFailureMultiple*d.medianFailureRatio
	if e.load.failed < limit*e.load.completed {
		return false
	}
	answersQuickly := e.load.latencySum < saturatedLatencyRatio*meanObjective*e.load.succeeded()
	full := !answersQuickly || e.load.queueLength >= minOverloadQueue
	return !full || e.load.failed >= deadFailureRatio*e.load.completed
}

// median sorts values and returns the middle one, or the greater of the two middle ones. It returns 0 if values is
// empty.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
