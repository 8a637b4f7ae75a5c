package records

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// model is a simple reference implementation of a Store: it keeps a copy of every state and checks the complete state
// after each transaction.
type model struct {
	revisions []uint64
	states    []map[Key]*Record // at the same index as their revisions
	routes    []Change          // the updates of routes in each change, oldest first
}

func newModel() *model {
	return &model{revisions: []uint64{0}, states: []map[Key]*Record{{}}}
}

func (m *model) last() map[Key]*Record { return m.states[len(m.states)-1] }

// at returns the state as of a revision.
func (m *model) at(revision uint64) map[Key]*Record {
	index := 0
	for i, known := range m.revisions {
		if known <= revision {
			index = i
		}
	}
	return m.states[index]
}

// apply applies a transaction. It returns the kind of error that rejects the transaction, or "" if it is accepted.
func (m *model) apply(revision uint64, transaction Transaction) string {
	next := map[Key]*Record{}
	for key, record := range m.last() {
		next[key] = record
	}
	for _, write := range transaction.Writes {
		if _, err := Parse(write.Key, write.Body); write.Body != nil && err != nil {
			return "invalid"
		}
	}
	for _, write := range transaction.Writes {
		actual := uint64(0)
		if record := m.last()[write.Key]; record != nil {
			actual = record.Revision
		}
		if !write.AnyRevision && actual != write.ExpectedRevision {
			return "conflict"
		}
		if write.Body == nil {
			delete(next, write.Key)
			continue
		}
		record, _ := Parse(write.Key, write.Body)
		if before := next[write.Key]; before != nil && before.SameContent(record) {
			continue
		}
		record.Revision = revision
		next[write.Key] = record
	}
	if !satisfiesAllRules(m.last(), next) {
		return "check"
	}
	m.revisions = append(m.revisions, revision)
	m.routes = append(m.routes, Change{Revision: revision, Updates: routesOf(updatesBetween(m.last(), next, Scope{All: true}))})
	m.states = append(m.states, next)
	return ""
}

func routesOf(updates []Update) []Update {
	return slices.DeleteFunc(updates, func(u Update) bool { return u.Key().Kind != KindRoute })
}

// routing returns the routing revision of a scope, found by a search for the last update of a route that touches the
// scope.
func (m *model) routing(scope Scope) uint64 {
	for _, change := range slices.Backward(m.routes) {
		if slices.ContainsFunc(change.Updates, scope.Normalized().Touches) {
			return change.Revision
		}
	}
	return 0
}

// satisfiesAllRules reports whether all records of a state satisfy all rules.
func satisfiesAllRules(before, state map[Key]*Record) bool {
	prefixes, shares := map[string]bool{}, map[string]int64{}
	for _, record := range state {
		if record.Service != "" && state[Key{KindService, record.Service}] == nil {
			return false
		}
		switch record.Kind {
		case KindRoute:
			spec, _ := record.Route()
			if prefixes[spec.Prefix] {
				return false
			}
			prefixes[spec.Prefix] = true
		case KindTenant:
			spec, _ := record.Tenant()
			shares[record.Service] += int64(spec.Share * shareUnit)
		}
	}
	for _, sum := range shares {
		if sum > shareUnit {
			return false
		}
	}
	return countRoutes(before) == 0 || countRoutes(state) > 0
}

func countRoutes(state map[Key]*Record) (count int) {
	for key := range state {
		if key.Kind == KindRoute {
			count++
		}
	}
	return count
}

// recordsInScope is the reference implementation of InScope.
func recordsInScope(state map[Key]*Record, scope Scope) (records []*Record) {
	for _, record := range state {
		if scope.Normalized().Contains(record) {
			records = append(records, record)
		}
	}
	sortByKey(records)
	return records
}

// updatesBetween is the reference implementation of Since: it compares two complete states.
func updatesBetween(from, to map[Key]*Record, scope Scope) (updates []Update) {
	keys := map[Key]bool{}
	for key := range from {
		keys[key] = true
	}
	for key := range to {
		keys[key] = true
	}
	for key := range keys {
		update := Update{Before: from[key], After: to[key]}
		same := update.Before != nil && update.After != nil && update.Before.Revision == update.After.Revision
		if !same && scope.Normalized().Touches(update) {
			updates = append(updates, update)
		}
	}
	slices.SortFunc(updates, func(a, b Update) int { return a.Key().Compare(b.Key()) })
	return updates
}

var (
	someServices = []string{"", "s0", "s1", "s2", "s3"}
	someZones    = []string{"", "z0", "z1", "z2"}
)

// randomWrite draws from few names, so that conflicts and violations are frequent.
func randomWrite(random *rand.Rand, state map[Key]*Record) Write {
	kind := kindsInOrder[random.IntN(len(kindsInOrder))]
	key := Key{Kind: kind, Name: fmt.Sprintf("%c%d", "rsto"[kind-1], random.IntN(4))}
	write := Write{Key: key, AnyRevision: random.IntN(4) == 0}
	if current := state[key]; current != nil {
		write.ExpectedRevision = current.Revision
	}
	if random.IntN(20) == 0 {
		write.ExpectedRevision += uint64(random.IntN(3))
	}
	if random.IntN(4) == 0 {
		return write
	}
	service := someServices[random.IntN(len(someServices))]
	var spec any
	switch kind {
	case KindRoute:
		spec = RouteSpec{Service: service, Prefix: fmt.Sprint("/p", random.IntN(5)), TimeLimitMS: float64(random.IntN(20))}
	case KindService:
		spec = ServiceSpec{Zones: someZones[1 : 1+random.IntN(3)]}
	case KindTenant:
		spec = TenantSpec{Service: service, Share: float64(1+random.IntN(4)) / 6}
	case KindOverride:
		spec = OverrideSpec{Service: service, Zone: someZones[random.IntN(len(someZones))], State: StateDraining}
	}
	write.Body = mustMarshal(spec)
	return write
}

func randomTransaction(random *rand.Rand, state map[Key]*Record) (transaction Transaction) {
	used := map[Key]bool{}
	for range 1 + random.IntN(4) {
		write := randomWrite(random, state)
		if !used[write.Key] {
			used[write.Key] = true
			transaction.Writes = append(transaction.Writes, write)
		}
	}
	return transaction
}

// randomScope draws a scope from few names, unsorted and with duplicates.
func randomScope(random *rand.Rand) (scope Scope) {
	scope.All = random.IntN(8) == 0
	for _, service := range someServices[1:] {
		if random.IntN(2) == 0 {
			scope.Services = append([]string{service}, scope.Services...)
		}
	}
	for _, zone := range someZones[1:] {
		if random.IntN(2) == 0 {
			scope.Zones = append(scope.Zones, zone, zone)
		}
	}
	return scope
}
