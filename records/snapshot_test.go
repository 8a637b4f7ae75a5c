package records

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// A snapshot comes over the network or from a disk. One that is cut short, or does not keep the rules, would have
// members hold different records under one revision. It is rejected, and the store stays as it was.
func TestDamagedSnapshotsAreRejected(t *testing.T) {
	s := NewStore()
	apply(t, s, write(KindService, "pay", ServiceSpec{}), write(KindRoute, "a", RouteSpec{Service: "pay", Prefix: "/a", TimeLimitMS: 1}))
	apply(t, s, write(KindRoute, "a", RouteSpec{Service: "pay", Prefix: "/b", TimeLimitMS: 1}))
	good := s.Snapshot()
	for end := range good {
		if err := s.Restore(good[:end]); err == nil {
			t.Errorf("cut at byte %d of %d it was accepted", end, len(good))
		}
	}
	cases := map[string][]byte{
		"format":          append([]byte{snapshotFormat + 1}, good[1:]...),
		"goes on":         append(slices.Clone(good), 0),
		"service missing": []byte(strings.ReplaceAll(string(good), `"service":"pay"`, `"service":"pax"`)),
		"not canonical":   []byte(strings.Replace(string(good), `{"service":"pay","prefix":"/b"`, `{"prefix":"/b","service":"pay"`, 1)),
		"other record":    []byte(strings.Replace(string(good), `"/b"`, `"/c"`, 1)), // than the one in the history
	}
	for name, damaged := range cases {
		t.Run(name, func(t *testing.T) {
			err := s.Restore(damaged)
			var snapshotError *SnapshotError
			if !errors.As(err, &snapshotError) {
				t.Errorf("%v, want a SnapshotError", err)
			}
		})
	}
	if !slices.Equal(good, s.Snapshot()) {
		t.Error("a rejected snapshot changed the store")
	}
}

// TestRestoredStoreGoesOnAsTheOriginal plays random transactions, restores a snapshot elsewhere and goes on with both:
// they stay equal to the byte, and a reader of the restored store sees it without asking for another.
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
					available := store.Since(from, Scope{All: true}).Available
					if again := other.Since(from, Scope{All: true}).Available; available != again {
						t.Fatalf("seed %d: changes since %d are available: %v, restored: %v", seed, from, available, again)
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
