package planner

const (
	// admissionLag is the time in s over which a level shows in demand: its way to the proxies, the report's way back
	// and demandWindow.
	admissionLag = 3.0
	// clientRetryWindow is the time in s after throttling began in which client retries are told from a change of
	// demand.
	clientRetryWindow = 8.0
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

// update estimates the original requests, and for the next time the retries for each rejected request.
func (e *clientRetryEstimate) update(in admissionInput, admission *admissionControl) {
	totalSubsetDemand := 0.0
	for z := range in.subsets {
		totalSubsetDemand += in.subsets[z].demand
	}
	totalSubsetDemand = max(totalSubsetDemand, 1e-9)
	expected := 0.0         // demand as it was before throttling
	expectedRejected := 0.0 // of that, what is rejected
	rejectedDemand := 0.0   // of the demand now, what is rejected
	for r, rate := range in.demand {
		rejected := 0.0 // mean over the subsets, as the levels were published
		for z := range in.subsets {
			s := &in.subsets[z]
			rejected += (1 - s.admission.levels[r]) * s.demand / totalSubsetDemand
		}
		e.rejected[r] += (rejected - e.rejected[r]) * updateInterval / admissionLag
		if !admission.throttling {
			e.unthrottledDemand[r] = rate / admission.servedBaselineRate
		}
		expected += e.unthrottledDemand[r] * admission.servedBaselineRate
		expectedRejected += e.unthrottledDemand[r] * admission.servedBaselineRate * e.rejected[r]
		rejectedDemand += rate * e.rejected[r]
		e.original[r] = rate / (1 + e.perRejection*e.rejected[r])
	}
	demand := sum(in.demand)
	earlyThrottling := admission.throttling && in.now < admission.throttlingSince+clientRetryWindow
	if earlyThrottling && expectedRejected > minRejectedDemand*expected {
		// So soon, demand beside what the same clients asked before tells how often they retry.
		seen := min(max((demand-expected)/expectedRejected, 0), maxClientRetries)
		e.perRejection += (seen - e.perRejection) * updateInterval / admissionLag
	}
	if in.saturation < idleLatency && rejectedDemand > 0 {
		// Client retries alone could keep an idle fleet throttled. Where nothing waits, what completed is all that was
		// admitted, and the rest of demand are retries.
		e.perRejection = min(max((demand-rejectedDemand)/in.attempts-1, 0)*demand/rejectedDemand, maxClientRetries)
	}
}
