package cluster

import (
	"encoding/json"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"harehook.dev/harehook/raftlog"
)

// Propose hands a command to the leader. That it was handed on says nothing of its outcome: Advance returns it among the
// applied commands once it is. The error is that of State.Validate, ErrNoLeader, or raft.ErrProposalDropped.
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

// Advance does all that is due. It returns the messages to send, the commands that were applied, and the reads that may
// be answered from the state.
//
// What is to be persisted is handed to save, and only once that has returned do the messages that promise it leave. After
// an error the member must not go on: it is save's, or says that an entry or a snapshot cannot be applied.
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
	return messages, applied, m.takeReadyReads(), nil
}

// handleReady does what the raft library asks for, in the order that it demands: persist, then apply.
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

// persist has what is new saved, and then takes it into the log in memory and the state.
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

// restore replaces the log in memory and the state by a snapshot.
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

// appendEntries appends entries to the log in memory.
func (m *Member) appendEntries(entries []*raftpb.Entry) error {
	for _, entry := range entries {
		m.logBytes += len(entry.GetData())
	}
	return m.storage.Append(entries)
}

// applyEntry applies a committed entry. An entry without data is the first one of a new leader.
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
