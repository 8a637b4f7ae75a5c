package planner

import (
	"cmp"
	"math"
)

const initialSubscribeBackoff = 0.2 // s before the list's service is asked again after a failure

// ReplaceEndpoints is the complete list, at the start the one last known: what it lacks is gone.
func (c *Planner) ReplaceEndpoints(now float64, rows []Endpoint) {
	for i := range c.state {
		c.state[i] = Removed
	}
	c.UpdateEndpoints(now, rows)
}

// UpdateEndpoints brings the entries that are new or other than before.
func (c *Planner) UpdateEndpoints(now float64, rows []Endpoint) {
	c.now, c.subscribeFailures = now, 0
	if len(c.node) == 0 {
		c.makeSubsets(len(rows))
		for p, here := range c.connected {
			if here {
				c.assignSubset(p, c.assigned[p])
			}
		}
	}
	for _, row := range rows {
		if row.Zone >= c.config.Zones || row.MachineType >= c.config.MachineTypes {
			continue
		}
		i, known := c.indexOf[row.Node]
		if !known {
			i = c.addEndpoint(row)
		}
		if row.StartTime > c.startTime[i] {
			// A restart under the same id is a new, cold process: what was seen of the old one is void.
			c.startTime[i] = row.StartTime
			c.setHealth(i, healthy)
			c.resetStatistics(i)
		}
		c.state[i], c.weight[i] = row.State, cmp.Or(max(row.Weight, 0), 1)
	}
	c.tablesOutdated = !c.config.Sharded
	c.publishUrgent()
}

func (c *Planner) addEndpoint(row Endpoint) int {
	i := len(c.node)
	if n := len(c.unused); n > 0 {
		i, c.unused = c.unused[n-1], c.unused[:n-1]
	} else {
		c.node, c.machineType, c.subset = append(c.node, 0), append(c.machineType, 0), append(c.subset, 0)
		c.state, c.health = append(c.state, Removed), append(c.health, healthy)
		for _, figure := range []*[]float64{&c.weight, &c.startTime, &c.healthSince, &c.answered, &c.busySeconds,
			&c.baselineLatency, &c.queueLength, &c.utilization, &c.completed, &c.failed, &c.latencySum} {
			*figure = append(*figure, 0)
		}
		for t := range c.published {
			c.published[t], c.desired[t] = append(c.published[t], 0), append(c.desired[t], 0)
		}
	}
	c.indexOf[row.Node] = i
	c.node[i], c.machineType[i], c.state[i], c.health[i] = row.Node, row.MachineType, Ready, healthy
	c.subset[i] = (row.Zone + c.config.Zones*c.dealtByZone[row.Zone]) % len(c.desired)
	c.dealtByZone[row.Zone]++
	c.startTime[i], c.healthSince[i] = -1, 0
	return i
}

// ReleaseEndpoint guards against memory and work that grow with each release: a node that is gone for good gives its
// place back. It tells whether it could: not while a table has its line.
func (c *Planner) ReleaseEndpoint(node uint32) bool {
	i, known := c.indexOf[node]
	if !known {
		return true
	}
	for t := range c.published {
		if c.state[i] != Removed || c.published[t][i] > 0 {
			return false
		}
		c.desired[t][i] = 0
	}
	c.resetStatistics(i)
	delete(c.indexOf, node)
	c.unused = append(c.unused, i)
	return true
}

// EndpointWatchFailed says that asking for the list failed or that the subscription broke.
func (c *Planner) EndpointWatchFailed(now float64) {
	c.now = now
	if c.config.MustSubscribe && !c.config.Sharded && math.IsInf(c.subscribeAt, 1) {
		// Waits grow and are spread by chance: the service is one for all and turns crowds away.
		c.subscribeAt = now + min(initialSubscribeBackoff*math.Exp2(c.subscribeFailures), c.config.SubscribeTimeout/4)*(0.5+c.random())
		c.subscribeFailures++
	}
}
