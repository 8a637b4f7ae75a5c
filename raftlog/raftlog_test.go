package raftlog

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

func hard(term, vote, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: &term, Vote: &vote, Commit: &commit}
}

func entry(index, term uint64, data string) *raftpb.Entry {
	return &raftpb.Entry{Index: &index, Term: &term, Data: []byte(data)}
}

func snapshot(index, term uint64) *raftpb.Snapshot {
	return &raftpb.Snapshot{Data: []byte("state"), Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term,
		ConfState: &raftpb.ConfState{Voters: []uint64{1, 2, 3}}}}
}

func text(s *SavedState) string {
	out := fmt.Sprint(s.HardState.GetTerm(), " ", s.HardState.GetVote(), " ", s.HardState.GetCommit(), " after ", s.Snapshot.GetMetadata().GetIndex())
	for _, e := range s.Entries {
		out += fmt.Sprintf(" %d.%d:%s", e.GetTerm(), e.GetIndex(), e.GetData())
	}
	return out
}

// story is a run of batches, and what is kept after each.
func story(seed uint64, steps int) (batches []Batch, after []string) {
	chance := rand.New(rand.NewPCG(seed, 5))
	kept := &SavedState{HardState: hard(1, 0, 0), Snapshot: &raftpb.Snapshot{}}
	last := func() uint64 { return kept.Snapshot.GetMetadata().GetIndex() + uint64(len(kept.Entries)) }
	term, commit := uint64(1), uint64(0)
	for range steps {
		var b Batch
		first := kept.Snapshot.GetMetadata().GetIndex()
		switch chance.IntN(5) {
		case 0, 1:
			for range 1 + chance.IntN(3) {
				b.Entries = append(b.Entries, entry(last()+uint64(len(b.Entries))+1, term, fmt.Sprint(chance.IntN(1000))))
			}
		case 2: // a new term overwrites what was not committed
			term++
			b.Entries = append(b.Entries, entry(max(commit, first)+1, term, "over"))
		case 3:
			commit = max(commit, first+uint64(chance.IntN(len(kept.Entries)+1)))
		case 4:
			if commit > first {
				at := kept.Entries[commit-first-1].GetTerm()
				b.Snapshot = snapshot(commit, at)
			}
		}
		b.HardState = hard(term, term%3, commit)
		if len(b.Entries) > 0 {
			kept.Entries = append(kept.Entries[:b.Entries[0].GetIndex()-first-1:b.Entries[0].GetIndex()-first-1], b.Entries...)
		}
		if b.Snapshot != nil {
			kept.Entries, kept.Snapshot = kept.Entries[b.Snapshot.GetMetadata().GetIndex()-first:], b.Snapshot
		}
		kept.HardState = b.HardState
		batches, after = append(batches, b), append(after, text(kept))
	}
	return batches, after
}

// What was saved is there after each batch and a new start.
func TestKept(t *testing.T) {
	for seed := range uint64(4) {
		folder := t.TempDir()
		batches, after := story(seed, 40)
		identity := ""
		for k, batch := range batches {
			b, saved, err := Open(folder)
			if err != nil {
				t.Fatalf("seed %d, batch %d: %v", seed, k, err)
			}
			if k == 0 {
				identity = saved.Identity
			}
			if saved.Identity != identity || identity == "" {
				t.Errorf("identity %q, then %q", identity, saved.Identity)
			}
			if k > 0 {
				if diff := cmp.Diff(after[k-1], text(saved)); diff != "" {
					t.Fatalf("seed %d, batch %d:\n%s", seed, k, diff)
				}
			}
			if err := b.Save(batch); err != nil {
				t.Fatal(err)
			}
			b.Close()
		}
	}
}

// The files as they are after each batch, with one of them as it was any number of batches before, cut short or with a
// bit turned: either what was promised is all there, or it is refused; never less without a word.
func TestDamaged(t *testing.T) {
	folder := t.TempDir()
	batches, after := story(9, 25)
	b, _, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	var states [][2][]byte
	read := func() (state [2][]byte) {
		for k, name := range []string{"raft.db", "witness"} {
			if state[k], err = os.ReadFile(filepath.Join(folder, name)); err != nil {
				t.Fatal(err)
			}
		}
		return state
	}
	for _, batch := range batches {
		if err := b.Save(batch); err != nil {
			t.Fatal(err)
		}
		states = append(states, read())
	}
	b.Close()
	promised := after[len(after)-1]
	try := func(what string, state [2][]byte, mayHold ...string) {
		t.Helper()
		folder := t.TempDir()
		for k, name := range []string{"raft.db", "witness"} {
			if err := os.WriteFile(filepath.Join(folder, name), state[k], 0o600); err != nil {
				t.Fatal(err)
			}
		}
		b, saved, err := Open(folder)
		if err != nil {
			var refused UnusableError
			if !errors.As(err, &refused) {
				t.Logf("%s: %v", what, err)
			}
			return
		}
		defer b.Close()
		for _, may := range mayHold {
			if text(saved) == may {
				return
			}
		}
		t.Errorf("%s: taken as\n%s\nwas promised\n%s", what, text(saved), promised)
	}
	end := states[len(states)-1]
	for k, state := range states[:len(states)-1] {
		try(fmt.Sprint("the log of batch ", k), [2][]byte{state[0], end[1]})
		// A crash between the two files: the log is ahead, which promises no less.
		try(fmt.Sprint("the witness of batch ", k), [2][]byte{end[0], state[1]}, promised)
	}
	chance := rand.New(rand.NewPCG(1, 1))
	for range 60 {
		cut := chance.IntN(len(end[0]))
		try(fmt.Sprint("the log cut at ", cut), [2][]byte{end[0][:cut], end[1]}, promised) // behind the last page in use
	}
	// Pages that are in use: the first four hold roots and free pages, the newest are at any place.
	for range 400 {
		flipped := append([]byte(nil), end[0]...)
		at := chance.IntN(len(flipped))
		if chance.IntN(2) == 0 {
			at = chance.IntN(2*os.Getpagesize()) % len(flipped)
		}
		flipped[at] ^= 1 << chance.IntN(8)
		try(fmt.Sprint("a bit of byte ", at), [2][]byte{flipped, end[1]}, promised)
	}
	for at := range end[1] {
		flipped := append([]byte(nil), end[1]...)
		flipped[at] ^= 4
		try(fmt.Sprint("a bit of the witness ", at), [2][]byte{end[0], flipped}, promised)
	}
	for _, gone := range []string{"raft.db", "witness"} {
		folder := t.TempDir()
		b, _, err := Open(folder)
		if err != nil {
			t.Fatal(err)
		}
		b.Save(batches[0])
		b.Close()
		os.Remove(filepath.Join(folder, gone))
		if b, _, err := Open(folder); err == nil {
			b.Close()
			t.Errorf("%s is gone: taken for new", gone)
		}
	}
}

// After a write that failed nothing is promised any more.
func TestFailedWrite(t *testing.T) {
	folder := t.TempDir()
	b, _, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	if err := b.Save(Batch{HardState: hard(2, 1, 0)}); err != nil {
		t.Fatal(err)
	}
	b.witness.Close() // as a disk that fails to sync
	if b.Save(Batch{HardState: hard(3, 2, 0)}) == nil || b.Save(Batch{HardState: hard(4, 2, 0)}) == nil {
		t.Error("a failed write was promised")
	}
	b.db.Close()
	b, saved, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	if term := saved.HardState.GetTerm(); term != 2 && term != 3 {
		t.Errorf("term %d", term)
	}
	if !proto.Equal(saved.Snapshot, &raftpb.Snapshot{}) {
		t.Error("a snapshot from nowhere")
	}
}

func BenchmarkSave(b *testing.B) {
	for _, size := range []int{100, 10000} {
		b.Run(fmt.Sprint("bytes=", size), func(b *testing.B) {
			l, _, err := Open(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			data := string(make([]byte, size))
			for n := uint64(1); b.Loop(); n++ {
				if err := l.Save(Batch{HardState: hard(1, 1, n-1), Entries: []*raftpb.Entry{entry(n, 1, data)}}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
