package raftlog

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

// files holds the contents of the two files in a folder.
type files struct{ database, marker []byte }

func readFiles(t *testing.T, folder string) (f files) {
	t.Helper()
	var err error
	if f.database, err = os.ReadFile(filepath.Join(folder, databaseName)); err != nil {
		t.Fatal(err)
	}
	if f.marker, err = os.ReadFile(filepath.Join(folder, markerName)); err != nil {
		t.Fatal(err)
	}
	return f
}

func writeFiles(t *testing.T, f files) (folder string) {
	t.Helper()
	folder = t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, databaseName), f.database, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, markerName), f.marker, 0o600); err != nil {
		t.Fatal(err)
	}
	return folder
}

// saveAll saves batches in a new folder and returns the folder's files after each batch.
func saveAll(t *testing.T, batches []Batch) (filesByBatch []files) {
	t.Helper()
	folder := t.TempDir()
	log, _, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	for _, batch := range batches {
		if err := log.Save(batch); err != nil {
			t.Fatal(err)
		}
		filesByBatch = append(filesByBatch, readFiles(t, folder))
	}
	return filesByBatch
}

// expectUnusableOr opens damaged files and checks that they are either rejected or read as one of the allowed
// descriptions.
func expectUnusableOr(t *testing.T, damage string, f files, allowed ...string) {
	t.Helper()
	log, saved, err := Open(writeFiles(t, f))
	if err != nil {
		var unusable *UnusableError
		if !errors.As(err, &unusable) {
			t.Errorf("%s: got error %T (%v), want *UnusableError", damage, err, err)
		}
		return
	}
	defer log.Close()
	if !slices.Contains(allowed, describe(saved)) {
		t.Errorf("%s: got state\n%s\nwant an error or one of\n%q", damage, describe(saved), allowed)
	}
}

// withBitFlipped returns a copy of content with one bit flipped.
func withBitFlipped(content []byte, offset int, bit byte) []byte {
	damaged := slices.Clone(content)
	damaged[offset] ^= bit
	return damaged
}

// A disk flips a bit, a file is truncated, or one of the two files is restored from an older copy. A member that read
// less than it acknowledged could vote twice in a term or lose a committed entry. Open must return everything that was
// acknowledged, or reject the files.
func TestDamageNeverLosesAcknowledgedState(t *testing.T) {
	batches, descriptions := randomBatches(9, 25)
	filesByBatch := saveAll(t, batches)
	acknowledged := descriptions[len(descriptions)-1]
	last := filesByBatch[len(filesByBatch)-1]

	t.Run("older files", func(t *testing.T) {
		for k, older := range filesByBatch[:len(filesByBatch)-1] {
			expectUnusableOr(t, fmt.Sprint("database of batch ", k), files{older.database, last.marker})
			// A crash between the two writes: the database is ahead and contains everything that was acknowledged.
			expectUnusableOr(t, fmt.Sprint("marker of batch ", k), files{last.database, older.marker}, acknowledged)
		}
	})
	random := rand.New(rand.NewPCG(1, 1))
	t.Run("truncated database", func(t *testing.T) {
		for range 60 {
			size := random.IntN(len(last.database))
			// Truncation after the last page in use removes nothing.
			expectUnusableOr(t, fmt.Sprint("database truncated to size ", size), files{last.database[:size], last.marker}, acknowledged)
		}
	})
	t.Run("flipped bit in database", func(t *testing.T) {
		for range 400 {
			offset := random.IntN(len(last.database))
			if random.IntN(2) == 0 { // half of the bits in the meta pages, which are a small part of the file
				offset = random.IntN(2*os.Getpagesize()) % len(last.database)
			}
			damaged := withBitFlipped(last.database, offset, 1<<random.IntN(8))
			expectUnusableOr(t, fmt.Sprint("flipped bit in database byte ", offset), files{damaged, last.marker}, acknowledged)
		}
	})
	t.Run("flipped bit in marker", func(t *testing.T) {
		for offset := range last.marker {
			damaged := withBitFlipped(last.marker, offset, 4)
			expectUnusableOr(t, fmt.Sprint("flipped bit in marker byte ", offset), files{last.database, damaged}, acknowledged)
		}
	})
}

// One of the two files is lost. A member that treated the folder as new would lose its votes.
//
// If Open created the missing file before it returned the error, the next start would find both files: with an empty
// database it would report that nothing was saved yet and that the folder can be deleted, with an empty marker that the
// witness is damaged. Every start must return the same error as the first and leave the folder unchanged.
func TestMissingFileIsRejected(t *testing.T) {
	for _, lost := range []string{databaseName, markerName} {
		t.Run(lost, func(t *testing.T) {
			folder := t.TempDir()
			log, _, err := Open(folder)
			if err != nil {
				t.Fatal(err)
			}
			if err := log.Save(Batch{HardState: hardState(2, 1, 0)}); err != nil {
				t.Fatal(err)
			}
			log.Close()
			path := filepath.Join(folder, lost)
			if err := os.Remove(path); err != nil {
				t.Fatal(err)
			}
			first := expectUnusable(t, folder, path)
			for _, start := range []string{"second", "third"} {
				if again := expectUnusable(t, folder, path); again != first {
					t.Errorf("%s start: got error %q, want %q as at the first start", start, again, first)
				}
			}
			if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
				t.Errorf("os.Stat(%q): got %v, want os.ErrNotExist: Open created the missing file", path, err)
			}
		})
	}
}

// expectUnusable opens a folder that must be rejected because of the file at path, and returns the error text.
func expectUnusable(t *testing.T, folder, path string) string {
	t.Helper()
	log, _, err := Open(folder)
	if err == nil {
		log.Close()
		t.Fatalf("Open(%q) without %s: got no error, want *UnusableError", folder, path)
	}
	var unusable *UnusableError
	if !errors.As(err, &unusable) || unusable.Path != path {
		t.Errorf("got error %v, want *UnusableError with path %s", err, path)
	}
	return err.Error()
}

func TestUnusableErrorWrapsCause(t *testing.T) {
	batches, _ := randomBatches(1, 3)
	saved := saveAll(t, batches)[2]
	_, _, err := Open(writeFiles(t, files{saved.database[:100], saved.marker}))
	if !errors.Is(err, errTruncated) || !strings.Contains(err.Error(), databaseName+": file is truncated") {
		t.Errorf("truncated database: got error %v, want %v with the file name", err, errTruncated)
	}
	_, _, err = Open(writeFiles(t, files{saved.database, nil}))
	if !errors.Is(err, errNoValidSlot) || !strings.Contains(err.Error(), markerName+": file is damaged") {
		t.Errorf("empty marker: got error %v, want %v with the file name", err, errNoValidSlot)
	}
}

func TestInvariantsOfSavedState(t *testing.T) {
	cases := map[string]struct {
		state SavedState
		want  string
	}{
		"valid":      {SavedState{HardState: hardState(3, 0, 6), Snapshot: newSnapshot(5, 2), Entries: []*raftpb.Entry{newEntry(6, 3, "")}}, ""},
		"gap":        {SavedState{HardState: hardState(3, 0, 0), Snapshot: newSnapshot(5, 2), Entries: []*raftpb.Entry{newEntry(7, 3, "")}}, "entry 7 follows index 5"},
		"older term": {SavedState{HardState: hardState(3, 0, 0), Snapshot: newSnapshot(5, 2), Entries: []*raftpb.Entry{newEntry(6, 1, "")}}, "entry 6 has term 1, lower than the previous term 2"},
		"commit":     {SavedState{HardState: hardState(3, 0, 6), Snapshot: newSnapshot(5, 2)}, "commit index 6 is beyond the last index 5"},
		"hard state": {SavedState{HardState: hardState(1, 0, 0), Snapshot: newSnapshot(5, 2)}, "term 1 is lower than the last entry's term 2"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := ""
			if err := c.state.checkInvariants(); err != nil {
				got = err.Error()
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
