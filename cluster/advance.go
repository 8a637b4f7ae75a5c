package cluster

import (
	"encoding/json"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"harehook.dev/harehook/raftlog"
)

// Propose forwards a command to the leader. Success does not mean that the command is committed: Advance returns it
// among the applied commands once it is applied. The error is that of State.Validate, ErrNoLeader, or
// raft.ErrProposalDropped.
func (m *Member) Propose(c Command) error {
	if err := m.State.Validate(c); err != nil {
		return err
	}
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if m.leader == raft.None {
		return ErrNoLeader
	}
	return m.rawNode.Propose(data)
}

// Advance processes all pending work. It returns the messages to send, the commands that were applied, and the reads
// that may be answered from the state.
//
// Entries, hard state and snapshots are passed to save; the messages that depend on them are returned only after save
// has succeeded. The member must not be used after an error. The error is that of save, or an entry or a snapshot could
// not be applied.
func (m *Member) Advance(save func(raftlog.Batch) error) (messages []*raftpb.Message, applied []AppliedCommand, reads []ReadState, err error) {
	for m.rawNode.HasReady() {
		ready := m.rawNode.Ready()
		if err := m.handleReady(ready, save); err != nil {
			return nil, nil, nil, err
		}
		messages = append(messages, ready.Messages...)
		m.rawNode.Advance(ready)
	}
	if err := m.compact(save); err != nil {
		return nil, nil, nil, err
	}
	applied = m.appliedCommands
	m.appliedCommands = nil
	return messages, applied, m.popReadyReads(), nil
}

// handleReady processes a Ready of the raft library in the required order: persist, then apply.
func (m *Member) handleReady(ready raft.Ready, save func(raftlog.Batch) error) error {
	if ready.SoftState != nil {
		m.leader = ready.Lead
		m.role = ready.RaftState
	}
	if err := m.persist(ready, save); err != nil {
		return err
	}
	m.trackSnapshots(ready.Messages)
	for _, entry := range ready.CommittedEntries {
		if err := m.applyEntry(entry); err != nil {
			return err
		}
	}
	for _, read := range ready.ReadStates {
		m.confirmRead(read)
	}
	return nil
}

// persist saves the new snapshot, entries and hard state, and then adds them to the in-memory log and the state.
func (m *Member) persist(ready raft.Ready, save func(raftlog.Batch) error) error {
	batch := raftlog.Batch{Entries: ready.Entries}
	if !raft.IsEmptyHardState(ready.HardState) {
		batch.HardState = ready.HardState
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		batch.Snapshot = ready.Snapshot
	}
	if batch.Empty() {
		return nil
	}
	if err := save(batch); err != nil {
		return err
	}
	if batch.Snapshot != nil {
		if err := m.restore(batch.Snapshot); err != nil {
			return err
		}
	}
	if err := m.appendEntries(batch.Entries); err != nil {
		return err
	}
	if batch.HardState == nil {
		return nil
	}
	return m.storage.SetHardState(batch.HardState)
}

// restore replaces the in-memory log and the state with a snapshot.
func (m *Member) restore(snapshot *raftpb.Snapshot) error {
	if err := m.storage.ApplySnapshot(snapshot); err != nil {
		return err
	}
	if err := m.State.Restore(snapshot.GetData()); err != nil {
		return err
	}
	m.appliedIndex = snapshot.GetMetadata().GetIndex()
	m.confState = snapshot.GetMetadata().GetConfState()
	m.membersChanged = false
	m.logBytes = 0
	m.snapshotBytes = len(snapshot.GetData())
	return nil
}

// appendEntries appends entries to the in-memory log.
func (m *Member) appendEntries(entries []*raftpb.Entry) error {
	for _, entry := range entries {
		m.logBytes += len(entry.GetData())
	}
	return m.storage.Append(entries)
}

// applyEntry applies a committed entry. A new leader's first entry has no data and is skipped.
func (m *Member) applyEntry(entry *raftpb.Entry) error {
	m.appliedIndex = entry.GetIndex()
	switch {
	case entry.GetType() == raftpb.EntryConfChange:
		return m.applyConfChange(entry.GetData())
	case entry.GetType() == raftpb.EntryConfChangeV2:
		return m.applyConfChangeV2(entry.GetData())
	case len(entry.GetData()) > 0:
		command, result := m.State.Apply(entry.GetIndex(), entry.GetTerm(), entry.GetData())
		m.appliedCommands = append(m.appliedCommands, AppliedCommand{Command: command, Result: result, Index: entry.GetIndex()})
	}
	return nil
}
