package planner

import (
	"cmp"
	"math"
	"slices"
)

const (
	// publishIntervalSeconds is the time in s between two publications of ordinary table changes, and the maximum time
	// for which a stage waits for acknowledgements (docs/design.md).
	publishIntervalSeconds = 1.0
	// minWeightChangeFraction is the fraction by which a weight must change before its entry is published
	// (docs/design.md).
	minWeightChangeFraction = 0.10
	// maxMisplacedFraction is the fraction of a table's requests that may be misplaced, that is, sent to other
	// endpoints than desired, before the table is published immediately.
	maxMisplacedFraction = 0.25
)

// publication is the state of publishing the routing tables.
type publication struct {
	urgentPending   bool             // whether an urgent change is not published yet: see publishUrgent
	removalsPending bool             // whether a removal is not published yet: see publishRemovalsAndBind
	nextAt          float64          // s, when ordinary changes are next due
	nextStage       publicationStage // stage after the current one; without tables if there is none
}

// publicationStage holds the tables that are published after those of the previous stage. The tables of subsets that
// receive requests of other subsets are published first, then those of the subsets that send them ("B4 and After",
// §4.4). In the reverse order, requests would arrive at subsets that have no capacity for them yet.
type publicationStage struct {
	tables   []int
	nonce    int     // of the last batch of the previous stage
	deadline float64 // s, when this stage is published without waiting any longer
}

// publishUrgent immediately publishes urgent changes in this order: entries of endpoints that drain or were removed and
// tables for proxies that joined (see publishRemovalsAndBind), admission levels, and tables that deviate far from the
// desired ones (see urgentEntries). It runs at each step and with each change of the endpoint list. Changes that do not
// fit into the channel are due again at the next step.
func (p *Planner) publishUrgent() {
	if !p.publication.urgentPending {
		p.bindWaiting()
		p.publishLevels()
		return
	}
	p.planTables()
	allPublished := p.publishRemovalsAndBind()
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

// urgentEntries returns the changed entries of a table that deviates far from the desired one: none of its published
// entries is retained, more than maxMisplacedFraction of its requests are misplaced, or it overloads an endpoint. For
// any other table it returns nil.
func (p *Planner) urgentEntries(table *routingTable) []int {
	misplacedFraction, retainedWeight := table.misplaced()
	warmingUp := func(i int) bool { return p.slowStart.warmingUp(p.now, p.endpoints.all[i].startTime) }
	if retainedWeight == 0 || misplacedFraction > maxMisplacedFraction || table.overloads(retainedWeight, warmingUp) {
		return table.changedEntries(minWeightChangeFraction)
	}
	return nil
}

// misplacedRequests returns the rate, in requests a second, at which a subset's members send requests to other
// endpoints than desired. It is +Inf if there are members and no published entry of their table is retained.
func (p *Planner) misplacedRequests(s *subset) float64 {
	misplacedFraction, retainedWeight := s.table.misplaced()
	if retainedWeight == 0 && len(s.members) > 0 {
		return math.Inf(1)
	}
	return misplacedFraction * s.demand
}

// publishAll publishes entries by table, in descending order of misplaced requests per entry in flight: otherwise a
// small table that is entirely wrong would wait behind large ones that deviate slightly. If a table does not fit, all
// later ones wait as well: otherwise small changes would always be sent before large ones, and a subset that lost most
// of its endpoints would continue to send all requests to the remaining ones. It reports whether all were sent.
func (p *Planner) publishAll(entries [][]int, fraction float64) bool {
	var tables []int
	urgency := make([]float64, len(entries)) // by table, misplaced requests a second per entry in flight
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

// publishOrdinary publishes table changes that are not urgent, in two stages.
func (p *Planner) publishOrdinary() {
	if len(p.publication.nextStage.tables) > 0 {
		p.publishNextStage()
		return
	}
	if p.now < p.publication.nextAt || len(p.proxies.bindQueue) > 0 || !p.flow.idle() {
		return
	}
	p.planTables()
	first, second := p.stages()
	if len(first) > 0 {
		p.publication.nextAt = p.now + publishIntervalSeconds
		p.publishAll(p.changedByTable(first), ordinaryQueueFraction)
	}
	p.publication.nextStage = publicationStage{
		tables:   second,
		nonce:    p.flow.account.nonces,
		deadline: p.now + publishIntervalSeconds,
	}
}

// publishNextStage publishes the next stage once half of the messages of the previous one are acknowledged or the
// deadline has passed.
func (p *Planner) publishNextStage() {
	nextStage := &p.publication.nextStage
	remaining, messages := p.flow.account.unacknowledged(nextStage.nonce)
	if 2*remaining <= messages || p.now >= nextStage.deadline {
		p.publishAll(p.changedByTable(nextStage.tables), ordinaryQueueFraction)
		nextStage.tables = nil
	}
}

// stages splits the changed tables into two stages. Tables that keep all requests in their subset are in the first
// stage, and tables that send some to other subsets are in the second. If all of them send some, they form the first.
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

// spills reports whether a subset's table sends requests to endpoints of other subsets.
func (p *Planner) spills(subset int) bool {
	for i, weight := range p.subsets[subset].table.desired {
		if weight > 0 && p.endpoints.all[i].subset != subset {
			return true
		}
	}
	return false
}

// changedByTable returns the changed entries of the given tables, by table.
func (p *Planner) changedByTable(tables []int) [][]int {
	entries := make([][]int, len(p.subsets))
	for _, k := range tables {
		entries[k] = p.subsets[k].table.changedEntries(minWeightChangeFraction)
	}
	return entries
}

// publish sends entries of a subset's table to its members, as far as flow control permits, and reports whether all
// were sent. Entries that are not urgent are sent together, or as many as fit into an idle queue: each message adds an
// overhead, and if entries were sent one by one, most of the channel's rate would be spent on overhead.
func (p *Planner) publish(subset int, entries []int, fraction float64) bool {
	if len(entries) == 0 {
		return true
	}
	s := &p.subsets[subset]
	s.dropOldMessages(p.now, p.config.MessageWindow)
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
