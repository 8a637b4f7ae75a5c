package raftlog

import (
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
)

// SavedState is all that a member has persisted. HardState and Snapshot are never nil; they are empty on a new disk.
//
// Its entries follow the snapshot, and each other, without a gap and with terms that never fall; the hard state commits
// no index behind the last entry, and its term is not under the last entry's.
type SavedState struct {
	// Identity is that of this disk, random: a member with another disk under the same number is another member. A copy of
	// the folder has the same one.
	Identity  string
	HardState *raftpb.HardState
	Entries   []*raftpb.Entry // ordered by index
	Snapshot  *raftpb.Snapshot
}

// Batch is what is persisted together, in one transaction.
type Batch struct {
	HardState *raftpb.HardState // replaces the one before; nil: it stays
	Entries   []*raftpb.Entry   // replace those at and after the first one's index
	Snapshot  *raftpb.Snapshot  // replaces the one before and all entries up to its index; nil: it stays
}

// Empty reports whether there is nothing to persist.
func (b Batch) Empty() bool { return b.HardState == nil && len(b.Entries) == 0 && b.Snapshot == nil }

// checkInvariants says which invariant of a SavedState is broken.
func (s *SavedState) checkInvariants() error {
	lastIndex := s.Snapshot.GetMetadata().GetIndex()
	lastTerm := s.Snapshot.GetMetadata().GetTerm()
	for _, entry := range s.Entries {
		if entry.GetIndex() != lastIndex+1 {
			return fmt.Errorf("entry %d follows %d", entry.GetIndex(), lastIndex)
		}
		if entry.GetTerm() < lastTerm {
			return fmt.Errorf("entry %d is of term %d, the one before of %d", entry.GetIndex(), entry.GetTerm(), lastTerm)
		}
		lastIndex = entry.GetIndex()
		lastTerm = entry.GetTerm()
	}
	if commit := s.HardState.GetCommit(); commit > lastIndex {
		return fmt.Errorf("%d was committed, it ends at %d", commit, lastIndex)
	}
	if term := s.HardState.GetTerm(); term < lastTerm {
		return fmt.Errorf("its term is %d, its last entry's %d", term, lastTerm)
	}
	return nil
}
