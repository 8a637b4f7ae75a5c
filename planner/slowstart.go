package planner

const (
	// minSlowStartFraction is the part of its weight that a new process begins with (docs/design.md).
	minSlowStartFraction = 0.25
	// maxSlowStartDamping is the most of its slow-start fraction that a cold endpoint gets, for each unit of
	// Config.OverloadMultiple.
	maxSlowStartDamping = 0.25
	// minCapacityFraction is the least that damping or failed attempts leave of an endpoint's capacity: it has to get
	// some requests to be judged by.
	minCapacityFraction = 0.1
)

// slowStart gives an endpoint whose process has just started its weight over a window: caches are empty and code is
// not compiled yet, and at full weight it would be overloaded.
type slowStart struct {
	window           float64 // s
	overloadMultiple float64 // load, in times of its present capacity, that overloads a cold endpoint
}

// fraction is the part of its weight that an endpoint has, by the time since its process started. A start time of 0 or
// less is long past.
func (s slowStart) fraction(now, startTime float64) float64 {
	if startTime <= 0 {
		return 1
	}
	age := max(0, now-startTime)
	return min(1, minSlowStartFraction+(1-minSlowStartFraction)*age/max(s.window, stepIntervalSeconds))
}

// warmingUp reports whether an endpoint has less than its weight.
func (s slowStart) warmingUp(now, startTime float64) bool { return s.fraction(now, startTime) < 1 }

// damping is the part of its slow-start fraction that a cold endpoint gets. It guards against cold endpoints that are
// overloaded by attempts that others rejected: the part falls with the square of the success ratio, and with the
// fleet's saturation. Before load reports tell of success, little is assumed.
func (s slowStart) damping(successRatio, saturation float64) float64 {
	part := minSlowStartFraction
	if successRatio > 0 {
		part = successRatio * successRatio * min(1, relievedLatencyRatio/saturation)
	}
	return max(minCapacityFraction, min(part, maxSlowStartDamping*s.overloadMultiple))
}
