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
		store, reference := NewStore(), newModel()
		store.history.maxBytes = 1500 // low enough that changes are dropped in this test
		for revision := uint64(3); revision < 600; revision += 1 + uint64(random.IntN(3)) {
			transaction := randomTransaction(random, reference.last())
			want := reference.apply(revision, transaction)
			change, err := store.Apply(revision, transaction)
			if got := errorKind(err); got != want {
				t.Fatalf("seed %d, revision %d: got error kind %q (%v), want %q; transaction %+v", seed, revision, got, err, want, transaction)
			}
			outcomes[want]++
			if want == "" {
				previous := reference.states[len(reference.states)-2]
				if got, want := describeUpdates(change.Updates), describeUpdates(updatesBetween(previous, reference.last(), Scope{All: true})); !slices.Equal(got, want) {
					t.Fatalf("seed %d, revision %d: got change %q, want %q", seed, revision, got, want)
				}
			}
			compareReads(t, random, store, reference)
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

func compareReads(t *testing.T, random *rand.Rand, store *Store, reference *model) {
	t.Helper()
	scope := randomScope(random)
	view := store.InScope(scope)
	if got, want := describeAll(view.Records), describeAll(recordsInScope(reference.last(), scope)); !slices.Equal(got, want) {
		t.Errorf("records in scope %+v: got %q, want %q", scope, got, want)
	}
	newest := reference.revisions[len(reference.revisions)-1]
	if view.Revision != newest || store.Revision() != newest {
		t.Errorf("revisions of view and store: got %d and %d, want %d", view.Revision, store.Revision(), newest)
	}
	from := uint64(random.IntN(int(newest) + 3))
	delta := store.Since(from, scope)
	if want := from >= store.history.compactRevision; delta.Available != want || delta.Revision != newest {
		t.Errorf("changes since %d: got available %v as of revision %d, want %v as of %d", from, delta.Available, delta.Revision, want, newest)
	}
	if want := reference.routing(scope); view.RoutingRevision != want || delta.RoutingRevision != want {
		t.Errorf("routing revisions of %+v in view and in delta since %d: got %d and %d, want %d", scope, from, view.RoutingRevision, delta.RoutingRevision, want)
	}
	if got, want := describeUpdates(delta.Updates), describeUpdates(updatesBetween(reference.at(from), reference.last(), scope)); delta.Available && !slices.Equal(got, want) {
		t.Errorf("updates since %d in scope %+v: got %q, want %q", from, scope, got, want)
	}
	old, retained := store.At(from)
	if want := from >= store.history.compactRevision && from <= newest; retained != want {
		t.Errorf("records at %d: got retained %v, want %v", from, retained, want)
	}
	if got, want := describeAll(old), describeAll(recordsInScope(reference.at(from), Scope{All: true})); retained && !slices.Equal(got, want) {
		t.Errorf("records at %d: got %q, want %q", from, got, want)
	}
}

// compareSnapshot compares the snapshot of a store, which sorts only the records added since the last one, with that of
// a restored store. Restore also checks the order.
func compareSnapshot(t *testing.T, store *Store) {
	t.Helper()
	snapshot, restored := store.Snapshot(), NewStore()
	if err := restored.Restore(snapshot); err != nil {
		t.Error(err)
		return
	}
	if !slices.Equal(snapshot, restored.Snapshot()) {
		t.Error("the snapshot of the restored store differs from the original")
	}
	want, got := store.InScope(Scope{All: true}), restored.InScope(Scope{All: true})
	if got.RoutingRevision != want.RoutingRevision {
		t.Errorf("routing revision of the restored store: got %d, want %d", got.RoutingRevision, want.RoutingRevision)
	}
	if got, want := describeAll(got.Records), describeAll(want.Records); !slices.Equal(got, want) {
		t.Errorf("records of the restored store: got %q, want %q", got, want)
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
