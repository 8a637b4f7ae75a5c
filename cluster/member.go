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
	maxMessageBytes     = 1 << 20              // of entries in one message
	maxUncommittedBytes = 16 * maxMessageBytes // of proposals at a leader; more are dropped
	maxInflightMessages = 64                   // to one member without an answer
)

// Timing are a member's intervals in ticks.
type Timing struct {
	ElectionTicks       int    // without a leader until an election, at least; twice that at most
	HeartbeatTicks      int    // between two heartbeats of a leader
	CompactAfterEntries uint64 // entries after which the log is cut to a snapshot; a large snapshot waits for more of them
}

// Member is one controller's part in the group. It does no I/O and reads no clock: it is fed ticks, messages and
// requests, and Advance has it act. It is used by one goroutine.
type Member struct {
	ID       uint64 // its number in the group, never 0
	Identity string // of its disk
	State    *State // as of the last applied entry

	RejectedMessages uint64 // from another disk than the one that is registered for their sender
	DiskReplaced     bool   // the group knows another disk under this number: this member must not go on

	timing  Timing
	rawNode *raft.RawNode
	storage *raft.MemoryStorage // has what was persisted, and nothing else

	// Of the log: the snapshot is at or before appliedIndex, which is at or before the commit index.
	appliedIndex    uint64
	appliedCommands []AppliedCommand // since the last Advance
	logBytes        int              // of entries since the last snapshot
	snapshotBytes   int              // of the last snapshot

	// Of the members.
	confState         *raftpb.ConfState // as of appliedIndex
	membersChanged    bool              // since the last snapshot
	snapshotsInFlight map[uint64]int    // by member: ticks until one counts as lost

	// Of elections.
	leader          uint64 // 0: none is known
	role            raft.StateType
	electionSeed    uint64
	randomCounter   uint64
	electionElapsed int // ticks since the leader was heard or a vote was given
	electionTimeout int // ticks of electionElapsed at which this member campaigns

	// Of reads.
	lastReadID     uint64
	pendingReads   map[uint64]bool // by number: those that were requested and not yet returned or cancelled
	confirmedReads []ReadState     // by the leader; their index may not be applied yet
}

// AppliedCommand is a command that was applied.
type AppliedCommand struct {
	Command Command
	Result  Result
	Index   uint64 // of its entry
}

// Start makes a member of what its disk has. A new disk joins the voters that it is given; with none it waits to be
// added to a group. The batch has to be saved before anything else. The seed decides the election timeouts. The error is
// a *raftlog.UnusableError if the snapshot cannot be read.
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
	var first raftlog.Batch
	if isNewDisk(saved) && len(voters) > 0 {
		var err error
		first, err = bootstrapBatch(state, voters)
		if err != nil {
			return nil, first, err
		}
		saved.Snapshot = first.Snapshot
		saved.HardState = first.HardState
	}
	if err := m.loadSaved(saved); err != nil {
		return nil, first, err
	}
	rawNode, err := raft.NewRawNode(m.raftConfig())
	if err != nil {
		return nil, first, err
	}
	m.rawNode = rawNode
	m.resetElectionTimeout()
	return m, first, nil
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
		CheckQuorum:               true, // a leader without a majority for an election timeout steps down
		PreVote:                   true, // a member that was cut off does not depose a leader when it is back
		StepDownOnRemoval:         true,
		Logger:                    &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
	}
}

func isNewDisk(saved *raftlog.SavedState) bool {
	return raft.IsEmptyHardState(saved.HardState) && raft.IsEmptySnap(saved.Snapshot) && len(saved.Entries) == 0
}

// bootstrapBatch is what a new disk saves: all voters begin with the same snapshot, which names them.
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

// loadSaved takes what the disk has into the state and the log in memory.
func (m *Member) loadSaved(saved *raftlog.SavedState) error {
	if !raft.IsEmptySnap(saved.Snapshot) {
		if err := m.restore(saved.Snapshot); err != nil {
			return &raftlog.UnusableError{Reason: "its snapshot", Err: err}
		}
	}
	if err := m.appendEntries(saved.Entries); err != nil {
		return err
	}
	return m.storage.SetHardState(saved.HardState)
}
