package planner

// retryControl decides when proxies try another endpoint by themselves: once, after proof that the first attempt was
// not sent, which is safe on every route.
//
// It guards against retries that keep a saturated fleet saturated: attempts outnumber requests, and latencies stay high
// after the cause has gone. While the fleet is saturated proxies do not retry, so that each request is one attempt.
type retryControl struct {
	// saturated is true until reports tell otherwise: the controller may have restarted during an overload.
	saturated bool
}

// update follows the fleet's saturation, with hysteresis.
func (r *retryControl) update(saturation float64) {
	r.saturated = saturation > saturatedLatencyRatio || r.saturated && saturation > relievedLatencyRatio
}

// policy returns what the proxies are to do.
func (r *retryControl) policy() RetryPolicy {
	if r.saturated {
		return NoRetry
	}
	return RetryIfNotSent
}
