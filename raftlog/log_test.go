package raftlog

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

func hardState(term, vote, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: &term, Vote: &vote, Commit: &commit}
}

func newEntry(index, term uint64, data string) *raftpb.Entry {
	return &raftpb.Entry{Index: &index, Term: &term, Data: []byte(data)}
}

func newSnapshot(index, term uint64) *raftpb.Snapshot {
	metadata := &raftpb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &raftpb.ConfState{Voters: []uint64{1, 2, 3}}}
	return &raftpb.Snapshot{Data: []byte("state"), Metadata: metadata}
}

// describe returns the state that must survive a restart as text: the hard state, the snapshot's index and the entries.
func describe(s *SavedState) string {
	text := fmt.Sprint(s.HardState.GetTerm(), " ", s.HardState.GetVote(), " ", s.HardState.GetCommit(), " after ", s.Snapshot.GetMetadata().GetIndex())
	for _, entry := range s.Entries {
		text += fmt.Sprintf(" %d.%d:%s", entry.GetTerm(), entry.GetIndex(), entry.GetData())
	}
	return text
}

// randomBatches returns a sequence of batches and the description of the saved state after each.
func randomBatches(seed uint64, count int) (batches []Batch, descriptions []string) {
	random := rand.New(rand.NewPCG(seed, 5))
	saved := &SavedState{HardState: hardState(1, 0, 0), Snapshot: &raftpb.Snapshot{}}
	lastIndex := func() uint64 { return saved.Snapshot.GetMetadata().GetIndex() + uint64(len(saved.Entries)) }
	term, commit := uint64(1), uint64(0)
	for range count {
		var b Batch
		first := saved.Snapshot.GetMetadata().GetIndex()
		switch random.IntN(5) {
		case 0, 1:
			for range 1 + random.IntN(3) {
				b.Entries = append(b.Entries, newEntry(lastIndex()+uint64(len(b.Entries))+1, term, fmt.Sprint(random.IntN(1000))))
			}
		case 2: // a new term overwrites the uncommitted entries
			term++
			b.Entries = append(b.Entries, newEntry(max(commit, first)+1, term, "over"))
		case 3:
			commit = max(commit, first+uint64(random.IntN(len(saved.Entries)+1)))
		case 4:
			if commit > first {
				b.Snapshot = newSnapshot(commit, saved.Entries[commit-first-1].GetTerm())
			}
		}
		b.HardState = hardState(term, term%3, commit)
		if len(b.Entries) > 0 {
			retained := b.Entries[0].GetIndex() - first - 1
			saved.Entries = append(saved.Entries[:retained:retained], b.Entries...)
		}
		if b.Snapshot != nil {
			saved.Entries = saved.Entries[b.Snapshot.GetMetadata().GetIndex()-first:]
			saved.Snapshot = b.Snapshot
		}
		saved.HardState = b.HardState
		batches = append(batches, b)
		descriptions = append(descriptions, describe(saved))
	}
	return batches, descriptions
}

// After each batch and a restart, the saved state is complete and the identity of the disk is unchanged.
func TestSavedBatchesAreReadBack(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			folder := t.TempDir()
			batches, descriptions := randomBatches(seed, 40)
			identity := ""
			for k, batch := range batches {
				log, saved, err := Open(folder)
				if err != nil {
					t.Fatalf("batch %d: %v", k, err)
				}
				if k == 0 {
					identity = saved.Identity
				}
				if saved.Identity != identity || identity == "" {
					t.Errorf("batch %d: got identity %q, want %q and not empty", k, saved.Identity, identity)
				}
				if k > 0 {
					if diff := cmp.Diff(descriptions[k-1], describe(saved)); diff != "" {
						t.Fatalf("before batch %d: state differs (-want +got):\n%s", k, diff)
					}
				}
				if err := log.Save(batch); err != nil {
					t.Fatal(err)
				}
				log.Close()
			}
		})
	}
}

// After a failed sync the content of the disk is unknown. A member that continued could acknowledge state that is lost
// in a crash. Every later Save must fail as well, and the next start finds the state before or after the failed batch.
func TestSaveFailsPermanentlyAfterWriteError(t *testing.T) {
	folder := t.TempDir()
	log, _, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Save(Batch{HardState: hardState(2, 1, 0)}); err != nil {
		t.Fatal(err)
	}
	log.marker.Close() // simulates a disk that fails to sync
	first := log.Save(Batch{HardState: hardState(3, 2, 0)})
	second := log.Save(Batch{HardState: hardState(4, 2, 0)})
	if first == nil || !errors.Is(second, first) {
		t.Errorf("Save after a failed write: got errors %v, then %v, want the same error twice", first, second)
	}
	log.db.Close()
	log, saved, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	if term := saved.HardState.GetTerm(); term != 2 && term != 3 {
		t.Errorf("got term %d, want 2 or 3", term)
	}
	if !proto.Equal(saved.Snapshot, &raftpb.Snapshot{}) {
		t.Errorf("got snapshot %v, want an empty one", saved.Snapshot)
	}
}

func BenchmarkSave(b *testing.B) {
	for _, size := range []int{100, 10000} {
		b.Run(fmt.Sprint("bytes=", size), func(b *testing.B) {
			log, _, err := Open(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			defer log.Close()
			data := string(make([]byte, size))
			for n := uint64(1); b.Loop(); n++ {
				batch := Batch{HardState: hardState(1, 1, n-1), Entries: []*raftpb.Entry{newEntry(n, 1, data)}}
				if err := log.Save(batch); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
