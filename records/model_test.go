package records

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
)

// TestStoreAgreesWithModel plays random transactions on a store and on the model: the same are rejected for the same
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
		t.Errorf("since %d: available %v as of %d, compact revision %d, newest %d", from, delta.Available, delta.Revision, store.history.compactRevision, newest)
	}
	if want := plain.routing(scope); view.RoutingRevision != want || delta.RoutingRevision != want {
		t.Errorf("routes of %+v changed at revision %d, since %d at %d, want %d", scope, view.RoutingRevision, from, delta.RoutingRevision, want)
	}
	if a, b := describeUpdates(delta.Updates), describeUpdates(updatesBetween(plain.at(from), plain.last(), scope)); delta.Available && !slices.Equal(a, b) {
		t.Errorf("since %d in %+v: %q, want %q", from, scope, a, b)
	}
	old, retained := store.At(from)
	if want := from >= store.history.compactRevision && from <= newest; retained != want {
		t.Errorf("at %d: retained %v", from, retained)
	}
	if a, b := describeAll(old), describeAll(recordsInScope(plain.at(from), Scope{All: true})); retained && !slices.Equal(a, b) {
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
