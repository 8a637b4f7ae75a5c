package cluster

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
)

// maxPendingReads bounds the reads that wait for the leader.
const maxPendingReads = 1024

// ReadState is a linearizable read that may be answered: the state holds all that was agreed when it was requested.
type ReadState struct {
	ID    uint64 // as RequestReadIndex gave it
	Index uint64 // the commit index when the leader confirmed it
}

// RequestReadIndex asks the leader for an index from which on the state is recent enough for a read. Advance returns the
// read's number once the state has it. The error is ErrNoLeader or ErrTooManyReads;
// a node retries after either.
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

// CancelRead forgets a read that waits: the leader that was asked may be gone.
func (m *Member) CancelRead(id uint64) { delete(m.pendingReads, id) }

// readContext names a read of this member in messages to the leader.
func (m *Member) readContext(id uint64) []byte { return fmt.Appendf(nil, "%d-%d", m.ID, id) }

// confirmRead takes the leader's answer to a read, if it is one of this member and still waits.
func (m *Member) confirmRead(state raft.ReadState) {
	var member, id uint64
	if _, err := fmt.Sscanf(string(state.RequestCtx), "%d-%d", &member, &id); err != nil {
		return
	}
	if member == m.ID && m.pendingReads[id] {
		m.confirmedReads = append(m.confirmedReads, ReadState{ID: id, Index: state.Index})
	}
}

// takeReadyReads gives the confirmed reads whose index is applied.
func (m *Member) takeReadyReads() []ReadState {
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
