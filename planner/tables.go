package planner

import (
	"cmp"
	"math"
	"slices"
)

// The tables: as wanted, as sent, and when what moved goes out.
const (
	paceEvery    = 1.0  // s between two changes of a table, and that a step waits for acknowledgements (design page)
	minMove      = 0.10 // part of a weight that must move before lines go out (design page)
	lendPart     = 0.50 // most part of a node that other pools' calls take, unless they need more of its pool
	maxMisplaced = 0.25 // part of a table's calls that may go elsewhere than wanted before it is set anew at once
)

// plan water-fills the pools' traffic over the pools' room and lays the wanted tables out.
func (c *Planner) plan() {
	n := len(c.want)
	room, poolRoom, total := make([]float64, len(c.node)), make([]float64, n), 0.0
	for i := range c.node {
		room[i] = c.room(i)
		poolRoom[c.pool[i]] += room[i]
		total += room[i]
	}
	given := c.fill(c.shares(poolRoom), poolRoom)
	// What a pool lends to others takes few nodes, from the end of the list: each line costs one at every proxy.
	// But it takes no whole ones: should the others be lost, the pool's own proxies still hold all its nodes.
	taker, part := make([]int, n), make([]float64, n)
	for z, room := range poolRoom {
		part[z] = max(lendPart, 1-given[z*n+z]/max(room, 1e-9))
		clear(c.want[z])
	}
	for i := len(c.node) - 1; i >= 0; i-- {
		z, own := c.pool[i], room[i]
		for lend := part[z] * room[i]; lend > 0 && taker[z] < n-1; {
			from := (z + 1 + taker[z]) % n
			if given[from*n+z] < minMove*room[i] {
				taker[z]++ // less is not worth a line
				continue
			}
			take := min(lend, given[from*n+z])
			c.want[from][i] += take
			given[from*n+z] -= take
			own, lend = own-take, lend-take
		}
		if given[z*n+z] > 0 {
			c.want[z][i] = own
		}
	}
	for z, want := range c.want {
		whole := sum(want)
		for i := range want {
			if whole > 0 {
				want[i] /= whole
			} else if total == 0 && c.condition[i] == Ready {
				want[i] = c.sent[z][i] // no capacity: the last tables stay, but for what must go
			} else if c.pool[i] == z || poolRoom[z] == 0 {
				// No allocation: its own nodes, or where it has none, all: a proxy that joins must find a line.
				want[i] = room[i] / max(total, 1e-9)
			}
		}
	}
}

// sendUrgent sends at once what cannot wait for step and pace: lines to nodes that drain or are gone, then tables
// for proxies that joined, then levels, then what moved of tables with a line to a sick node, or to a cold
// one that gets twice its part since others went, and of those that are a quarter off or have no line.
func (c *Planner) sendUrgent() {
	if !c.changed {
		c.bindWaiting()
		c.sendLevels()
		return
	}
	c.changed = false
	c.plan()
	for t := range c.sent {
		gone := slices.DeleteFunc(c.movedLines(t, 0), func(i int) bool { return c.condition[i] == Ready })
		c.changed = !c.push(t, gone, queueFull) || c.changed
	}
	c.bindWaiting()
	if !c.sendLevels() {
		c.changed = true
		return
	}
	urgent := make([][]int, len(c.sent))
	for t := range c.sent {
		_, urgent[t] = c.misplaced(t)
	}
	c.changed = !c.pushAll(urgent, bindPart) || c.changed
}

// misplaced tells how many of a table's calls go elsewhere than wanted, and the lines that cannot wait.
func (c *Planner) misplaced(t int) (calls float64, urgent []int) {
	rest, part := 0.0, 0.0
	for i, weight := range c.sent[t] {
		if c.want[t][i] > 0 {
			rest += weight
		}
	}
	for i, weight := range c.sent[t] {
		want := c.want[t][i]
		part += math.Abs(want-weight/max(rest, 1e-9)) / 2
		if weight > 0 && (want == 0 || c.warmth(i) < 1 && 2*want*rest <= weight) {
			urgent = append(urgent, i)
		}
	}
	if rest == 0 || part > maxMisplaced || len(urgent) > 0 {
		urgent = c.movedLines(t, minMove)
	}
	if rest == 0 && len(c.members[t]) > 0 {
		return math.Inf(1), urgent // its proxies have no node to pick
	}
	return part * c.poolCalls[t], urgent
}

// pushAll sends lines by table, the one with most calls off for each line first: else a small pool's, all of
// it wrong, would wait behind large ones that are a little off. If they do not fit, all wait: what is small
// would always find room before them, and a pool's calls went to the one node that it had left.
func (c *Planner) pushAll(lines [][]int, queue float64) bool {
	var tables []int
	off := make([]float64, len(lines))
	for t := range lines {
		if len(lines[t]) > 0 {
			tables = append(tables, t)
			off[t], _ = c.misplaced(t)
			off[t] /= c.channel.cost(c.now, c.members[t], float64(len(lines[t]))) + 1
		}
	}
	slices.SortStableFunc(tables, func(t, u int) int { return cmp.Compare(off[u], off[t]) })
	for _, t := range tables {
		if !c.push(t, lines[t], queue) {
			return false
		}
	}
	return true
}

// sendOrdinary sends the tables that moved: pools that receive first, then pools that send to others.
func (c *Planner) sendOrdinary() {
	if len(c.nextTables) > 0 {
		if open, messages := c.channel.unsettled(c.stepNonce); 2*open <= messages || c.now >= c.stepUntil {
			c.pushAll(c.movedByTable(c.nextTables), queuePart)
			c.nextTables = nil
		}
		return
	}
	if c.now < c.planAt || len(c.unbound) > 0 || c.free(idlePart) <= 0 {
		return
	}
	c.plan()
	var first, then []int
	for t, want := range c.want {
		sends := false
		for i, weight := range want {
			sends = sends || weight > 0 && c.pool[i] != t
		}
		if moved := len(c.movedLines(t, minMove)) > 0; moved && sends {
			then = append(then, t)
		} else if moved {
			first = append(first, t)
		}
	}
	if len(first) == 0 {
		first, then = then, nil
	}
	if len(first) > 0 {
		c.planAt = c.now + paceEvery
		c.pushAll(c.movedByTable(first), queuePart)
	}
	c.nextTables, c.stepNonce, c.stepUntil = then, c.channel.nonces, c.now+paceEvery
}

// scale turns wanted weights into those of a table as sent, by their median ratio: weights only count beside
// each other, so that a line that goes or turns cold moves no other.
func (c *Planner) scale(t int) float64 {
	want, sent, half := c.want[t], c.sent[t], 0.0
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

// movedLines lists a table's lines that are off by more than a part, the one that moves most calls first.
func (c *Planner) movedLines(t int, part float64) (lines []int) {
	scale := c.scale(t)
	by := func(i int) float64 { return math.Abs(c.want[t][i]*scale - c.sent[t][i]) }
	for i, want := range c.want[t] {
		if by(i) > part*max(want*scale, c.sent[t][i]) {
			lines = append(lines, i)
		}
	}
	slices.SortStableFunc(lines, func(i, j int) int { return cmp.Compare(by(j), by(i)) })
	return lines
}

// movedByTable lists, by table, what moved of some tables by a tenth.
func (c *Planner) movedByTable(tables []int) [][]int {
	lines := make([][]int, len(c.want))
	for _, t := range tables {
		lines[t] = c.movedLines(t, minMove)
	}
	return lines
}

// push sends lines of a table and tells whether all went out. Those that may wait go together, or as many as
// fit into an empty channel: a message costs lines of its own, and sent one by one, half of a fleet's new
// nodes were on no table for 10 s.
func (c *Planner) push(t int, lines []int, queue float64) bool {
	scale, n := c.scale(t), len(lines)
	for n > 0 && !c.mayWrite(t, float64(n), queue) {
		if n--; queue < queueFull && c.free(idlePart) <= 0 {
			return false
		}
	}
	for _, i := range lines[:n] {
		c.sent[t][i] = c.want[t][i] * scale
		c.host.SetWeight(t, c.node[i], c.sent[t][i])
		c.write(t)
	}
	return n == len(lines)
}
