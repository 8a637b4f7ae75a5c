package cluster

import "harehook.dev/harehook/raftlog"

// The log is held in memory and read again at a start, so it is cut to a snapshot of the state now and then.
const (
	// smallSnapshotBytes is a snapshot's size under which the log is cut by its entries alone.
	smallSnapshotBytes = 1 << 20
	// snapshotLogRatio is the part (one in so many) of a large snapshot's size that the log reaches before the next one
	// is made: a snapshot costs by the whole state, the log by its changes.
	snapshotLogRatio = 8
	// maxEntriesFactor times Timing.CompactAfterEntries is the longest log, whatever a snapshot costs.
	maxEntriesFactor = 10
	// maxLogBytes is where the log is cut however few entries it has.
	maxLogBytes = 16 << 20
)

// compact cuts the log to a snapshot of the state if that is due. The snapshot is saved before the log in memory is cut.
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

// compactionDue reports whether the log from an index on is to be cut.
//
// It is cut after each change of members whatever its length. This guards against a new member that never catches up:
// a snapshot of before the change does not name it, so that it ignores the snapshot and is sent the same one again.
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
