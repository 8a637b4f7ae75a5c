package planner

import "math"

// demandWindowSeconds is the time in s over which a proxy's demand is averaged: long enough for the few requests of one
// proxy, short enough as clients come and go.
const demandWindowSeconds = 3.0

// demandEstimate is how many requests arrive at the proxies, as of the last step.
type demandEstimate struct {
	byRoute       []float64 // requests a second
	meanObjective float64   // s, the mean latency objective of these requests; 0 if there are none
}

// AddDemandReport handles the requests that a proxy got on one route. Reports on unknown proxies and routes are
// ignored.
func (p *Planner) AddDemandReport(now float64, report DemandReport) {
	p.now = now
	unknown := report.Proxy >= len(p.proxies.all) || p.proxies.all[report.Proxy].demand == nil
	if unknown || int(report.Route) >= len(p.config.Routes) || report.Interval <= 0 {
		return
	}
	reporter := &p.proxies.all[report.Proxy]
	p.decaySubsetDemand(&p.subsets[reporter.subset])
	// Reports that were held up come all at once. Each counts for the window that is averaged at most: else they would
	// pass for a burst.
	reporter.demand[report.Route] += float64(report.Requests) / max(report.Interval, demandWindowSeconds)
}

// decaySubsetDemand decays the demand of a subset's members, as one of its proxies reports. A proxy without requests
// reports nothing: its demand decays as others of the subset report, and stays while none does.
func (p *Planner) decaySubsetDemand(s *subset) {
	keep := math.Exp((s.demandReportedAt - p.now) / demandWindowSeconds)
	s.demandReportedAt = p.now
	if keep >= 1 {
		return
	}
	for _, member := range s.members {
		demand := p.proxies.all[member].demand
		for route := range demand {
			demand[route] *= keep
		}
	}
}

// update adds the demand up by subset and by route. That of proxies that left decays with each step: a short break of
// a stream moves neither the subsets' shares nor the admission levels.
func (d *demandEstimate) update(proxies []proxy, subsets []subset, routes []Route) {
	keep := math.Exp(-stepIntervalSeconds / demandWindowSeconds)
	for k := range subsets {
		subsets[k].demand = 0
	}
	clear(d.byRoute)
	for k := range proxies {
		member := &proxies[k]
		for route, rate := range member.demand {
			subsets[member.subset].demand += rate
			d.byRoute[route] += rate
			if !member.connected {
				member.demand[route] *= keep
			}
		}
	}
	total := max(sum(d.byRoute), 1e-9)
	d.meanObjective = 0
	for route, rate := range d.byRoute {
		d.meanObjective += routes[route].LatencyObjective * rate / total
	}
}
