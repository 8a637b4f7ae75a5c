package records

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// A snapshot arrives over the network or is read from disk. If a truncated snapshot or one that breaks a rule were
// accepted, members would hold different records at the same revision. It must be rejected, and the store must stay
// unchanged.
func TestDamagedSnapshotsAreRejected(t *testing.T) {
	s := NewStore()
	apply(t, s, write(KindService, "pay", ServiceSpec{}), write(KindRoute, "a", RouteSpec{Service: "pay", Prefix: "/a", TimeLimitMS: 1}))
	apply(t, s, write(KindRoute, "a", RouteSpec{Service: "pay", Prefix: "/b", TimeLimitMS: 1}))
	valid := s.Snapshot()
	for end := range valid {
		if err := s.Restore(valid[:end]); err == nil {
			t.Errorf("snapshot truncated to %d of %d bytes: got no error, want one", end, len(valid))
		}
	}
	cases := map[string][]byte{
		"format":                          append([]byte{snapshotFormat + 1}, valid[1:]...),
		"trailing byte":                   append(slices.Clone(valid), 0),
		"service missing":                 []byte(strings.ReplaceAll(string(valid), `"service":"pay"`, `"service":"pax"`)),
		"not canonical":                   []byte(strings.Replace(string(valid), `{"service":"pay","prefix":"/b"`, `{"prefix":"/b","service":"pay"`, 1)),
		"record differs from the history": []byte(strings.Replace(string(valid), `"/b"`, `"/c"`, 1)),
	}
	for name, damaged := range cases {
		t.Run(name, func(t *testing.T) {
			err := s.Restore(damaged)
			var snapshotError *SnapshotError
			if !errors.As(err, &snapshotError) {
				t.Errorf("got error %v, want a SnapshotError", err)
			}
		})
	}
	if !slices.Equal(valid, s.Snapshot()) {
		t.Error("a rejected snapshot changed the store")
	}
}

// TestRestoredStoreStaysEqualToOriginal restores a snapshot of a store into another one and applies the same random
// transactions to both. Their snapshots must stay equal, and a reader that has a reference to the other store from
// before must see the restored content.
func TestRestoredStoreStaysEqualToOriginal(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		store, reference, restored := NewStore(), newModel(), NewStore()
		store.history.maxBytes, restored.history.maxBytes = 1500, 1500
		var reader Source = restored
		for revision := uint64(1); revision < 200; revision++ {
			transaction := randomTransaction(random, reference.last())
			if reference.apply(revision, transaction) == "" {
				if _, err := store.Apply(revision, transaction); err != nil {
					t.Fatal(err)
				}
			}
			if revision == 100 {
				snapshot := store.Snapshot()
				if err := restored.Restore(snapshot); err != nil {
					t.Fatal(err)
				}
				if !slices.Equal(restored.Snapshot(), snapshot) {
					t.Fatalf("seed %d: the snapshot of the restored store differs from the original", seed)
				}
				for from := range revision + 2 {
					available := store.Since(from, Scope{All: true}).Available
					if got := restored.Since(from, Scope{All: true}).Available; available != got {
						t.Fatalf("seed %d: changes since %d: got available %v in the restored store, want %v", seed, from, got, available)
					}
				}
			} else if revision > 100 {
				restored.Apply(revision, transaction)
			}
		}
		if want, got := store.Snapshot(), restored.Snapshot(); !slices.Equal(got, want) {
			t.Fatalf("seed %d: the snapshots of the original and the restored store differ", seed)
		}
		if reader.Revision() != store.Revision() {
			t.Fatalf("seed %d: revision that a reader sees: got %d, want %d", seed, reader.Revision(), store.Revision())
		}
	}
}
