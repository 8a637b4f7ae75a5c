package records

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
)

// TestStoreAgreesWithModel applies random transactions to a store and to the model. Both must reject the same
// transactions for the same reason, and all reads of the store must agree with the model.
func TestStoreAgreesWithModel(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		store, plain := NewStore(), newModel()
		store.history.maxBytes = 1500 // low enough that changes are dropped in this test
		for revision := uint64(3); revision < 600; revision += 1 + uint64(random.IntN(3)) {
			transaction := randomTransaction(random, plain.last())
			want := plain.apply(revision, transaction)
			change, err := store.Apply(revision, transaction)
			if got := errorKind(err); got != want {
				t.Fatalf("seed %d, revision %d: got error kind %q (%v), want %q; transaction %+v", seed, revision, got, err, want, transaction)
			}
			outcomes[want]++
			if want == "" {
				previous := plain.states[len(plain.states)-2]
				if a, b := describeUpdates(change.Updates), describeUpdates(updatesBetween(previous, plain.last(), Scope{All: true})); !slices.Equal(a, b) {
					t.Fatalf("seed %d, revision %d: got change %q, want %q", seed, revision, a, b)
				}
			}
			compareReadings(t, random, store, plain)
			if random.IntN(10) == 0 {
				compareSnapshot(t, store)
			}
			if t.Failed() {
				t.Fatalf("failed with seed %d at revision %d", seed, revision)
			}
		}
	}
	for _, outcome := range []string{"", "invalid", "conflict", "check"} {
		if outcomes[outcome] < 500 {
			t.Errorf("outcome %q: got %d transactions, want at least 500", outcome, outcomes[outcome])
		}
	}
}

func compareReadings(t *testing.T, random *rand.Rand, store *Store, plain *model) {
	t.Helper()
	scope := randomScope(random)
	view := store.InScope(scope)
	if a, b := describeAll(view.Records), describeAll(recordsInScope(plain.last(), scope)); !slices.Equal(a, b) {
		t.Errorf("records in scope %+v: got %q, want %q", scope, a, b)
	}
	newest := plain.revisions[len(plain.revisions)-1]
	if view.Revision != newest || store.Revision() != newest {
		t.Errorf("revisions of view and store: got %d and %d, want %d", view.Revision, store.Revision(), newest)
	}
	from := uint64(random.IntN(int(newest) + 3))
	delta := store.Since(from, scope)
	if want := from >= store.history.compactRevision; delta.Available != want || delta.Revision != newest {
		t.Errorf("changes since %d: got available %v as of revision %d, want %v as of %d", from, delta.Available, delta.Revision, want, newest)
	}
	if want := plain.routing(scope); view.RoutingRevision != want || delta.RoutingRevision != want {
		t.Errorf("routing revisions of %+v in view and in delta since %d: got %d and %d, want %d", scope, from, view.RoutingRevision, delta.RoutingRevision, want)
	}
	if a, b := describeUpdates(delta.Updates), describeUpdates(updatesBetween(plain.at(from), plain.last(), scope)); delta.Available && !slices.Equal(a, b) {
		t.Errorf("updates since %d in scope %+v: got %q, want %q", from, scope, a, b)
	}
	old, retained := store.At(from)
	if want := from >= store.history.compactRevision && from <= newest; retained != want {
		t.Errorf("records at %d: got retained %v, want %v", from, retained, want)
	}
	if a, b := describeAll(old), describeAll(recordsInScope(plain.at(from), Scope{All: true})); retained && !slices.Equal(a, b) {
		t.Errorf("records at %d: got %q, want %q", from, a, b)
	}
}

// compareSnapshot compares the snapshot of a store, which sorts only the records added since the last one, with that of
// a restored store. Restore also checks the order.
func compareSnapshot(t *testing.T, store *Store) {
	t.Helper()
	snapshot, again := store.Snapshot(), NewStore()
	if err := again.Restore(snapshot); err != nil {
		t.Error(err)
		return
	}
	if !slices.Equal(snapshot, again.Snapshot()) {
		t.Error("the snapshot of the restored store differs from the original")
	}
	a, b := store.InScope(Scope{All: true}), again.InScope(Scope{All: true})
	if a.RoutingRevision != b.RoutingRevision {
		t.Errorf("routing revision of the restored store: got %d, want %d", b.RoutingRevision, a.RoutingRevision)
	}
	if one, other := describeAll(a.Records), describeAll(b.Records); !slices.Equal(one, other) {
		t.Errorf("records of the restored store: got %q, want %q", other, one)
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
