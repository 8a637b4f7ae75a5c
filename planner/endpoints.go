package planner

import (
	"cmp"
	"math"
)

// endpoint is the state of one listed endpoint.
type endpoint struct {
	node        uint32
	machineType int
	subset      int // assigned subset, whose members use the endpoint first
	state       EndpointState
	weight      float64 // as listed
	startTime   float64 // s, when its process and its slow start began; -1 until it is listed

	unavailableSince float64 // s, when the list first showed it as draining or removed; +Inf while it is ready

	health      Health
	healthSince float64 // s, when health was last set

	load     endpointLoad
	evidence capacityEvidence
}

// endpointRegistry stores the endpoints by dense indices that the routing tables share.
type endpointRegistry struct {
	all            []endpoint
	indexOf        map[uint32]int // by node
	unused         []int          // indices of released endpoints
	assignedByZone []int          // by zone, the endpoints assigned round-robin to its subsets so far
}

// sum returns the sum of value over all endpoints, added in the order of their indices.
func (r *endpointRegistry) sum(value func(*endpoint) float64) (total float64) {
	for i := range r.all {
		total += value(&r.all[i])
	}
	return total
}

// add stores a new endpoint and returns its index. It reuses the index of a released endpoint if there is one.
func (r *endpointRegistry) add(listed Endpoint, subset int) int {
	i := len(r.all)
	if n := len(r.unused); n > 0 {
		i = r.unused[n-1]
		r.unused = r.unused[:n-1]
	} else {
		r.all = append(r.all, endpoint{})
	}
	r.indexOf[listed.Node] = i
	r.assignedByZone[listed.Zone]++
	e := &r.all[i]
	e.node = listed.Node
	e.machineType = listed.MachineType
	e.subset = subset
	e.setState(Ready, 0)
	e.health = Healthy
	e.healthSince = 0
	e.startTime = -1
	return i
}

// release makes an endpoint's index available for reuse.
func (r *endpointRegistry) release(i int) {
	delete(r.indexOf, r.all[i].node)
	r.unused = append(r.unused, i)
}

// setState sets the listed state of an endpoint.
func (e *endpoint) setState(state EndpointState, now float64) {
	switch {
	case state == Ready:
		e.unavailableSince = math.Inf(1)
	case e.state == Ready:
		e.unavailableSince = now
	}
	e.state = state
}

// resetStatistics discards the statistics of an endpoint's process.
func (e *endpoint) resetStatistics() {
	e.load = endpointLoad{}
	e.evidence = capacityEvidence{baselineLatency: math.Inf(1)}
}

// endpointWatch schedules new subscriptions to the list's changes (Config.MustSubscribe).
type endpointWatch struct {
	subscribeAt float64 // s, +Inf unless a subscription failed
	failures    float64 // since the last update
}

// initialBackoffSeconds is the mean delay in s between the first failure of the list's watch and the next subscription.
const initialBackoffSeconds = 0.2

// ReplaceEndpoints handles a full list, which at the start may be the last known one. Endpoints that are not on the
// list are removed.
func (p *Planner) ReplaceEndpoints(now float64, list []Endpoint) {
	for i := range p.endpoints.all {
		p.endpoints.all[i].setState(Removed, now)
	}
	p.UpdateEndpoints(now, list)
}

// UpdateEndpoints handles new and changed endpoints. Endpoints whose zone or machine type is out of the range of the
// Config are ignored.
func (p *Planner) UpdateEndpoints(now float64, list []Endpoint) {
	p.now = now
	p.watch.failures = 0
	if len(p.endpoints.all) == 0 {
		p.makeSubsets(len(list))
		for number := range p.proxies.all {
			if p.proxies.all[number].connected {
				// Before the first list each zone is one subset, so the proxy's subset equals its zone. This does not hold
				// after a list that contains only unknown zones, as it already creates more subsets; the controller never
				// passes such a list.
				p.assignSubset(number, p.proxies.all[number].subset)
			}
		}
	}
	for _, listed := range list {
		if listed.Zone < p.config.Zones && listed.MachineType < p.config.MachineTypes {
			p.updateEndpoint(listed)
		}
	}
	p.publication.urgentPending = !p.inactive()
	p.publishUrgent()
}

// updateEndpoint applies the listed state of one endpoint.
func (p *Planner) updateEndpoint(listed Endpoint) {
	i, known := p.endpoints.indexOf[listed.Node]
	if !known {
		i = p.addEndpoint(listed)
	}
	e := &p.endpoints.all[i]
	if listed.StartTime > e.startTime {
		// A restart under the same name is a new, cold process. Statistics of the former process do not apply to it.
		e.startTime = listed.StartTime
		p.setHealth(i, Healthy)
		e.resetStatistics()
	}
	e.setState(listed.State, p.now)
	e.weight = cmp.Or(max(listed.Weight, 0), 1)
}

// addEndpoint adds an endpoint, extends all tables to its index and returns the index. New endpoints are assigned
// round-robin to the subsets of their zone.
func (p *Planner) addEndpoint(listed Endpoint) int {
	subset := p.nthSubset(listed.Zone, p.endpoints.assignedByZone[listed.Zone])
	i := p.endpoints.add(listed, subset)
	for k := range p.subsets {
		p.subsets[k].table.grow(i)
	}
	return i
}

// ReleaseEndpoint deletes an endpoint that was removed permanently. Otherwise memory and work would grow with each
// release of the service. It returns false and keeps the endpoint while a published table still contains its entry.
func (p *Planner) ReleaseEndpoint(node uint32) bool {
	i, known := p.endpoints.indexOf[node]
	if !known {
		return true
	}
	for k := range p.subsets {
		if p.endpoints.all[i].state != Removed || p.subsets[k].table.published[i] > 0 {
			return false
		}
		p.subsets[k].table.desired[i] = 0
	}
	p.endpoints.all[i].resetStatistics()
	p.endpoints.release(i)
	return true
}

// EndpointWatchFailed handles a subscription to the list that failed or broke. The planner subscribes again after a
// backoff.
func (p *Planner) EndpointWatchFailed(now float64) {
	p.now = now
	if !p.config.MustSubscribe || p.inactive() || !math.IsInf(p.watch.subscribeAt, 1) {
		return
	}
	// The backoff grows and is random because all controllers share the service, which rejects many simultaneous
	// subscriptions.
	backoff := min(initialBackoffSeconds*math.Exp2(p.watch.failures), p.config.SubscribeTimeout/4)
	p.watch.subscribeAt = now + backoff*(0.5+p.random.next())
	p.watch.failures++
}

// resubscribe subscribes to the list again once the backoff has elapsed.
func (p *Planner) resubscribe() {
	if p.now >= p.watch.subscribeAt {
		p.watch.subscribeAt = math.Inf(1)
		p.host.Subscribe()
	}
}
