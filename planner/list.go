package planner

import (
	"cmp"
	"math"
)

const askFirst = 0.2 // s before the list's service is asked again after a failure

// ListWhole is the complete list, at the start the one last known: what it lacks is gone.
func (c *Conductor) ListWhole(now float64, rows []Row) {
	for i := range c.condition {
		c.condition[i] = Gone
	}
	c.ListChanged(now, rows)
}

// ListChanged brings the entries that are new or other than before.
func (c *Conductor) ListChanged(now float64, rows []Row) {
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
		if row.Zone >= c.site.Zones || row.Kind >= c.site.Kinds {
			continue
		}
		i, known := c.index[row.Node]
		if !known {
			i = c.addNode(row)
		}
		if row.Started > c.started[i] {
			// A restart under the same id is a new, cold process: what was seen of the old one is void.
			c.started[i] = row.Started
			c.setHealth(i, healthy)
			c.forget(i)
		}
		c.condition[i], c.listed[i] = row.Condition, cmp.Or(max(row.Weight, 0), 1)
	}
	c.changed = !c.site.Sliced
	c.sendUrgent()
}

func (c *Conductor) addNode(row Row) int {
	i := len(c.node)
	if n := len(c.spare); n > 0 {
		i, c.spare = c.spare[n-1], c.spare[:n-1]
	} else {
		c.node, c.kind, c.pool = append(c.node, 0), append(c.kind, 0), append(c.pool, 0)
		c.condition, c.health = append(c.condition, Gone), append(c.health, healthy)
		for _, figure := range []*[]float64{&c.listed, &c.started, &c.since, &c.done, &c.busy,
			&c.quick, &c.queue, &c.use, &c.ended, &c.lost, &c.spent} {
			*figure = append(*figure, 0)
		}
		for t := range c.sent {
			c.sent[t], c.want[t] = append(c.sent[t], 0), append(c.want[t], 0)
		}
	}
	c.index[row.Node] = i
	c.node[i], c.kind[i], c.condition[i], c.health[i] = row.Node, row.Kind, Ready, healthy
	c.pool[i] = (row.Zone + c.site.Zones*c.nodesDealt[row.Zone]) % len(c.want)
	c.nodesDealt[row.Zone]++
	c.started[i], c.since[i] = -1, 0
	return i
}

// Forget guards against memory and work that grow with each release: a node that is gone for good gives its
// place back. It tells whether it could: not while a table has its line.
func (c *Conductor) Forget(node uint32) bool {
	i, known := c.index[node]
	if !known {
		return true
	}
	for t := range c.sent {
		if c.condition[i] != Gone || c.sent[t][i] > 0 {
			return false
		}
		c.want[t][i] = 0
	}
	c.forget(i)
	delete(c.index, node)
	c.spare = append(c.spare, i)
	return true
}

// ListFailed says that asking for the list failed or that the subscription broke.
func (c *Conductor) ListFailed(now float64) {
	c.now = now
	if c.site.MustAsk && !c.site.Sliced && math.IsInf(c.askAt, 1) {
		// Waits grow and are spread by chance: the service is one for all and turns crowds away.
		c.askAt = now + min(askFirst*math.Exp2(c.askTries), c.site.AskWithin/4)*(0.5+c.chance())
		c.askTries++
	}
}
