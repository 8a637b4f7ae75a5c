package planner

import "math"

// demandWindowSeconds is the time in s over which a proxy's demand is averaged. It is long enough to average the few
// requests of one proxy and short enough to follow clients that come and go.
const demandWindowSeconds = 3.0

// demandEstimate is the request rate at the proxies, as of the last step.
type demandEstimate struct {
	byRoute       []float64 // requests a second
	meanObjective float64   // s, the mean latency objective of these requests; 0 if there are none
}

// AddDemandReport handles a report of the requests that arrived at a proxy for one route. Reports on unknown proxies or
// routes are ignored.
func (p *Planner) AddDemandReport(now float64, report DemandReport) {
	p.now = now
	unknown := report.Proxy >= len(p.proxies.all) || p.proxies.all[report.Proxy].demand == nil
	if unknown || int(report.Route) >= len(p.config.Routes) || report.Interval <= 0 {
		return
	}
	reporter := &p.proxies.all[report.Proxy]
	p.decaySubsetDemand(&p.subsets[reporter.subset])
	// Delayed reports arrive together. Each counts for at most the demand window, so that they do not look like a
	// burst.
	reporter.demand[report.Route] += float64(report.Requests) / max(report.Interval, demandWindowSeconds)
}

// decaySubsetDemand decays the demand of a subset's members when one of them reports. A proxy without requests sends no
// reports: its demand decays when other proxies of the subset report, and stays unchanged while none does.
func (p *Planner) decaySubsetDemand(s *subset) {
	decayFactor := math.Exp((s.demandReportedAt - p.now) / demandWindowSeconds)
	s.demandReportedAt = p.now
	if decayFactor >= 1 {
		return
	}
	for _, member := range s.members {
		demand := p.proxies.all[member].demand
		for route := range demand {
			demand[route] *= decayFactor
		}
	}
}

// update sums the demand by subset and by route. The demand of disconnected proxies decays with each step, so that a
// brief interruption of a stream changes neither the subsets' shares nor the admission levels.
func (d *demandEstimate) update(proxies []proxy, subsets []subset, routes []Route) {
	decayFactor := math.Exp(-stepIntervalSeconds / demandWindowSeconds)
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
				member.demand[route] *= decayFactor
			}
		}
	}
	total := max(sum(d.byRoute), 1e-9)
	d.meanObjective = 0
	for route, rate := range d.byRoute {
		d.meanObjective += routes[route].LatencyObjective * rate / total
	}
}
