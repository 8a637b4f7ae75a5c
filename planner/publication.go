package planner

import (
	"cmp"
	"math"
	"slices"
)

const (
	// publishIntervalSeconds is the time in s between two ordinary changes of tables, and the longest that a stage
	// waits for acknowledgements (docs/design.md).
	publishIntervalSeconds = 1.0
	// minWeightChangeFraction is the part of a weight that has to change before its entry is published
	// (docs/design.md).
	minWeightChangeFraction = 0.10
	// maxMisplacedFraction is the part of a table's requests that may go elsewhere than desired before it is
	// published at once.
	maxMisplacedFraction = 0.25
)

// publication is the state of the routing tables on their way to the proxies.
type publication struct {
	urgentPending bool             // whether a change that cannot wait is not published yet: see publishUrgent
	nextAt        float64          // s, when ordinary changes are due
	next          publicationStage // that follows the one under way; without tables if there is none
}

// publicationStage is tables that wait for those of the stage before. Tables that receive requests of other subsets are
// published first, then those that send them ("B4 and After", §4.4): the other way round, requests would come to
// subsets that have no capacity for them yet.
type publicationStage struct {
	tables   []int
	nonce    int     // of the stage before
	deadline float64 // s, when this one is published in any case
}

// publishUrgent publishes at once what cannot wait, in this order: entries of endpoints that drain or were removed;
// tables for proxies that joined; admission levels; tables that are far off (see urgentEntries). It runs at each step and
// with each change of the endpoint list. What does not fit into the channel is due again at the next step.
func (p *Planner) publishUrgent() {
	if !p.publication.urgentPending {
		p.bindWaiting()
		p.publishLevels()
		return
	}
	p.planTables()
	allPublished := p.publishRemovals()
	p.bindWaiting()
	if p.publishLevels() {
		urgent := make([][]int, len(p.subsets))
		for k := range p.subsets {
			urgent[k] = p.urgentEntries(&p.subsets[k].table)
		}
		if !p.publishAll(urgent, bindQueueFraction) {
			allPublished = false
		}
	} else {
		allPublished = false
	}
	p.publication.urgentPending = !allPublished
}

// publishRemovals publishes the entries of endpoints that drain or were removed. It reports whether all were sent.
func (p *Planner) publishRemovals() bool {
	allPublished := true
	for k := range p.subsets {
		removals := slices.DeleteFunc(p.subsets[k].table.changedEntries(0), func(i int) bool {
			return p.endpoints.all[i].state == Ready
		})
		if !p.publish(k, removals, urgentQueueFraction) {
			allPublished = false
		}
	}
	return allPublished
}

// urgentEntries lists what has changed of a table that is far off: it leads nowhere, too many requests go elsewhere
// than desired, or it overloads an endpoint. Of other tables it lists nothing.
func (p *Planner) urgentEntries(table *routingTable) []int {
	part, staying := table.misplaced()
	warmingUp := func(i int) bool { return p.slowStart.warmingUp(p.now, p.endpoints.all[i].startTime) }
	if staying == 0 || part > maxMisplacedFraction || table.overloads(staying, warmingUp) {
		return table.changedEntries(minWeightChangeFraction)
	}
	return nil
}

// misplacedRequests returns the requests a second of a subset's members that go elsewhere than desired, +Inf if
// members have no entry that stays.
func (p *Planner) misplacedRequests(s *subset) float64 {
	part, staying := s.table.misplaced()
	if staying == 0 && len(s.members) > 0 {
		return math.Inf(1)
	}
	return part * s.demand
}

// publishAll publishes entries by table, the table with most misplaced requests for each entry first: else a small
// table that is all wrong would wait behind large ones that are a little off. If a table does not fit, all that follow
// wait with it: small changes would always fit before large ones, and a subset that lost most of its endpoints
// would go on sending all requests to those that are left. It reports whether all were sent.
func (p *Planner) publishAll(entries [][]int, fraction float64) bool {
	var tables []int
	urgency := make([]float64, len(entries)) // by table, misplaced requests for each entry in flight
	for k := range entries {
		if len(entries[k]) == 0 {
			continue
		}
		tables = append(tables, k)
		s := &p.subsets[k]
		cost := p.flow.account.cost(p.now, s.members, float64(len(entries[k])))
		urgency[k] = p.misplacedRequests(s) / (cost + 1)
	}
	slices.SortStableFunc(tables, func(k, j int) int { return cmp.Compare(urgency[j], urgency[k]) })
	for _, k := range tables {
		if !p.publish(k, entries[k], fraction) {
			return false
		}
	}
	return true
}

// publishOrdinary publishes tables that may wait, in two stages.
func (p *Planner) publishOrdinary() {
	if len(p.publication.next.tables) > 0 {
		p.publishNextStage()
		return
	}
	if p.now < p.publication.nextAt || len(p.proxies.unbound) > 0 || !p.flow.idle() {
		return
	}
	p.planTables()
	first, second := p.stages()
	if len(first) > 0 {
		p.publication.nextAt = p.now + publishIntervalSeconds
		p.publishAll(p.changedByTable(first), ordinaryQueueFraction)
	}
	p.publication.next = publicationStage{
		tables:   second,
		nonce:    p.flow.account.nonces,
		deadline: p.now + publishIntervalSeconds,
	}
}

// publishNextStage publishes the stage that waits, when half of the messages of the one before are acknowledged.
func (p *Planner) publishNextStage() {
	next := &p.publication.next
	open, messages := p.flow.account.unacknowledged(next.nonce)
	if 2*open <= messages || p.now >= next.deadline {
		p.publishAll(p.changedByTable(next.tables), ordinaryQueueFraction)
		next.tables = nil
	}
}

// stages splits the tables that changed: those that keep requests in their subset first, those that send some to others
// second. If there are none of the first kind, the others are first.
func (p *Planner) stages() (first, second []int) {
	for k := range p.subsets {
		if len(p.subsets[k].table.changedEntries(minWeightChangeFraction)) == 0 {
			continue
		}
		if p.spills(k) {
			second = append(second, k)
		} else {
			first = append(first, k)
		}
	}
	if len(first) == 0 {
		return second, nil
	}
	return first, second
}

// spills reports whether a table sends requests to endpoints of other subsets.
func (p *Planner) spills(subset int) bool {
	for i, weight := range p.subsets[subset].table.desired {
		if weight > 0 && p.endpoints.all[i].subset != subset {
			return true
		}
	}
	return false
}

// changedByTable lists, by table, the entries of some tables that have changed.
func (p *Planner) changedByTable(tables []int) [][]int {
	entries := make([][]int, len(p.subsets))
	for _, k := range tables {
		entries[k] = p.subsets[k].table.changedEntries(minWeightChangeFraction)
	}
	return entries
}

// publish sends entries of a table to its members, as far as flow control lets it, and reports whether all were sent.
// Entries that are not urgent go together, or as many as fit into an idle queue: a message costs entries of its own,
// and one by one most of the channel would carry nothing else.
func (p *Planner) publish(subset int, entries []int, fraction float64) bool {
	if len(entries) == 0 {
		return true
	}
	s := &p.subsets[subset]
	s.forgetOldMessages(p.now, p.config.MessageWindow)
	count := len(entries)
	for count > 0 && !p.flow.mayPublish(p.now, s, float64(count), fraction) {
		count--
		if fraction < urgentQueueFraction && !p.flow.idle() {
			return false
		}
	}
	scale := s.table.scale()
	for _, i := range entries[:count] {
		weight := s.table.desired[i] * scale
		s.table.published[i] = weight
		p.host.SetWeight(subset, p.endpoints.all[i].node, weight)
		p.reserveEntry(subset)
	}
	return count == len(entries)
}
