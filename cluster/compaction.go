package cluster

import "harehook.dev/harehook/raftlog"

const (
	// smallSnapshotBytes is a snapshot's size in bytes under which the log is cut by its entries alone.
	smallSnapshotBytes = 1 << 20
	// snapshotLogRatio is the part of a large snapshot's size that the log reaches before the next one is made: a snapshot
	// costs by the whole state, the log by its changes.
	snapshotLogRatio = 8
	// maxEntriesFactor times Timing.Compact is the longest log, whatever a snapshot costs: it is read again at a start.
	maxEntriesFactor = 10
	// maxLogBytes is where the log is cut however few entries it has: it is held in memory.
	maxLogBytes = 16 << 20
)

// compact cuts the log to a snapshot of the state: once it is long, and after each change of members. A snapshot of
// before does not name a member that was added since, which refuses it and would never catch up.
func (m *Member) compact(save func(raftlog.Batch) error) error {
	first, err := m.storage.FirstIndex()
	if err != nil || !m.compactionDue(first) {
		return err
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
	m.logBytes, m.snapshotBytes = 0, len(data)
	return m.storage.Compact(m.appliedIndex)
}

// compactionDue tells whether the log from an index on is to be cut.
func (m *Member) compactionDue(first uint64) bool {
	if m.membersChanged {
		return true
	}
	if m.appliedIndex < first {
		return false
	}
	entries := m.appliedIndex - first
	switch {
	case entries >= maxEntriesFactor*m.timing.CompactAfterEntries:
		return true
	case m.snapshotBytes >= smallSnapshotBytes && m.logBytes < m.snapshotBytes/snapshotLogRatio:
		return false
	}
	return entries >= m.timing.CompactAfterEntries || m.logBytes >= maxLogBytes
}
