package planner

import (
	"fmt"
	"slices"
)

const (
	// ejectFailureRatio is the part of its attempts that an endpoint may fail, above medianFailureMultiple times what
	// the median endpoint fails.
	ejectFailureRatio     = 0.25
	medianFailureMultiple = 1.5
	// deadFailureRatio is the part of failed attempts that no load explains: a full endpoint answers some.
	deadFailureRatio = 0.95
	// minOverloadQueue is the queue length, where reported, that tells of load rather than of a fault.
	minOverloadQueue = 1.0
	// maxEjectedFraction is the part of the listed weight that may be ejected at once if all attempts fail there, and
	// less in proportion if fewer do.
	maxEjectedFraction = 0.40
	// ejectionSeconds is how long an endpoint is ejected before its probation: most faults last longer.
	ejectionSeconds = 4.0
	// probationFraction is the part of its capacity that an endpoint gets on probation, as a new one does.
	probationFraction = 0.25
)

// Health is an endpoint's state in outlier detection.
type Health uint8

// The states of an endpoint in outlier detection.
const (
	Healthy   Health = iota
	Ejected          // it gets no requests for ejectionSeconds
	Probation        // it gets few requests, to be judged by
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

// healthChange is a decision on an endpoint, by its index.
type healthChange struct {
	endpoint int
	health   Health
}

// outlierDetector ejects endpoints that fail far more attempts than their peers, and tries them again. An
// outlier that stays in service fails its part of all requests until the list says that it is gone.
type outlierDetector struct {
	medianFailureRatio float64 // part of its attempts that the median healthy endpoint fails
}

// judge decides which endpoints change their health. If most endpoints fail at once, the cause is not at one of them
// (a late report, a network partition): the fleet's median and maxEjectedFraction keep them in service.
func (d *outlierDetector) judge(now float64, endpoints []endpoint, meanObjective float64) []healthChange {
	survey := surveyHealth(endpoints)
	d.medianFailureRatio = median(survey.failureRatios)
	ejectedWeight := survey.unhealthyWeight
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
			maxWeight := maxEjectedFraction * survey.weight * e.load.failed / e.load.completed
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

// healthSurvey is what outlier detection compares an endpoint with.
type healthSurvey struct {
	weight          float64   // listed, of the endpoints that are ready
	unhealthyWeight float64   // of these, ejected or on probation
	failureRatios   []float64 // of the healthy ones with enough attempts
}

func surveyHealth(endpoints []endpoint) healthSurvey {
	var survey healthSurvey
	for i := range endpoints {
		e := &endpoints[i]
		if e.state != Ready {
			continue
		}
		survey.weight += e.weight
		switch {
		case e.health != Healthy:
			survey.unhealthyWeight += e.weight
		case e.load.completed >= minAttempts:
			survey.failureRatios = append(survey.failureRatios, e.load.failed/e.load.completed)
		}
	}
	return survey
}

// failing reports whether an endpoint fails far more attempts than the median one, and not for being full. A full
// endpoint rejects requests as well, but those that it answers take long: the weights relieve it, while to eject it
// would only fill the next one.
func (d *outlierDetector) failing(e *endpoint, meanObjective float64) bool {
	if e.load.completed < minAttempts {
		return false
	}
	limit := ejectFailureRatio + medianFailureMultiple*d.medianFailureRatio
	if e.load.failed < limit*e.load.completed {
		return false
	}
	answersQuickly := e.load.latencySum < saturatedLatencyRatio*meanObjective*e.load.answers()
	full := !answersQuickly || e.load.queueLength >= minOverloadQueue
	return !full || e.load.failed >= deadFailureRatio*e.load.completed
}

// median sorts values and returns the middle one, of two the greater, and 0 if there is none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
