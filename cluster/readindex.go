package cluster

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
)

// maxPendingReads is the maximum number of reads that wait for the leader.
const maxPendingReads = 1024

// ReadState is a linearizable read that may be answered: the state includes all entries that were committed when the
// read was requested.
type ReadState struct {
	ID    uint64 // returned by RequestReadIndex
	Index uint64 // commit index when the leader confirmed the read
}

// RequestReadIndex requests a read index from the leader: a state that has applied it is recent enough for the read.
// Advance returns a ReadState with the returned ID once the index is applied. The error is ErrNoLeader or
// ErrTooManyReads; a node retries after either.
func (m *Member) RequestReadIndex() (id uint64, err error) {
	if m.leader == raft.None {
		return 0, ErrNoLeader
	}
	if len(m.pendingReads) >= maxPendingReads {
		return 0, ErrTooManyReads
	}
	m.lastReadID++
	m.pendingReads[m.lastReadID] = true
	m.rawNode.ReadIndex(m.readContext(m.lastReadID))
	return m.lastReadID, nil
}

// CancelRead removes a pending read that the caller no longer waits for. Otherwise, reads whose leader has failed
// would stay pending.
func (m *Member) CancelRead(id uint64) { delete(m.pendingReads, id) }

// readContext returns the context that identifies a read of this member in messages to the leader.
func (m *Member) readContext(id uint64) []byte { return fmt.Appendf(nil, "%d-%d", m.ID, id) }

// confirmRead records the leader's response to a read if the read belongs to this member and is still pending.
func (m *Member) confirmRead(state raft.ReadState) {
	var member, id uint64
	if _, err := fmt.Sscanf(string(state.RequestCtx), "%d-%d", &member, &id); err != nil {
		return
	}
	if member == m.ID && m.pendingReads[id] {
		m.confirmedReads = append(m.confirmedReads, ReadState{ID: id, Index: state.Index})
	}
}

// popReadyReads removes and returns the confirmed reads whose index is applied.
func (m *Member) popReadyReads() []ReadState {
	var ready []ReadState
	m.confirmedReads = slices.DeleteFunc(m.confirmedReads, func(read ReadState) bool {
		if read.Index > m.appliedIndex {
			return false
		}
		delete(m.pendingReads, read.ID)
		ready = append(ready, read)
		return true
	})
	return ready
}
