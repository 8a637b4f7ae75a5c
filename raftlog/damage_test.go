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

// files are the contents of a folder.
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

// saveAll saves batches into a new folder and gives its files after each.
func saveAll(t *testing.T, batches []Batch) (after []files) {
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
		after = append(after, readFiles(t, folder))
	}
	return after
}

// expectRefused opens files that are damaged. Either they are refused, or they are read as one of the descriptions.
func expectRefused(t *testing.T, damage string, f files, orReadAs ...string) {
	t.Helper()
	log, saved, err := Open(writeFiles(t, f))
	if err != nil {
		var unusable *UnusableError
		if !errors.As(err, &unusable) {
			t.Errorf("%s: an error of another type: %v", damage, err)
		}
		return
	}
	defer log.Close()
	if !slices.Contains(orReadAs, describe(saved)) {
		t.Errorf("%s: read as\n%s\nbut it may be\n%q", damage, describe(saved), orReadAs)
	}
}

// withBitFlipped gives a copy in which one bit differs.
func withBitFlipped(content []byte, offset int, bit byte) []byte {
	damaged := slices.Clone(content)
	damaged[offset] ^= bit
	return damaged
}

// A disk turns a bit, a file is cut short, or one of the two files is put back from an older copy. A member that read
// less than it promised would vote twice in a term or lose an entry that was agreed. So all that was promised has to be
// there, or the files have to be refused.
func TestDamagedFilesAreNeverReadAsLess(t *testing.T) {
	batches, descriptions := randomBatches(9, 25)
	after := saveAll(t, batches)
	promised := descriptions[len(descriptions)-1]
	last := after[len(after)-1]

	t.Run("older files", func(t *testing.T) {
		for k, older := range after[:len(after)-1] {
			expectRefused(t, fmt.Sprint("the database of batch ", k), files{older.database, last.marker})
			// A crash between the two files: the database is ahead, which has all that was promised.
			expectRefused(t, fmt.Sprint("the marker of batch ", k), files{last.database, older.marker}, promised)
		}
	})
	random := rand.New(rand.NewPCG(1, 1))
	t.Run("database cut short", func(t *testing.T) {
		for range 60 {
			size := random.IntN(len(last.database))
			// A cut behind the last page in use takes nothing away.
			expectRefused(t, fmt.Sprint("the database cut at ", size), files{last.database[:size], last.marker}, promised)
		}
	})
	t.Run("a bit of the database", func(t *testing.T) {
		for range 400 {
			offset := random.IntN(len(last.database))
			if random.IntN(2) == 0 { // in the meta pages, which are a small part of the file
				offset = random.IntN(2*os.Getpagesize()) % len(last.database)
			}
			damaged := withBitFlipped(last.database, offset, 1<<random.IntN(8))
			expectRefused(t, fmt.Sprint("a bit of byte ", offset), files{damaged, last.marker}, promised)
		}
	})
	t.Run("a bit of the marker", func(t *testing.T) {
		for offset := range last.marker {
			damaged := withBitFlipped(last.marker, offset, 4)
			expectRefused(t, fmt.Sprint("a bit of byte ", offset), files{last.database, damaged}, promised)
		}
	})
}

// One of the two files is lost. A member that took the folder for a new one would forget its votes.
//
// Open once created the missing file before it refused. The supervisor started the member again, and the second start
// found both files: with an empty database it said that nothing was promised yet and that the folder may be taken away,
// with an empty marker that the witness is damaged. Every start has to say the same as the first, and to leave the folder
// as it is.
func TestFolderWithOneFileIsNotTakenForNew(t *testing.T) {
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
					t.Errorf("the %s start says %q, the first said %q", start, again, first)
				}
			}
			if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
				t.Errorf("Open created the file that was lost: %v", err)
			}
		})
	}
}

// expectUnusable opens a folder that has to be refused for one of its files, and gives the text of the error.
func expectUnusable(t *testing.T, folder, path string) string {
	t.Helper()
	log, _, err := Open(folder)
	if err == nil {
		log.Close()
		t.Fatal("the folder was taken for new")
	}
	var unusable *UnusableError
	if !errors.As(err, &unusable) || unusable.Path != path {
		t.Errorf("%v, want an UnusableError of %s", err, path)
	}
	return err.Error()
}

func TestUnusableErrorKeepsItsCause(t *testing.T) {
	batches, _ := randomBatches(1, 3)
	saved := saveAll(t, batches)[2]
	_, _, err := Open(writeFiles(t, files{saved.database[:100], saved.marker}))
	if !errors.Is(err, errShortFile) || !strings.Contains(err.Error(), databaseName+": the file is cut short") {
		t.Errorf("a file cut short: %v", err)
	}
	_, _, err = Open(writeFiles(t, files{saved.database, nil}))
	if !errors.Is(err, errNoSlot) || !strings.Contains(err.Error(), markerName+": the witness is damaged") {
		t.Errorf("an empty marker: %v", err)
	}
}

func TestInvariantsOfSavedState(t *testing.T) {
	cases := map[string]struct {
		state SavedState
		want  string
	}{
		"none broken": {SavedState{HardState: hardState(3, 0, 6), Snapshot: newSnapshot(5, 2), Entries: []*raftpb.Entry{newEntry(6, 3, "")}}, ""},
		"gap":         {SavedState{HardState: hardState(3, 0, 0), Snapshot: newSnapshot(5, 2), Entries: []*raftpb.Entry{newEntry(7, 3, "")}}, "entry 7 follows 5"},
		"older term":  {SavedState{HardState: hardState(3, 0, 0), Snapshot: newSnapshot(5, 2), Entries: []*raftpb.Entry{newEntry(6, 1, "")}}, "entry 6 is of term 1, the one before of 2"},
		"commit":      {SavedState{HardState: hardState(3, 0, 6), Snapshot: newSnapshot(5, 2)}, "6 was committed, it ends at 5"},
		"hard state":  {SavedState{HardState: hardState(1, 0, 0), Snapshot: newSnapshot(5, 2)}, "its term is 1, its last entry's 2"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := ""
			if err := c.state.checkInvariants(); err != nil {
				got = err.Error()
			}
			if got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}
