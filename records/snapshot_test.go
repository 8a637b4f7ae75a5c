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
	good := s.Snapshot()
	for end := range good {
		if err := s.Restore(good[:end]); err == nil {
			t.Errorf("snapshot truncated to %d of %d bytes: got no error, want one", end, len(good))
		}
	}
	cases := map[string][]byte{
		"format":          append([]byte{snapshotFormat + 1}, good[1:]...),
		"goes on":         append(slices.Clone(good), 0),
		"service missing": []byte(strings.ReplaceAll(string(good), `"service":"pay"`, `"service":"pax"`)),
		"not canonical":   []byte(strings.Replace(string(good), `{"service":"pay","prefix":"/b"`, `{"prefix":"/b","service":"pay"`, 1)),
		"other record":    []byte(strings.Replace(string(good), `"/b"`, `"/c"`, 1)), // differs from the one in the history
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
	if !slices.Equal(good, s.Snapshot()) {
		t.Error("a rejected snapshot changed the store")
	}
}

// TestRestoredStoreGoesOnAsTheOriginal restores a snapshot of a store into another one and applies the same random
// transactions to both. Their snapshots must stay equal, and a reader that has a reference to the other store from
// before must see the restored content.
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
					t.Fatalf("seed %d: the snapshot of the restored store differs from the original", seed)
				}
				for from := range revision + 2 {
					available := store.Since(from, Scope{All: true}).Available
					if again := other.Since(from, Scope{All: true}).Available; available != again {
						t.Fatalf("seed %d: changes since %d: got available %v in the restored store, want %v", seed, from, again, available)
					}
				}
			} else if revision > 100 {
				other.Apply(revision, transaction)
			}
		}
		if a, b := store.Snapshot(), other.Snapshot(); !slices.Equal(a, b) {
			t.Fatalf("seed %d: the snapshots of the original and the restored store differ", seed)
		}
		if reader.Revision() != store.Revision() {
			t.Fatalf("seed %d: revision that a reader sees: got %d, want %d", seed, reader.Revision(), store.Revision())
		}
	}
}
