package cluster

import (
	"fmt"
	"testing"

	"go.etcd.io/raft/v3"

	"harehook.dev/harehook/raftlog"
)

// snapshotCounter is a log in memory that counts the snapshots it is given.
type snapshotCounter struct{ snapshots int }

func (c *snapshotCounter) save(b raftlog.Batch) error {
	if b.Snapshot != nil {
		c.snapshots++
	}
	return nil
}

// singleMember starts a group of one whose log is cut after 20 entries, and has it lead.
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

// A member does nothing else while it makes a snapshot, which costs by the whole state. Small states are cut every 21
// entries; a large one has to wait until its log has an eighth of the snapshot's size, but not for ever.
func TestLargeSnapshotsWaitForALongerLog(t *testing.T) {
	cases := map[string]struct {
		size          float64 // part of the expected one
		wantSnapshots int     // of 100 entries
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
				t.Errorf("state of %d bytes: %d snapshots, want %d", member.snapshotBytes, disk.snapshots, c.wantSnapshots)
			}
			for range 120 { // ten times the entries are the most that a snapshot waits for
				mustRegister(t, member, disk, "m", member.appliedIndex+1)
			}
			if disk.snapshots == 0 {
				t.Errorf("the log of %d entries is never cut", member.Status().Entries)
			}
		})
	}
}

// A member that was added gets a snapshot from before, which does not name it; it ignores the snapshot and is sent the
// same one again, for good. So the log has to be cut after each change of members, and the snapshot has to name them.
func TestLogIsCutAfterAChangeOfMembers(t *testing.T) {
	disk := &snapshotCounter{}
	member := singleMember(t, NewState(nil), disk)
	if err := member.ChangeMembers(MembershipChange{Learn: []uint64{2}}); err != nil {
		t.Fatal(err)
	}
	mustAdvance(t, member, disk)
	if disk.snapshots != 1 {
		t.Errorf("%d snapshots, want 1", disk.snapshots)
	}
	snapshot, err := member.storage.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if learners := snapshot.GetMetadata().GetConfState().GetLearners(); len(learners) != 1 || learners[0] != 2 {
		t.Errorf("the snapshot names the learners %v, want 2", learners)
	}
}
