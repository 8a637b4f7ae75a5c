package planner

import (
	"cmp"
	"math"
)

// endpoint is what the planner knows of one endpoint of the list.
type endpoint struct {
	node        uint32
	machineType int
	subset      int // whose members' table leads to it first
	state       EndpointState
	weight      float64 // as listed
	startTime   float64 // s; its slow start begins there, -1 before the list has told

	health      Health
	healthSince float64 // s

	load     endpointLoad
	evidence capacityEvidence
}

// endpointRegistry holds the endpoints under dense indices, which the routing tables share.
type endpointRegistry struct {
	all            []endpoint
	indexOf        map[uint32]int // by node
	unused         []int          // indices of released endpoints
	assignedByZone []int          // endpoints of a zone that were assigned round-robin to its subsets so far
}

// sum adds a figure up over all endpoints, in the order of their indices.
func (r *endpointRegistry) sum(figure func(*endpoint) float64) (total float64) {
	for i := range r.all {
		total += figure(&r.all[i])
	}
	return total
}

// add gives a new endpoint an index, one of a released endpoint if there is any.
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
	e.state = Ready
	e.health = Healthy
	e.healthSince = 0
	e.startTime = -1
	return i
}

// release frees an endpoint's index.
func (r *endpointRegistry) release(i int) {
	delete(r.indexOf, r.all[i].node)
	r.unused = append(r.unused, i)
}

// resetStatistics forgets what was seen of an endpoint's process.
func (e *endpoint) resetStatistics() {
	e.load = endpointLoad{}
	e.evidence = capacityEvidence{baselineLatency: math.Inf(1)}
}

// endpointWatch is when to subscribe to the list's changes, where a controller has to.
type endpointWatch struct {
	subscribeAt float64 // s, +Inf unless a subscription failed
	failures    float64 // since the last update
}

// initialBackoffSeconds is the mean time in s from the first failure of the list's watch to the next subscription.
const initialBackoffSeconds = 0.2

// ReplaceEndpoints handles a full list, which at the start may be the one last known: endpoints that it lacks are
// removed.
func (p *Planner) ReplaceEndpoints(now float64, list []Endpoint) {
	for i := range p.endpoints.all {
		p.endpoints.all[i].state = Removed
	}
	p.UpdateEndpoints(now, list)
}

// UpdateEndpoints handles endpoints that are new or have changed. Those of a zone or machine type that the Config
// does not have are ignored.
func (p *Planner) UpdateEndpoints(now float64, list []Endpoint) {
	p.now = now
	p.watch.failures = 0
	if len(p.endpoints.all) == 0 {
		p.makeSubsets(len(list))
		for number := range p.proxies.all {
			if p.proxies.all[number].connected {
				// Before the first list each zone is one subset: the proxy's subset is the number of its zone. That does
				// not hold behind a list of unknown zones only, which made more subsets; the controller passes none.
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

// updateEndpoint takes over what the list says of one endpoint.
func (p *Planner) updateEndpoint(listed Endpoint) {
	i, known := p.endpoints.indexOf[listed.Node]
	if !known {
		i = p.addEndpoint(listed)
	}
	e := &p.endpoints.all[i]
	if listed.StartTime > e.startTime {
		// A restart under the same name is a new, cold process: what was seen of the former one tells nothing of it.
		e.startTime = listed.StartTime
		p.setHealth(i, Healthy)
		e.resetStatistics()
	}
	e.state = listed.State
	e.weight = cmp.Or(max(listed.Weight, 0), 1)
}

// addEndpoint assigns new endpoints round-robin to the subsets of their zone, and extends all tables to their indices.
func (p *Planner) addEndpoint(listed Endpoint) int {
	subset := p.nthSubset(listed.Zone, p.endpoints.assignedByZone[listed.Zone])
	i := p.endpoints.add(listed, subset)
	for k := range p.subsets {
		p.subsets[k].table.grow(i)
	}
	return i
}

// ReleaseEndpoint forgets an endpoint that was removed for good. Without it memory and work would grow with each
// release of the service. It reports false, and keeps the endpoint, while a published table still has its entry.
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

// EndpointWatchFailed says that a subscription to the list failed or broke. The next one follows after a backoff.
func (p *Planner) EndpointWatchFailed(now float64) {
	p.now = now
	if !p.config.MustSubscribe || p.inactive() || !math.IsInf(p.watch.subscribeAt, 1) {
		return
	}
	// The backoff grows and is random: the service is one for all controllers and rejects crowds.
	backoff := min(initialBackoffSeconds*math.Exp2(p.watch.failures), p.config.SubscribeTimeout/4)
	p.watch.subscribeAt = now + backoff*(0.5+p.random.next())
	p.watch.failures++
}

// resubscribe subscribes to the list again when the backoff is over.
func (p *Planner) resubscribe() {
	if p.now >= p.watch.subscribeAt {
		p.watch.subscribeAt = math.Inf(1)
		p.host.Subscribe()
	}
}
