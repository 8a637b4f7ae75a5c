package records

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// model is the plain way to do what a Store does: it keeps every state whole and checks all of it each time.
type model struct {
	revisions []uint64
	states    []map[Key]*Record // as of each revision
	routes    []Change          // the updates of routes, oldest first
}

func newModel() *model {
	return &model{revisions: []uint64{0}, states: []map[Key]*Record{{}}}
}

func (m *model) last() map[Key]*Record { return m.states[len(m.states)-1] }

// at gives the state as of a revision.
func (m *model) at(revision uint64) map[Key]*Record {
	index := 0
	for i, known := range m.revisions {
		if known <= revision {
			index = i
		}
	}
	return m.states[index]
}

// apply gives the kind of error that a transaction meets, "" if none.
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
		held := uint64(0)
		if record := m.last()[write.Key]; record != nil {
			held = record.Revision
		}
		if !write.AnyRevision && held != write.ExpectedRevision {
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
	if !keepsAllRules(m.last(), next) {
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

// routing is the naive routing revision: it looks for the last update of a route that touched a scope.
func (m *model) routing(scope Scope) uint64 {
	for _, change := range slices.Backward(m.routes) {
		if slices.ContainsFunc(change.Updates, scope.Normalized().Touches) {
			return change.Revision
		}
	}
	return 0
}

// keepsAllRules checks every rule on every record.
func keepsAllRules(before, state map[Key]*Record) bool {
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

// recordsInScope is the naive InScope of a state.
func recordsInScope(state map[Key]*Record, scope Scope) (held []*Record) {
	for _, record := range state {
		if scope.Normalized().Contains(record) {
			held = append(held, record)
		}
	}
	sortByKey(held)
	return held
}

// updatesBetween is the naive Since: it compares two whole states.
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

func describe(record *Record) string {
	if record == nil {
		return "nil"
	}
	return fmt.Sprintf("%s@%d %s %s %s", record.Key, record.Revision, record.Service, record.Zone, record.Body)
}

func describeAll(list []*Record) (lines []string) {
	for _, record := range list {
		lines = append(lines, describe(record))
	}
	return lines
}

func describeUpdates(list []Update) (lines []string) {
	for _, update := range list {
		lines = append(lines, describe(update.Before)+" -> "+describe(update.After))
	}
	return lines
}

var (
	someServices = []string{"", "s0", "s1", "s2", "s3"}
	someZones    = []string{"", "z0", "z1", "z2"}
)

// randomWrite draws from few names, so that records meet and rules are broken often.
func randomWrite(random *rand.Rand, state map[Key]*Record) Write {
	kind := kindsInOrder[random.IntN(len(kindsInOrder))]
	key := Key{Kind: kind, Name: fmt.Sprintf("%c%d", "rsto"[kind-1], random.IntN(4))}
	write := Write{Key: key, AnyRevision: random.IntN(4) == 0}
	if held := state[key]; held != nil {
		write.ExpectedRevision = held.Revision
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

func errorKind(err error) string {
	var (
		invalid  *InvalidError
		conflict *ConflictError
		check    *CheckError
	)
	switch {
	case err == nil:
		return ""
	case errors.As(err, &invalid):
		return "invalid"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &check):
		return "check"
	default:
		return err.Error()
	}
}

// randomScope draws a scope over few names.
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

// TestStoreAgreesWithModel plays random transactions on a store and on the model: the same are refused for the same
// reason, and every reading of the store is that of the model.
func TestStoreAgreesWithModel(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		store, plain := NewStore(), newModel()
		store.history.maxBytes = 1500 // so that changes are dropped in this test
		for revision := uint64(3); revision < 600; revision += 1 + uint64(random.IntN(3)) {
			transaction := randomTransaction(random, plain.last())
			want := plain.apply(revision, transaction)
			change, err := store.Apply(revision, transaction)
			if got := errorKind(err); got != want {
				t.Fatalf("seed %d, revision %d: %q (%v), the whole check says %q; %+v", seed, revision, got, err, want, transaction)
			}
			outcomes[want]++
			if want == "" {
				previous := plain.states[len(plain.states)-2]
				if a, b := describeUpdates(change.Updates), describeUpdates(updatesBetween(previous, plain.last(), Scope{All: true})); !slices.Equal(a, b) {
					t.Fatalf("seed %d, revision %d: change %q, want %q", seed, revision, a, b)
				}
			}
			compareReadings(t, random, store, plain)
			if random.IntN(10) == 0 {
				compareSnapshot(t, store)
			}
			if t.Failed() {
				t.Fatalf("seed %d, revision %d", seed, revision)
			}
		}
	}
	for _, outcome := range []string{"", "invalid", "conflict", "check"} {
		if outcomes[outcome] < 500 {
			t.Errorf("outcome %q only %d times: the draw does not try it", outcome, outcomes[outcome])
		}
	}
}

func compareReadings(t *testing.T, random *rand.Rand, store *Store, plain *model) {
	t.Helper()
	scope := randomScope(random)
	view := store.InScope(scope)
	if a, b := describeAll(view.Records), describeAll(recordsInScope(plain.last(), scope)); !slices.Equal(a, b) {
		t.Errorf("in scope %+v: %q, want %q", scope, a, b)
	}
	newest := plain.revisions[len(plain.revisions)-1]
	if view.Revision != newest || store.Revision() != newest {
		t.Errorf("revision %d and %d, want %d", view.Revision, store.Revision(), newest)
	}
	from := uint64(random.IntN(int(newest) + 3))
	delta := store.Since(from, scope)
	if want := from >= store.history.compactRevision; delta.Available != want || delta.Revision != newest {
		t.Errorf("since %d: kept %v as of %d, floor %d, newest %d", from, delta.Available, delta.Revision, store.history.compactRevision, newest)
	}
	if want := plain.routing(scope); view.RoutingRevision != want || delta.RoutingRevision != want {
		t.Errorf("routes of %+v changed at revision %d, since %d at %d, want %d", scope, view.RoutingRevision, from, delta.RoutingRevision, want)
	}
	if a, b := describeUpdates(delta.Updates), describeUpdates(updatesBetween(plain.at(from), plain.last(), scope)); delta.Available && !slices.Equal(a, b) {
		t.Errorf("since %d in %+v: %q, want %q", from, scope, a, b)
	}
	old, kept := store.At(from)
	if want := from >= store.history.compactRevision && from <= newest; kept != want {
		t.Errorf("at %d: kept %v", from, kept)
	}
	if a, b := describeAll(old), describeAll(recordsInScope(plain.at(from), Scope{All: true})); kept && !slices.Equal(a, b) {
		t.Errorf("at %d: %q, want %q", from, a, b)
	}
}

// compareSnapshot compares a store's snapshot, which sorts only what came since the last one, with that of a store that
// sorts all. Restoring checks the order too.
func compareSnapshot(t *testing.T, store *Store) {
	t.Helper()
	snapshot, again := store.Snapshot(), NewStore()
	if err := again.Restore(snapshot); err != nil {
		t.Error(err)
		return
	}
	if !slices.Equal(snapshot, again.Snapshot()) {
		t.Error("a restored store gives another snapshot")
	}
	a, b := store.InScope(Scope{All: true}), again.InScope(Scope{All: true})
	if a.RoutingRevision != b.RoutingRevision {
		t.Errorf("after a snapshot routes changed at revision %d, want %d", b.RoutingRevision, a.RoutingRevision)
	}
	if one, other := describeAll(a.Records), describeAll(b.Records); !slices.Equal(one, other) {
		t.Errorf("after a snapshot: %q, want %q", other, one)
	}
}

// TestReversalRestoresAnEarlierContent brings random states back to an earlier one: the content is that one, under a new revision.
func TestReversalRestoresAnEarlierContent(t *testing.T) {
	reversed := 0
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 2))
		store, plain := NewStore(), newModel()
		for revision := uint64(1); revision < 80; revision++ {
			transaction := randomTransaction(random, plain.last())
			if plain.apply(revision, transaction) == "" {
				if _, err := store.Apply(revision, transaction); err != nil {
					t.Fatal(err)
				}
			}
		}
		target := uint64(random.IntN(int(store.Revision())))
		if countRoutes(plain.at(target)) == 0 {
			continue // a state without a route can't come back
		}
		transaction, kept := store.Reversal(target)
		if !kept {
			t.Fatal("not kept")
		}
		if _, err := store.Apply(100, transaction); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		reversed++
		now := store.InScope(Scope{All: true}).Records
		want := recordsInScope(plain.at(target), Scope{All: true})
		if !slices.EqualFunc(now, want, (*Record).SameContent) {
			t.Fatalf("seed %d: %q, want %q", seed, describeAll(now), describeAll(want))
		}
	}
	if reversed < 10 {
		t.Errorf("only %d reversals", reversed)
	}
}

// TestRestoredStoreGoesOnAsTheOriginal plays random transactions, restores a snapshot elsewhere and goes on with both: they stay equal to
// the byte, and a reader of the restored store sees it without asking for another.
func TestRestoredStoreGoesOnAsTheOriginal(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		store, plain, other := NewStore(), newModel(), NewStore()
		store.history.maxBytes, other.history.maxBytes = 1500, 1500
		var reader Source = other
		for revision := uint64(1); revision < 200; revision++ {
			transaction := randomTransaction(random, plain.last())
			if plain.apply(revision, transaction) == "" {
				if _, err := store.Apply(revision, transaction); err != nil {
					t.Fatal(err)
				}
			}
			if revision == 100 {
				snapshot := store.Snapshot()
				if err := other.Restore(snapshot); err != nil {
					t.Fatal(err)
				}
				if !slices.Equal(other.Snapshot(), snapshot) {
					t.Fatalf("seed %d: a restored store gives another snapshot", seed)
				}
				for from := range revision + 2 {
					kept := store.Since(from, Scope{All: true}).Available
					if again := other.Since(from, Scope{All: true}).Available; kept != again {
						t.Fatalf("seed %d: changes since %d are kept: %v, restored: %v", seed, from, kept, again)
					}
				}
			} else if revision > 100 {
				other.Apply(revision, transaction)
			}
		}
		if a, b := store.Snapshot(), other.Snapshot(); !slices.Equal(a, b) {
			t.Fatalf("seed %d: the snapshots differ", seed)
		}
		if reader.Revision() != store.Revision() {
			t.Fatalf("a reader has revision %d, not %d", reader.Revision(), store.Revision())
		}
	}
}
