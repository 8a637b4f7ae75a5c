package cluster

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/raftlog"
)

// Advance does all that is due. What is to be kept is handed to save, and only once that has returned do the messages
// that promise it leave. After an error of save the member must not go on.
func (m *Member) Advance(save func(raftlog.Batch) error) (out []*raftpb.Message, done []AppliedCommand, reads []ReadState, err error) {
	for m.rawNode.HasReady() {
		ready := m.rawNode.Ready()
		if err := m.persist(ready, save); err != nil {
			return nil, nil, nil, err
		}
		out = append(out, ready.Messages...)
		m.trackSnapshots(ready.Messages)
		for _, entry := range ready.CommittedEntries {
			if err := m.apply(entry); err != nil {
				return nil, nil, nil, err
			}
		}
		m.confirmReads(ready.ReadStates)
		m.rawNode.Advance(ready)
	}
	if err := m.compact(save); err != nil {
		return nil, nil, nil, err
	}
	done, m.appliedCommands = m.appliedCommands, nil
	return out, done, m.takeReadyReads(), nil
}

// persist has what is new saved, and takes it into the log in memory and the state.
func (m *Member) persist(ready raft.Ready, save func(raftlog.Batch) error) error {
	if ready.SoftState != nil {
		m.leader, m.role = ready.SoftState.Lead, ready.SoftState.RaftState
	}
	batch := raftlog.Batch{Entries: ready.Entries}
	if !raft.IsEmptyHardState(ready.HardState) {
		batch.HardState = ready.HardState
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		batch.Snapshot = ready.Snapshot
	}
	if !batch.Empty() {
		if err := save(batch); err != nil {
			return err
		}
	}
	if batch.Snapshot != nil {
		if err := m.restore(batch.Snapshot); err != nil {
			return err
		}
	}
	if err := m.appendEntries(ready.Entries); err != nil {
		return err
	}
	if batch.HardState != nil {
		return m.storage.SetHardState(batch.HardState)
	}
	return nil
}

// restore takes a snapshot in place of the log in memory and of the state.
func (m *Member) restore(snapshot *raftpb.Snapshot) error {
	if err := m.storage.ApplySnapshot(snapshot); err != nil {
		return err
	}
	if err := m.State.Restore(snapshot.GetData()); err != nil {
		return err
	}
	m.confState, m.appliedIndex = snapshot.GetMetadata().GetConfState(), snapshot.GetMetadata().GetIndex()
	m.logBytes, m.snapshotBytes, m.membersChanged = 0, len(snapshot.GetData()), false
	return nil
}

// appendEntries takes entries into the log in memory.
func (m *Member) appendEntries(entries []*raftpb.Entry) error {
	for _, entry := range entries {
		m.logBytes += len(entry.GetData())
	}
	return m.storage.Append(entries)
}

// trackSnapshots notes the snapshots that leave, which may be lost on their way.
func (m *Member) trackSnapshots(messages []*raftpb.Message) {
	for _, message := range messages {
		if message.GetType() == raftpb.MsgSnap {
			m.snapshotsInFlight[message.GetTo()] = snapshotTimeoutElections * m.timing.ElectionTicks
		}
	}
}

// confirmReads takes the answers to this member's requests for what is fresh.
func (m *Member) confirmReads(states []raft.ReadState) {
	for _, state := range states {
		var id, read uint64
		if _, err := fmt.Sscanf(string(state.RequestCtx), "%d-%d", &id, &read); err == nil && id == m.ID && m.pendingReads[read] {
			m.confirmedReads = append(m.confirmedReads, ReadState{read, state.Index})
		}
	}
}

// takeReadyReads gives the reads whose answer the state has by now.
func (m *Member) takeReadyReads() (reads []ReadState) {
	m.confirmedReads = slices.DeleteFunc(m.confirmedReads, func(r ReadState) bool {
		if r.Index > m.appliedIndex {
			return false
		}
		delete(m.pendingReads, r.ID)
		reads = append(reads, r)
		return true
	})
	return reads
}

func (m *Member) apply(entry *raftpb.Entry) error {
	m.appliedIndex = entry.GetIndex()
	switch entry.GetType() {
	case raftpb.EntryConfChange:
		change := &raftpb.ConfChange{}
		if err := proto.Unmarshal(entry.GetData(), change); err != nil {
			return err
		}
		m.confState, m.membersChanged = m.rawNode.ApplyConfChange(change), true
	case raftpb.EntryConfChangeV2:
		change := &raftpb.ConfChangeV2{}
		if err := proto.Unmarshal(entry.GetData(), change); err != nil {
			return err
		}
		m.confState, m.membersChanged = m.rawNode.ApplyConfChange(change), true
		for _, one := range change.GetChanges() {
			if one.GetType() == raftpb.ConfChangeRemoveNode {
				delete(m.State.Identities, one.GetNodeId())
			}
		}
	default:
		if len(entry.GetData()) == 0 {
			return nil // a new leader's first
		}
		c, r := m.State.Apply(entry.GetIndex(), entry.GetTerm(), entry.GetData())
		m.appliedCommands = append(m.appliedCommands, AppliedCommand{c, r, entry.GetIndex()})
	}
	return nil
}
