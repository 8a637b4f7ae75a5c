package sidecar

import (
	"os"
	"path/filepath"
	"testing"

	"harehook.dev/harehook/internal/goldentest"
)

// goldenStore is a sidecar's store file written by commit 3968cf4.
const goldenStore = "testdata/store.held"

// TestGoldenStore guards against a store format that cannot read the files of an earlier release: the store of such a
// release must load to the same routing table, and must be written again with the same length.
func TestGoldenStore(t *testing.T) {
	if goldentest.Update() {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := (&Store{Path: goldenStore}).Save(newFilledCache(t, 3)); err != nil {
			t.Fatal(err)
		}
	}
	cache := &ResourceCache{ID: "till", Zone: "north"}
	if err := (&Store{Path: goldenStore}).Load(cache); err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "store.txt", goldentest.Values(cache.Table()))
	rewritten := filepath.Join(t.TempDir(), "again")
	if err := (&Store{Path: rewritten}).Save(cache); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(goldenStore)
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(rewritten)
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != len(want) {
		t.Errorf("length of the rewritten store: got %d bytes, want %d", len(got), len(want))
	}
}
