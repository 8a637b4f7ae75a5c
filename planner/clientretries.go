package planner

const (
	// admissionLagSeconds is the time in s that an admission level needs to show in reported demand: the delay to the
	// proxies, the delay of their reports, and demandWindowSeconds.
	admissionLagSeconds = 3.0
	// clientRetryWindowSeconds is the time in s from the start of throttling in which additional demand is attributed to
	// client retries.
	clientRetryWindowSeconds = 8.0
	// minRejectedDemand is the fraction of demand that must be rejected before client retries are estimated.
	minRejectedDemand = 0.1
	// maxClientRetries is the maximum estimate of client retries for each rejected request.
	maxClientRetries = 3.0
)

// clientRetryEstimate distinguishes original requests from client retries. Clients retry rejected requests, and the
// retries are rejected as well. If they counted as demand, they would lower the levels further and keep them low after
// a burst.
type clientRetryEstimate struct {
	original          []float64 // requests a second by route without the retries
	unthrottledDemand []float64 // by route, the demand before throttling as a multiple of servedBaselineRate
	rejected          []float64 // by route, the rejected fraction, delayed like the reported demand
	perRejection      float64   // retries for each rejected request
}

func newClientRetryEstimate(routes int) clientRetryEstimate {
	return clientRetryEstimate{
		original:          make([]float64, routes),
		unthrottledDemand: make([]float64, routes),
		rejected:          make([]float64, routes),
	}
}

// clientRetryInput is the input of clientRetryEstimate.update.
type clientRetryInput struct {
	now                float64   // s
	demand             []float64 // requests a second by route
	subsets            []subset  // with their demand and published levels
	servedBaselineRate float64   // requests a second
	throttling         bool
	throttlingSince    float64 // s
	saturation         float64
	attempts           float64 // completed attempts a second
}

// update estimates the original requests, and then the retries for each rejected request, which the next update uses.
func (e *clientRetryEstimate) update(in clientRetryInput) {
	expectedDemand := 0.0   // demand before throttling
	expectedRejected := 0.0 // rejected part of expectedDemand
	rejectedDemand := 0.0   // rejected part of the current demand
	subsetDemand := max(totalDemand(in.subsets), 1e-9)
	for r, rate := range in.demand {
		published := publishedRejection(in.subsets, r, subsetDemand)
		e.rejected[r] += (published - e.rejected[r]) * updateIntervalSeconds / admissionLagSeconds
		if !in.throttling {
			e.unthrottledDemand[r] = rate / in.servedBaselineRate
		}
		expectedDemand += e.unthrottledDemand[r] * in.servedBaselineRate
		expectedRejected += e.unthrottledDemand[r] * in.servedBaselineRate * e.rejected[r]
		rejectedDemand += rate * e.rejected[r]
		e.original[r] = rate / (1 + e.perRejection*e.rejected[r])
	}
	demand := sum(in.demand)
	recentlyThrottled := in.throttling && in.now < in.throttlingSince+clientRetryWindowSeconds
	if recentlyThrottled && expectedRejected > minRejectedDemand*expectedDemand {
		// Shortly after throttling began, demand above its earlier level is attributed to retries of the same clients.
		observedRetries := min(max((demand-expectedDemand)/expectedRejected, 0), maxClientRetries)
		e.perRejection += (observedRetries - e.perRejection) * updateIntervalSeconds / admissionLagSeconds
	}
	if in.saturation < idleLatencyRatio && rejectedDemand > 0 {
		// Client retries alone could keep an idle fleet throttled. If no requests wait, the completed attempts are all the
		// admitted requests, and the remaining demand consists of retries.
		e.perRejection = min(max((demand-rejectedDemand)/in.attempts-1, 0)*demand/rejectedDemand, maxClientRetries)
	}
}

// publishedRejection returns the fraction of a route's requests that proxies reject according to the published levels:
// the mean over the subsets, weighted by their demand.
func publishedRejection(subsets []subset, route int, subsetDemand float64) (rejected float64) {
	for k := range subsets {
		s := &subsets[k]
		rejected += (1 - s.admission.levels[route]) * s.demand / subsetDemand
	}
	return rejected
}
