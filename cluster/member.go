package cluster

import (
	"io"
	"log"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/raftlog"
)

const (
	maxMessageBytes     = 1 << 20              // size of the entries in one message
	maxUncommittedBytes = 16 * maxMessageBytes // size of a leader's uncommitted proposals; more are dropped
	maxInflightMessages = 64                   // unacknowledged messages to one member
)

// Timing holds a member's intervals in ticks.
type Timing struct {
	ElectionTicks       int    // minimum election timeout; the maximum is twice that
	HeartbeatTicks      int    // between two heartbeats of a leader
	CompactAfterEntries uint64 // log length at which the log is compacted; a large snapshot requires a longer log
}

// Member is one member of the group, run by one controller. It does no I/O and reads no clock: its inputs are ticks,
// messages and requests, and Advance processes them. It must be used by only one goroutine at a time.
type Member struct {
	ID       uint64 // its number in the group, never 0
	Identity string // identity of its disk
	State    *State // state as of the last applied entry

	RejectedMessages uint64 // number of messages whose sender is registered with another disk
	DiskReplaced     bool   // the group has registered another disk for this number: this member must stop

	timing  Timing
	rawNode *raft.RawNode
	storage *raft.MemoryStorage // contains only persisted data

	// Log. The snapshot is at or before appliedIndex, which is at or before the commit index.
	appliedIndex    uint64
	appliedCommands []AppliedCommand // since the last Advance
	logBytes        int              // size of the entries since the last snapshot
	snapshotBytes   int              // size of the last snapshot

	// Membership.
	confState         *raftpb.ConfState // as of appliedIndex
	membersChanged    bool              // since the last snapshot
	snapshotsInFlight map[uint64]int    // by receiver: ticks until the snapshot counts as lost

	// Elections.
	leader          uint64 // 0: none is known
	role            raft.StateType
	electionSeed    uint64
	randomCounter   uint64 // number of election timeouts drawn
	electionElapsed int    // ticks since the last message from a leader or the last vote granted
	electionTimeout int    // value of electionElapsed at which this member campaigns

	// Reads.
	lastReadID     uint64
	pendingReads   map[uint64]bool // by ReadState.ID: requested, but neither returned nor cancelled
	confirmedReads []ReadState     // confirmed by the leader; their index may not be applied yet
}

// AppliedCommand is a command that was applied, with its result.
type AppliedCommand struct {
	Command Command
	Result  Result
	Index   uint64 // index of its log entry
}

// Start creates a member from its saved state. A member with a new disk starts as one of the given voters; without
// voters it waits to be added to a group. The caller must save the returned batch before it uses the member. The seed
// determines the election timeouts. The error is a *raftlog.UnusableError if the snapshot cannot be read.
func Start(id uint64, saved *raftlog.SavedState, voters []uint64, state *State, timing Timing, seed uint64) (*Member, raftlog.Batch, error) {
	m := &Member{
		ID:                id,
		Identity:          saved.Identity,
		State:             state,
		timing:            timing,
		storage:           raft.NewMemoryStorage(),
		snapshotsInFlight: map[uint64]int{},
		electionSeed:      seed,
		pendingReads:      map[uint64]bool{},
	}
	var bootstrap raftlog.Batch
	if isNewDisk(saved) && len(voters) > 0 {
		var err error
		bootstrap, err = bootstrapBatch(state, voters)
		if err != nil {
			return nil, bootstrap, err
		}
		saved.Snapshot = bootstrap.Snapshot
		saved.HardState = bootstrap.HardState
	}
	if err := m.loadSaved(saved); err != nil {
		return nil, bootstrap, err
	}
	rawNode, err := raft.NewRawNode(m.raftConfig())
	if err != nil {
		return nil, bootstrap, err
	}
	m.rawNode = rawNode
	m.resetElectionTimeout()
	return m, bootstrap, nil
}

func (m *Member) raftConfig() *raft.Config {
	return &raft.Config{
		ID:                        m.ID,
		ElectionTick:              m.timing.ElectionTicks,
		HeartbeatTick:             m.timing.HeartbeatTicks,
		Storage:                   m.storage,
		Applied:                   m.appliedIndex,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true, // a leader that does not reach a majority within an election timeout steps down
		PreVote:                   true, // a member that was partitioned does not disrupt the leader when it reconnects
		StepDownOnRemoval:         true,
		Logger:                    &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
	}
}

func isNewDisk(saved *raftlog.SavedState) bool {
	return raft.IsEmptyHardState(saved.HardState) && raft.IsEmptySnap(saved.Snapshot) && len(saved.Entries) == 0
}

// bootstrapBatch returns the first batch of a new disk: all voters start from the same snapshot, which lists them.
func bootstrapBatch(state *State, voters []uint64) (raftlog.Batch, error) {
	data, err := state.Snapshot()
	if err != nil {
		return raftlog.Batch{}, err
	}
	metadata := &raftpb.SnapshotMetadata{
		Index:     proto.Uint64(1),
		Term:      proto.Uint64(1),
		ConfState: &raftpb.ConfState{Voters: slices.Sorted(slices.Values(voters))},
	}
	return raftlog.Batch{
		HardState: &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)},
		Snapshot:  &raftpb.Snapshot{Data: data, Metadata: metadata},
	}, nil
}

// loadSaved loads the saved snapshot, entries and hard state into the state and the in-memory log.
func (m *Member) loadSaved(saved *raftlog.SavedState) error {
	if !raft.IsEmptySnap(saved.Snapshot) {
		if err := m.restore(saved.Snapshot); err != nil {
			return &raftlog.UnusableError{Reason: "the snapshot cannot be restored", Err: err}
		}
	}
	if err := m.appendEntries(saved.Entries); err != nil {
		return err
	}
	return m.storage.SetHardState(saved.HardState)
}
