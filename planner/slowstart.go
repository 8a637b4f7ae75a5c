package planner

const (
	// minSlowStartFraction is the fraction of its weight that a new process starts with (docs/design.md).
	minSlowStartFraction = 0.25
	// maxSlowStartDamping, multiplied by Config.OverloadMultiple, is the upper bound of the slow-start damping.
	maxSlowStartDamping = 0.25
	// minCapacityFraction is the minimum fraction of an endpoint's capacity that damping or failed attempts leave. The
	// endpoint must get some requests that show how it performs.
	minCapacityFraction = 0.1
)

// slowStart raises the weight of an endpoint gradually during a window after its process started. Its caches are empty
// and its code is not compiled yet, so full weight would overload it.
type slowStart struct {
	window           float64 // s
	overloadMultiple float64 // load that overloads a cold endpoint, as a multiple of its current capacity
}

// fraction returns the fraction of its weight that an endpoint has, which depends on the time since its process
// started. A start time of 0 or less is long past.
func (s slowStart) fraction(now, startTime float64) float64 {
	if startTime <= 0 {
		return 1
	}
	age := max(0, now-startTime)
	return min(1, minSlowStartFraction+(1-minSlowStartFraction)*age/max(s.window, stepIntervalSeconds))
}

// warmingUp reports whether slow start still reduces an endpoint's weight.
func (s slowStart) warmingUp(now, startTime float64) bool { return s.fraction(now, startTime) < 1 }

// damping returns a factor, at most 1, that applies to the capacity of a cold endpoint in addition to its slow-start
// fraction. Retries of attempts that other endpoints rejected could overload a cold endpoint, so the factor falls with
// the square of the success ratio and as the fleet's saturation rises. While the success ratio is unknown, it is
// minSlowStartFraction.
func (s slowStart) damping(successRatio, saturation float64) float64 {
	factor := minSlowStartFraction
	if successRatio > 0 {
		factor = successRatio * successRatio * min(1, relievedLatencyRatio/saturation)
	}
	return max(minCapacityFraction, min(factor, maxSlowStartDamping*s.overloadMultiple))
}
