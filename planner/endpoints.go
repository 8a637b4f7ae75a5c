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

	health      health
	healthSince float64 // s

	completed, failed, latencySum float64 // attempts and s, decaying
	queueLength, utilization      float64 // as reported

	answered, busySeconds float64 // requests, and s of its weight that it was busy meanwhile, decaying
	baselineLatency       float64 // s, the best mean latency seen
}

// endpointRegistry holds the endpoints under dense indices, which the routing tables share.
type endpointRegistry struct {
	all         []endpoint
	indexOf     map[uint32]int // by node
	unused      []int          // indices of released endpoints
	dealtByZone []int          // endpoints that the subsets of a zone were given so far
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
	r.dealtByZone[listed.Zone]++
	e := &r.all[i]
	e.node, e.machineType, e.subset = listed.Node, listed.MachineType, subset
	e.state, e.health, e.healthSince = Ready, healthy, 0
	e.startTime = -1
	return i
}

// release frees an endpoint's index.
func (r *endpointRegistry) release(i int) {
	delete(r.indexOf, r.all[i].node)
	r.unused = append(r.unused, i)
}

// initialSubscribeBackoff is the mean time in s from the first failure of the list's watch to the next subscription.
const initialSubscribeBackoff = 0.2

// ReplaceEndpoints handles a full list, or at the start the one last known: endpoints that it lacks are removed.
func (c *Planner) ReplaceEndpoints(now float64, rows []Endpoint) {
	for i := range c.endpoints.all {
		c.endpoints.all[i].state = Removed
	}
	c.UpdateEndpoints(now, rows)
}

// UpdateEndpoints handles endpoints that are new or have changed. Those of a zone or machine type that the Config
// does not have are ignored.
func (c *Planner) UpdateEndpoints(now float64, rows []Endpoint) {
	c.now = now
	c.subscribeFailures = 0
	if len(c.endpoints.all) == 0 {
		c.makeSubsets(len(rows))
		for p := range c.proxies.all {
			if c.proxies.all[p].connected {
				c.assignSubset(p, c.proxies.all[p].subset)
			}
		}
	}
	for _, listed := range rows {
		if listed.Zone < c.config.Zones && listed.MachineType < c.config.MachineTypes {
			c.updateEndpoint(listed)
		}
	}
	c.tablesOutdated = !c.config.Sharded
	c.publishUrgent()
}

func (c *Planner) updateEndpoint(listed Endpoint) {
	i, known := c.endpoints.indexOf[listed.Node]
	if !known {
		i = c.addEndpoint(listed)
	}
	e := &c.endpoints.all[i]
	if listed.StartTime > e.startTime {
		// A restart under the same name is a new, cold process: what was seen of the former one tells nothing of it.
		e.startTime = listed.StartTime
		c.setHealth(i, healthy)
		c.resetStatistics(i)
	}
	e.state = listed.State
	e.weight = cmp.Or(max(listed.Weight, 0), 1)
}

// addEndpoint deals a new endpoint to the next subset of its zone and makes room for it in all tables.
func (c *Planner) addEndpoint(listed Endpoint) int {
	subset := (listed.Zone + c.config.Zones*c.endpoints.dealtByZone[listed.Zone]) % len(c.subsets)
	i := c.endpoints.add(listed, subset)
	for t := range c.subsets {
		s := &c.subsets[t]
		if i == len(s.desired) {
			s.desired = append(s.desired, 0)
			s.published = append(s.published, 0)
		}
	}
	return i
}

// ReleaseEndpoint forgets an endpoint that was removed for good. Without it memory and work would grow with each
// release of the service. It reports false, and keeps the endpoint, while a published table still has its entry.
func (c *Planner) ReleaseEndpoint(node uint32) bool {
	i, known := c.endpoints.indexOf[node]
	if !known {
		return true
	}
	for t := range c.subsets {
		if c.endpoints.all[i].state != Removed || c.subsets[t].published[i] > 0 {
			return false
		}
		c.subsets[t].desired[i] = 0
	}
	c.resetStatistics(i)
	c.endpoints.release(i)
	return true
}

// EndpointWatchFailed says that a subscription to the list failed or broke. The next one follows after a backoff.
func (c *Planner) EndpointWatchFailed(now float64) {
	c.now = now
	if !c.config.MustSubscribe || c.config.Sharded || !math.IsInf(c.subscribeAt, 1) {
		return
	}
	// The backoff grows and is random: the service is one for all controllers and rejects crowds.
	backoff := min(initialSubscribeBackoff*math.Exp2(c.subscribeFailures), c.config.SubscribeTimeout/4)
	c.subscribeAt = now + backoff*(0.5+c.random())
	c.subscribeFailures++
}
