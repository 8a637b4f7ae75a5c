package planner

const (
	// admissionLagSeconds is the time in s over which a level shows in demand: its way to the proxies, the report's
	// way back and demandWindowSeconds.
	admissionLagSeconds = 3.0
	// clientRetryWindowSeconds is the time in s after throttling began in which client retries are told from a change
	// of demand.
	clientRetryWindowSeconds = 8.0
	// minRejectedDemand is the part of demand that has to be rejected before client retries are estimated.
	minRejectedDemand = 0.1
	// maxClientRetries bounds the client retries for each rejected request.
	maxClientRetries = 3.0
)

// clientRetryEstimate tells original requests from client retries. Clients repeat what is rejected, and the retries
// are rejected as well: taken for demand, they would lower the levels further, and go on after the burst.
type clientRetryEstimate struct {
	original          []float64 // requests a second by route without the retries
	unthrottledDemand []float64 // requests a second by route before throttling, for each of servedBaselineRate
	rejected          []float64 // by route, the part that was rejected, as old as the demand that is reported
	perRejection      float64   // retries for each rejected request
}

func newClientRetryEstimate(routes int) clientRetryEstimate {
	return clientRetryEstimate{
		original:          make([]float64, routes),
		unthrottledDemand: make([]float64, routes),
		rejected:          make([]float64, routes),
	}
}

// clientRetryInput is what an update of the estimate is made from.
type clientRetryInput struct {
	now                float64   // s
	demand             []float64 // requests a second by route
	subsets            []subset  // their demand and published levels
	servedBaselineRate float64   // requests a second
	throttling         bool
	throttlingSince    float64 // s
	saturation         float64
	attempts           float64 // attempts a second that completed
}

// update estimates the original requests, and for the next time the retries for each rejected request.
func (e *clientRetryEstimate) update(in clientRetryInput) {
	expected := 0.0         // demand as it was before throttling
	expectedRejected := 0.0 // of that, what is rejected
	rejectedDemand := 0.0   // of the demand now, what is rejected
	subsetDemand := max(totalDemand(in.subsets), 1e-9)
	for r, rate := range in.demand {
		published := publishedRejection(in.subsets, r, subsetDemand)
		e.rejected[r] += (published - e.rejected[r]) * updateIntervalSeconds / admissionLagSeconds
		if !in.throttling {
			e.unthrottledDemand[r] = rate / in.servedBaselineRate
		}
		expected += e.unthrottledDemand[r] * in.servedBaselineRate
		expectedRejected += e.unthrottledDemand[r] * in.servedBaselineRate * e.rejected[r]
		rejectedDemand += rate * e.rejected[r]
		e.original[r] = rate / (1 + e.perRejection*e.rejected[r])
	}
	demand := sum(in.demand)
	throttlingBegan := in.throttling && in.now < in.throttlingSince+clientRetryWindowSeconds
	if throttlingBegan && expectedRejected > minRejectedDemand*expected {
		// So soon, demand beside what the same clients asked before tells how often they retry.
		seen := min(max((demand-expected)/expectedRejected, 0), maxClientRetries)
		e.perRejection += (seen - e.perRejection) * updateIntervalSeconds / admissionLagSeconds
	}
	if in.saturation < idleLatencyRatio && rejectedDemand > 0 {
		// Client retries alone could keep an idle fleet throttled. Where nothing waits, what completed is all that was
		// admitted, and the rest of demand are retries.
		e.perRejection = min(max((demand-rejectedDemand)/in.attempts-1, 0)*demand/rejectedDemand, maxClientRetries)
	}
}

// publishedRejection is the part of a route's requests that proxies reject, as the levels were published: the mean over
// the subsets by their demand.
func publishedRejection(subsets []subset, route int, subsetDemand float64) (rejected float64) {
	for k := range subsets {
		s := &subsets[k]
		rejected += (1 - s.admission.levels[route]) * s.demand / subsetDemand
	}
	return rejected
}
