package planner

// retryControl decides whether proxies retry a request at another endpoint. They retry at most once, and only after
// proof that the first attempt was not sent, which is safe on every route.
//
// It guards against retries that keep a saturated fleet saturated: attempts outnumber requests, and latencies stay high
// after the cause is resolved. Proxies do not retry while the fleet is saturated, so each request is a single attempt.
type retryControl struct {
	// saturated is true until reports show otherwise, as the controller may have restarted during an overload.
	saturated bool
}

// update sets the state from the fleet's saturation, with hysteresis.
func (r *retryControl) update(saturation float64) {
	r.saturated = saturation > saturatedLatencyRatio || r.saturated && saturation > relievedLatencyRatio
}

// policy returns the retry policy for the proxies.
func (r *retryControl) policy() RetryPolicy {
	if r.saturated {
		return NoRetry
	}
	return RetryIfNotSent
}
