package planner

import (
	"cmp"
	"math"
	"slices"
)

// The tables: as wanted, as sent, and when what moved goes out.
const (
	publishInterval  = 1.0  // s between two changes of a table, and that a step waits for acknowledgements (design page)
	minWeightChange  = 0.10 // part of a weight that must move before lines go out (design page)
	maxSpillFraction = 0.50 // most part of a node that other pools' calls take, unless they need more of its pool
	maxMisplaced     = 0.25 // part of a table's calls that may go elsewhere than wanted before it is set anew at once
)

// planTables sets the desired weights of all tables: it allocates the subsets' demand to their capacity and lays out
// what each is granted.
func (c *Planner) planTables() {
	capacity := make([]float64, len(c.endpoints.all)) // by endpoint
	loads := make([]subsetLoad, len(c.subsets))
	for z := range loads {
		loads[z].zone = z % c.config.Zones
		loads[z].demand = c.subsets[z].demand
	}
	total := 0.0
	for i := range capacity {
		capacity[i] = c.capacity(i)
		loads[c.endpoints.all[i].subset].capacity += capacity[i]
		total += capacity[i]
	}
	c.addUnseenDemand(loads)
	granted := allocate(loads, c.config.Zones, c.localZoneOnly)
	c.layOutTables(capacity, loads, &granted)
	c.normalizeTables(capacity, loads, total)
}

// layOutTables turns what subsets are granted into capacity by endpoint. What a subset grants to others takes few of
// its endpoints, from the end of the list: an entry costs one at every proxy of the table. But it takes none whole: if
// the other subsets are lost, the subset's own members still have entries for all its endpoints.
func (c *Planner) layOutTables(capacity []float64, loads []subsetLoad, granted *allocation) {
	n := len(c.subsets)
	maxSpill := make([]float64, n) // by subset, the part of an endpoint that others may take
	for z := range c.subsets {
		maxSpill[z] = max(maxSpillFraction, 1-granted.get(z, z)/max(loads[z].capacity, 1e-9))
		clear(c.subsets[z].desired)
	}
	borrower := make([]int, n) // by subset, how many of the subsets that follow it have what they were granted
	for i := len(capacity) - 1; i >= 0; i-- {
		z := c.endpoints.all[i].subset
		own := capacity[i]
		spill := maxSpill[z] * capacity[i]
		for spill > 0 && borrower[z] < n-1 {
			from := (z + 1 + borrower[z]) % n
			rest := granted.get(from, z)
			if rest < minWeightChange*capacity[i] {
				borrower[z]++ // less is not worth an entry
				continue
			}
			taken := min(spill, rest)
			c.subsets[from].desired[i] += taken
			granted.take(from, z, taken)
			own -= taken
			spill -= taken
		}
		if granted.get(z, z) > 0 {
			c.subsets[z].desired[i] = own
		}
	}
}

// normalizeTables makes each table's weights add up to 1, and fills the tables that were granted nothing.
func (c *Planner) normalizeTables(capacity []float64, loads []subsetLoad, totalCapacity float64) {
	for z := range c.subsets {
		s := &c.subsets[z]
		whole := sum(s.desired)
		for i := range s.desired {
			switch {
			case whole > 0:
				s.desired[i] /= whole
			case totalCapacity == 0 && c.endpoints.all[i].state == Ready:
				// No endpoint has capacity: the published table stays but for endpoints that drain or were removed.
				s.desired[i] = s.published[i]
			case c.endpoints.all[i].subset == z || loads[z].capacity == 0:
				// Its own endpoints, or all where it has none: a proxy that joins must find an entry.
				s.desired[i] = capacity[i] / max(totalCapacity, 1e-9)
			}
		}
	}
}

// publishUrgent sends at once what cannot wait for step and pace: lines to nodes that drain or are gone, then tables
// for proxies that joined, then levels, then what moved of tables with a line to a sick node, or to a cold
// one that gets twice its part since others went, and of those that are a quarter off or have no line.
func (c *Planner) publishUrgent() {
	if !c.tablesOutdated {
		c.bindWaiting()
		c.publishLevels()
		return
	}
	c.tablesOutdated = false
	c.planTables()
	for t := range c.subsets {
		gone := slices.DeleteFunc(c.changedEntries(t, 0), func(i int) bool { return c.endpoints.all[i].state == Ready })
		c.tablesOutdated = !c.publish(t, gone, urgentShare) || c.tablesOutdated
	}
	c.bindWaiting()
	if !c.publishLevels() {
		c.tablesOutdated = true
		return
	}
	urgent := make([][]int, len(c.subsets))
	for t := range c.subsets {
		_, urgent[t] = c.misplaced(t)
	}
	c.tablesOutdated = !c.publishAll(urgent, bindShare) || c.tablesOutdated
}

// misplaced tells how many of a table's calls go elsewhere than wanted, and the lines that cannot wait.
func (c *Planner) misplaced(t int) (calls float64, urgent []int) {
	rest, part := 0.0, 0.0
	for i, weight := range c.subsets[t].published {
		if c.subsets[t].desired[i] > 0 {
			rest += weight
		}
	}
	for i, weight := range c.subsets[t].published {
		want := c.subsets[t].desired[i]
		part += math.Abs(want-weight/max(rest, 1e-9)) / 2
		if weight > 0 && (want == 0 || c.slowStartFraction(i) < 1 && 2*want*rest <= weight) {
			urgent = append(urgent, i)
		}
	}
	if rest == 0 || part > maxMisplaced || len(urgent) > 0 {
		urgent = c.changedEntries(t, minWeightChange)
	}
	if rest == 0 && len(c.subsets[t].members) > 0 {
		return math.Inf(1), urgent // its proxies have no node to pick
	}
	return part * c.subsets[t].demand, urgent
}

// publishAll sends lines by table, the one with most calls off for each line first: else a small pool's, all of
// it wrong, would wait behind large ones that are a little off. If they do not fit, all wait: what is small
// would always find room before them, and a pool's calls went to the one node that it had left.
func (c *Planner) publishAll(lines [][]int, queue float64) bool {
	var tables []int
	off := make([]float64, len(lines))
	for t := range lines {
		if len(lines[t]) > 0 {
			tables = append(tables, t)
			off[t], _ = c.misplaced(t)
			off[t] /= c.flow.account.cost(c.now, c.subsets[t].members, float64(len(lines[t]))) + 1
		}
	}
	slices.SortStableFunc(tables, func(t, u int) int { return cmp.Compare(off[u], off[t]) })
	for _, t := range tables {
		if !c.publish(t, lines[t], queue) {
			return false
		}
	}
	return true
}

// publishOrdinary sends the tables that moved: pools that receive first, then pools that send to others.
func (c *Planner) publishOrdinary() {
	if len(c.nextStage) > 0 {
		if open, messages := c.flow.account.unacknowledged(c.stageNonce); 2*open <= messages || c.now >= c.stageDeadline {
			c.publishAll(c.changedByTable(c.nextStage), ordinaryShare)
			c.nextStage = nil
		}
		return
	}
	if c.now < c.nextPublication || len(c.proxies.unbound) > 0 || !c.flow.idle() {
		return
	}
	c.planTables()
	var first, then []int
	for t := range c.subsets {
		want := c.subsets[t].desired
		sends := false
		for i, weight := range want {
			sends = sends || weight > 0 && c.endpoints.all[i].subset != t
		}
		if moved := len(c.changedEntries(t, minWeightChange)) > 0; moved && sends {
			then = append(then, t)
		} else if moved {
			first = append(first, t)
		}
	}
	if len(first) == 0 {
		first, then = then, nil
	}
	if len(first) > 0 {
		c.nextPublication = c.now + publishInterval
		c.publishAll(c.changedByTable(first), ordinaryShare)
	}
	c.nextStage, c.stageNonce, c.stageDeadline = then, c.flow.account.nonces, c.now+publishInterval
}

// publishedScale turns wanted weights into those of a table as sent, by their median ratio: weights only count beside
// each other, so that a line that goes or turns cold moves no other.
func (c *Planner) publishedScale(t int) float64 {
	want, sent, half := c.subsets[t].desired, c.subsets[t].published, 0.0
	var kept []int
	for i, weight := range want {
		if weight > 0 && sent[i] > 0 {
			kept = append(kept, i)
			half += weight / 2
		}
	}
	slices.SortFunc(kept, func(i, j int) int { return cmp.Compare(sent[i]/want[i], sent[j]/want[j]) })
	for _, i := range kept {
		if half -= want[i]; half <= 0 {
			return sent[i] / want[i]
		}
	}
	return 1
}

// changedEntries lists a table's lines that are off by more than a part, the one that moves most calls first.
func (c *Planner) changedEntries(t int, part float64) (lines []int) {
	scale := c.publishedScale(t)
	by := func(i int) float64 { return math.Abs(c.subsets[t].desired[i]*scale - c.subsets[t].published[i]) }
	for i, want := range c.subsets[t].desired {
		if by(i) > part*max(want*scale, c.subsets[t].published[i]) {
			lines = append(lines, i)
		}
	}
	slices.SortStableFunc(lines, func(i, j int) int { return cmp.Compare(by(j), by(i)) })
	return lines
}

// changedByTable lists, by table, what moved of some tables by a tenth.
func (c *Planner) changedByTable(tables []int) [][]int {
	lines := make([][]int, len(c.subsets))
	for _, t := range tables {
		lines[t] = c.changedEntries(t, minWeightChange)
	}
	return lines
}

// publish sends lines of a table and tells whether all went out. Those that may wait go together, or as many as
// fit into an empty channel: a message costs lines of its own, and sent one by one, half of a fleet's new
// nodes were on no table for 10 s.
func (c *Planner) publish(t int, lines []int, queue float64) bool {
	scale, n := c.publishedScale(t), len(lines)
	for n > 0 && !c.flow.mayPublish(c.now, &c.subsets[t], float64(n), queue) {
		if n--; queue < urgentShare && !c.flow.idle() {
			return false
		}
	}
	for _, i := range lines[:n] {
		c.subsets[t].published[i] = c.subsets[t].desired[i] * scale
		c.host.SetWeight(t, c.endpoints.all[i].node, c.subsets[t].published[i])
		c.reserveEntry(t)
	}
	return n == len(lines)
}
