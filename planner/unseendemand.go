package planner

// unseenDemandPriorProxies is the number of connected proxies whose demand weighs as much as the prior that unseen
// proxies have no demand.
const unseenDemandPriorProxies = 20.0

// addUnseenDemand adds an estimate of the demand at proxies that other controllers serve, if each proxy joins a
// controller of its own zone (Config.LocalZoneProxies). A controller that knew only the demand of its own zone would
// treat the other zones as idle and spill most requests to them. Unseen proxies are assumed to have the usual demand of
// the connected proxies and to be distributed in proportion to capacity.
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
	seenProxies := 0.0
	totalUnseenProxies := 0.0
	unseenProxies := make([]float64, len(loads)) // by subset, unseen proxies expected from its share of the capacity
	for k := range p.subsets {
		members := float64(len(p.subsets[k].members))
		seenProxies += members
		unseenProxies[k] = max(0, proxies*loads[k].capacity/totalCapacity-members)
		totalUnseenProxies += unseenProxies[k]
	}
	// The more saturated the endpoints that serve this controller's proxies are, the more likely others have capacity
	// left, so the less unseen demand is assumed.
	weight := max(0, min(1, (saturatedLatencyRatio-p.load.saturation)/(saturatedLatencyRatio-relievedLatencyRatio)))
	unseenDemand := weight * p.baselineRate() / (seenProxies + unseenDemandPriorProxies) * max(0, proxies-seenProxies)
	for k := range loads {
		loads[k].demand += unseenDemand * unseenProxies[k] / max(totalUnseenProxies, 1e-9)
	}
}
