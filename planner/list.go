package planner

import (
	"cmp"
	"math"
)

const askFirst = 0.2 // s before the list's service is asked again after a failure

// ReplaceEndpoints is the complete list, at the start the one last known: what it lacks is gone.
func (c *Planner) ReplaceEndpoints(now float64, rows []Endpoint) {
	for i := range c.condition {
		c.condition[i] = Removed
	}
	c.UpdateEndpoints(now, rows)
}

// UpdateEndpoints brings the entries that are new or other than before.
func (c *Planner) UpdateEndpoints(now float64, rows []Endpoint) {
	c.now, c.askTries = now, 0
	if len(c.node) == 0 {
		c.makePools(len(rows))
		for p, here := range c.joined {
			if here {
				c.assignPool(p, c.home[p])
			}
		}
	}
	for _, row := range rows {
		if row.Zone >= c.site.Zones || row.MachineType >= c.site.MachineTypes {
			continue
		}
		i, known := c.index[row.Node]
		if !known {
			i = c.addNode(row)
		}
		if row.StartTime > c.started[i] {
			// A restart under the same id is a new, cold process: what was seen of the old one is void.
			c.started[i] = row.StartTime
			c.setHealth(i, healthy)
			c.forget(i)
		}
		c.condition[i], c.listed[i] = row.State, cmp.Or(max(row.Weight, 0), 1)
	}
	c.changed = !c.site.Sharded
	c.sendUrgent()
}

func (c *Planner) addNode(row Endpoint) int {
	i := len(c.node)
	if n := len(c.spare); n > 0 {
		i, c.spare = c.spare[n-1], c.spare[:n-1]
	} else {
		c.node, c.kind, c.pool = append(c.node, 0), append(c.kind, 0), append(c.pool, 0)
		c.condition, c.health = append(c.condition, Removed), append(c.health, healthy)
		for _, figure := range []*[]float64{&c.listed, &c.started, &c.since, &c.done, &c.busy,
			&c.quick, &c.queue, &c.use, &c.ended, &c.lost, &c.spent} {
			*figure = append(*figure, 0)
		}
		for t := range c.sent {
			c.sent[t], c.want[t] = append(c.sent[t], 0), append(c.want[t], 0)
		}
	}
	c.index[row.Node] = i
	c.node[i], c.kind[i], c.condition[i], c.health[i] = row.Node, row.MachineType, Ready, healthy
	c.pool[i] = (row.Zone + c.site.Zones*c.nodesDealt[row.Zone]) % len(c.want)
	c.nodesDealt[row.Zone]++
	c.started[i], c.since[i] = -1, 0
	return i
}

// ReleaseEndpoint guards against memory and work that grow with each release: a node that is gone for good gives its
// place back. It tells whether it could: not while a table has its line.
func (c *Planner) ReleaseEndpoint(node uint32) bool {
	i, known := c.index[node]
	if !known {
		return true
	}
	for t := range c.sent {
		if c.condition[i] != Removed || c.sent[t][i] > 0 {
			return false
		}
		c.want[t][i] = 0
	}
	c.forget(i)
	delete(c.index, node)
	c.spare = append(c.spare, i)
	return true
}

// EndpointWatchFailed says that asking for the list failed or that the subscription broke.
func (c *Planner) EndpointWatchFailed(now float64) {
	c.now = now
	if c.site.MustSubscribe && !c.site.Sharded && math.IsInf(c.askAt, 1) {
		// Waits grow and are spread by chance: the service is one for all and turns crowds away.
		c.askAt = now + min(askFirst*math.Exp2(c.askTries), c.site.SubscribeTimeout/4)*(0.5+c.chance())
		c.askTries++
	}
}
