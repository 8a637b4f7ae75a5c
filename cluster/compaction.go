package cluster

import "harehook.dev/harehook/raftlog"

// The log is kept in memory and read again at startup, so it is regularly compacted into a snapshot of the state.
const (
	// smallSnapshotBytes is the snapshot size below which the snapshot's cost does not delay compaction.
	smallSnapshotBytes = 1 << 20
	// snapshotLogRatio divides the size of a large snapshot: the log must reach 1/snapshotLogRatio of that size before
	// the next snapshot. The cost of a snapshot grows with the entire state, that of the log only with its changes.
	snapshotLogRatio = 8
	// maxEntriesFactor times Timing.CompactAfterEntries is the maximum log length, whatever a snapshot costs.
	maxEntriesFactor = 10
	// maxLogBytes is the log size from which the log is compacted even if it has few entries.
	maxLogBytes = 16 << 20
)

// compact compacts the log into a snapshot of the state if that is due. The snapshot is saved before the in-memory log
// is truncated.
func (m *Member) compact(save func(raftlog.Batch) error) error {
	first, err := m.storage.FirstIndex()
	if err != nil {
		return err
	}
	if !m.compactionDue(first) {
		return nil
	}
	m.membersChanged = false
	data, err := m.State.Snapshot()
	if err != nil {
		return err
	}
	snapshot, err := m.storage.CreateSnapshot(m.appliedIndex, m.confState, data)
	if err != nil {
		return err
	}
	if err := save(raftlog.Batch{Snapshot: snapshot}); err != nil {
		return err
	}
	m.logBytes = 0
	m.snapshotBytes = len(data)
	return m.storage.Compact(m.appliedIndex)
}

// compactionDue reports whether the log, whose first index is given, must be compacted.
//
// The log is compacted after each membership change, regardless of its length. This guards against a new member that
// never catches up: a snapshot from before the change does not list the member, so that the member ignores it and is
// sent the same snapshot again.
func (m *Member) compactionDue(first uint64) bool {
	if m.membersChanged {
		return true
	}
	if m.appliedIndex < first {
		return false
	}
	entries := m.appliedIndex - first
	if entries >= maxEntriesFactor*m.timing.CompactAfterEntries {
		return true
	}
	if m.snapshotBytes >= smallSnapshotBytes && m.logBytes < m.snapshotBytes/snapshotLogRatio {
		return false
	}
	return entries >= m.timing.CompactAfterEntries || m.logBytes >= maxLogBytes
}
