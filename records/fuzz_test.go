package records

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// FuzzRestore restores arbitrary bytes. Either they are rejected and the store is unchanged, or the snapshot of the
// store can be restored to a store with the same snapshot.
func FuzzRestore(f *testing.F) {
	random := rand.New(rand.NewPCG(1, 4))
	store, reference := NewStore(), newModel()
	f.Add(store.Snapshot())
	for revision := uint64(1); revision < 40; revision++ {
		transaction := randomTransaction(random, reference.last())
		if reference.apply(revision, transaction) != "" {
			continue
		}
		if _, err := store.Apply(revision, transaction); err != nil {
			f.Fatal(err)
		}
		f.Add(store.Snapshot())
		f.Add(withoutRouting(store))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		restored := NewStore()
		before := restored.Snapshot()
		if err := restored.Restore(data); err != nil {
			if !slices.Equal(before, restored.Snapshot()) {
				t.Error("a rejected snapshot changed the store")
			}
			return
		}
		snapshot := restored.Snapshot()
		second := NewStore()
		if err := second.Restore(snapshot); err != nil {
			t.Fatalf("snapshot of the restored store: got error %v, want none", err)
		}
		if !slices.Equal(snapshot, second.Snapshot()) {
			t.Error("the snapshot changed when it was restored")
		}
	})
}
