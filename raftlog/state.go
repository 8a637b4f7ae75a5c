package raftlog

import (
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
)

// SavedState holds everything that a member has persisted. HardState and Snapshot are never nil; they are empty on a
// new disk.
//
// The indexes of the entries follow the snapshot and each other without a gap, and their terms never decrease. The
// commit index of the hard state is not beyond the last entry, and its term is not lower than the last entry's.
type SavedState struct {
	// Identity is the random identity of this disk: a member with the same number but another disk is a different member.
	// A copy of the folder has the same identity.
	Identity  string
	HardState *raftpb.HardState
	Entries   []*raftpb.Entry // ordered by index
	Snapshot  *raftpb.Snapshot
}

// Batch holds the changes that are persisted together in one transaction.
type Batch struct {
	HardState *raftpb.HardState // replaces the previous one; nil: unchanged
	Entries   []*raftpb.Entry   // replace the existing entries from the first one's index on
	Snapshot  *raftpb.Snapshot  // replaces the previous one and all entries up to its index; nil: unchanged
}

// Empty reports whether there is nothing to persist.
func (b Batch) Empty() bool { return b.HardState == nil && len(b.Entries) == 0 && b.Snapshot == nil }

// checkInvariants returns an error that describes the first violated invariant of a SavedState.
func (s *SavedState) checkInvariants() error {
	lastIndex := s.Snapshot.GetMetadata().GetIndex()
	lastTerm := s.Snapshot.GetMetadata().GetTerm()
	for _, entry := range s.Entries {
		if entry.GetIndex() != lastIndex+1 {
			return fmt.Errorf("entry %d follows index %d", entry.GetIndex(), lastIndex)
		}
		if entry.GetTerm() < lastTerm {
			return fmt.Errorf("entry %d has term %d, lower than the previous term %d", entry.GetIndex(), entry.GetTerm(), lastTerm)
		}
		lastIndex = entry.GetIndex()
		lastTerm = entry.GetTerm()
	}
	if commit := s.HardState.GetCommit(); commit > lastIndex {
		return fmt.Errorf("commit index %d is beyond the last index %d", commit, lastIndex)
	}
	if term := s.HardState.GetTerm(); term < lastTerm {
		return fmt.Errorf("term %d is lower than the last entry's term %d", term, lastTerm)
	}
	return nil
}
