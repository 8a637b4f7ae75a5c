package cluster

import (
	"fmt"
	"testing"

	"go.etcd.io/raft/v3"

	"harehook.dev/harehook/raftlog"
)

// snapshotCounter is a storage that only counts the saved snapshots.
type snapshotCounter struct{ snapshots int }

func (c *snapshotCounter) save(b raftlog.Batch) error {
	if b.Snapshot != nil {
		c.snapshots++
	}
	return nil
}

// singleMember starts a group of one, which compacts its log after 20 entries, and advances it until it is the leader.
func singleMember(t *testing.T, state *State, disk *snapshotCounter) *Member {
	t.Helper()
	timing := Timing{ElectionTicks: 10, HeartbeatTicks: 2, CompactAfterEntries: 20}
	member, _, err := Start(1, &raftlog.SavedState{Identity: "disk"}, []uint64{1}, state, timing, 1)
	if err != nil {
		t.Fatal(err)
	}
	for member.role != raft.StateLeader {
		member.Tick()
		mustAdvance(t, member, disk)
	}
	return member
}

func mustAdvance(t *testing.T, member *Member, disk *snapshotCounter) {
	t.Helper()
	if _, _, _, err := member.Advance(disk.save); err != nil {
		t.Fatal(err)
	}
}

func mustRegister(t *testing.T, member *Member, disk *snapshotCounter, client string, seq uint64) {
	t.Helper()
	register := Command{Kind: CommandRegister, Client: client, Seq: seq, Member: 7, Identity: "x"}
	if err := member.Propose(register); err != nil {
		t.Fatal(err)
	}
	mustAdvance(t, member, disk)
}

// A member does nothing else while it creates a snapshot, and the cost grows with the size of the state. With a small
// state the log is compacted every 21 entries. With a large state, compaction must wait until the log reaches an eighth
// of the snapshot's size, or the maximum number of entries.
func TestLargeSnapshotsRequireLongerLog(t *testing.T) {
	cases := map[string]struct {
		size          float64 // fraction of the expected state size
		wantSnapshots int     // during 100 entries
	}{
		"small": {size: 0.01, wantSnapshots: 4},
		"large": {size: 0.2, wantSnapshots: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			state, _ := filledState(t, c.size)
			disk := &snapshotCounter{}
			member := singleMember(t, state, disk)
			for i := range 100 {
				mustRegister(t, member, disk, fmt.Sprint("m-", i), 1)
			}
			if disk.snapshots != c.wantSnapshots {
				t.Errorf("state of %d bytes: got %d snapshots, want %d", member.snapshotBytes, disk.snapshots, c.wantSnapshots)
			}
			for range 120 { // the log is compacted after ten times CompactAfterEntries at the latest
				mustRegister(t, member, disk, "m", member.appliedIndex+1)
			}
			if disk.snapshots == 0 {
				t.Errorf("the log is not compacted at %d entries", member.Status().Entries)
			}
		})
	}
}

// A new member that receives a snapshot from before it was added ignores the snapshot, which does not list the member,
// and is sent the same one again forever. So the log must be compacted after each membership change, and the new
// snapshot must list the members.
func TestLogIsCompactedAfterMembershipChange(t *testing.T) {
	disk := &snapshotCounter{}
	member := singleMember(t, NewState(nil), disk)
	if err := member.ChangeMembers(MembershipChange{Learn: []uint64{2}}); err != nil {
		t.Fatal(err)
	}
	mustAdvance(t, member, disk)
	if disk.snapshots != 1 {
		t.Errorf("got %d snapshots, want 1", disk.snapshots)
	}
	snapshot, err := member.storage.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if learners := snapshot.GetMetadata().GetConfState().GetLearners(); len(learners) != 1 || learners[0] != 2 {
		t.Errorf("got learners %v in the snapshot, want [2]", learners)
	}
}
