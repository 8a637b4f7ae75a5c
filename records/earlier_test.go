package records

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// TestReversalRestoresAnEarlierContent rolls random states back to an earlier revision and expects its content under a
// new revision.
func TestReversalRestoresAnEarlierContent(t *testing.T) {
	reversed := 0
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 2))
		store, reference := NewStore(), newModel()
		for revision := uint64(1); revision < 80; revision++ {
			transaction := randomTransaction(random, reference.last())
			if reference.apply(revision, transaction) == "" {
				if _, err := store.Apply(revision, transaction); err != nil {
					t.Fatal(err)
				}
			}
		}
		target := uint64(random.IntN(int(store.Revision())))
		if countRoutes(reference.at(target)) == 0 {
			continue // Apply rejects a transaction that leaves no route
		}
		transaction, retained := store.Reversal(target)
		if !retained {
			t.Fatalf("seed %d: revision %d is not retained", seed, target)
		}
		if _, err := store.Apply(100, transaction); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		reversed++
		got := store.InScope(Scope{All: true}).Records
		want := recordsInScope(reference.at(target), Scope{All: true})
		if !slices.EqualFunc(got, want, (*Record).SameContent) {
			t.Fatalf("seed %d, reversal to revision %d: got %q, want %q", seed, target, describeAll(got), describeAll(want))
		}
	}
	if reversed < 10 {
		t.Errorf("got %d reversals, want at least 10", reversed)
	}
}
