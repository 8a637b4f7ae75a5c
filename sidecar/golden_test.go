package sidecar

import (
	"os"
	"path/filepath"
	"testing"

	"harehook.dev/harehook/internal/goldentest"
)

// goldenStore is a sidecar's store as commit 3968cf4 wrote it.
const goldenStore = "testdata/store.held"

// TestGoldenStore starts from the store of an earlier release: the routing table is the one that the release routed by, and
// the file is written as it was.
func TestGoldenStore(t *testing.T) {
	if goldentest.Update() {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := (&Store{Path: goldenStore}).Save(newFilledCache(t, 3)); err != nil {
			t.Fatal(err)
		}
	}
	h := &ResourceCache{ID: "till", Zone: "north"}
	if err := (&Store{Path: goldenStore}).Load(h); err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "store.txt", goldentest.Values(h.Table()))
	again := filepath.Join(t.TempDir(), "again")
	if err := (&Store{Path: again}).Save(h); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(goldenStore)
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(again)
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != len(want) {
		t.Errorf("%d bytes are written, %d were", len(got), len(want))
	}
}
