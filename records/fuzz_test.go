package records

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// FuzzRestore restores any bytes: they are rejected and change nothing, or give a store whose own snapshot restores to
// the same bytes.
func FuzzRestore(f *testing.F) {
	random := rand.New(rand.NewPCG(1, 4))
	store, plain := NewStore(), newModel()
	f.Add(store.Snapshot())
	for revision := uint64(1); revision < 40; revision++ {
		transaction := randomTransaction(random, plain.last())
		if plain.apply(revision, transaction) != "" {
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
		again := NewStore()
		if err := again.Restore(snapshot); err != nil {
			t.Fatalf("the snapshot of a restored store is rejected: %v", err)
		}
		if !slices.Equal(snapshot, again.Snapshot()) {
			t.Error("a store that was restored twice gives another snapshot")
		}
	})
}
