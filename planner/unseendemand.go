package planner

// unseenDemandPriorProxies is how many connected proxies tell as much as is assumed of those that are not seen.
const unseenDemandPriorProxies = 20.0

// addUnseenDemand adds the demand of proxies that other controllers serve, where each proxy joins a controller of its
// own zone. A controller that allocates with the demand of its own zone alone takes the other zones for empty, and
// spills most requests to them. The proxies that are not seen are assumed to be in number and demand as ours usually
// are, and where the capacity is.
func (p *Planner) addUnseenDemand(loads []subsetLoad) {
	if !p.config.LocalZoneProxies {
		return
	}
	totalCapacity := 0.0
	for _, load := range loads {
		totalCapacity += load.capacity
	}
	totalCapacity = max(totalCapacity, 1e-9)
	proxies := float64(p.config.Proxies)
	seen := 0.0
	totalMissing := 0.0
	missing := make([]float64, len(loads)) // by subset, proxies that its capacity suggests and that are not seen
	for k := range p.subsets {
		members := float64(len(p.subsets[k].members))
		seen += members
		missing[k] = max(0, proxies*loads[k].capacity/totalCapacity-members)
		totalMissing += missing[k]
	}
	// The fuller our own endpoints are, the likelier it is that others have capacity left.
	weight := max(0, min(1, (saturatedLatencyRatio-p.load.saturation)/(saturatedLatencyRatio-relievedLatencyRatio)))
	unseen := weight * p.baselineRate() / (seen + unseenDemandPriorProxies) * max(0, proxies-seen)
	for k := range loads {
		loads[k].demand += unseen * missing[k] / max(totalMissing, 1e-9)
	}
}
