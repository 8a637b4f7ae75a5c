package cluster

import (
	"testing"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/raftlog"
)

// startLearner starts member 2, which waits to be added to a group.
func startLearner(t *testing.T) *Member {
	t.Helper()
	saved := &raftlog.SavedState{Identity: "disk-2", HardState: &raftpb.HardState{}, Snapshot: &raftpb.Snapshot{}}
	member, _, err := Start(2, saved, nil, NewState(nil), Timing{ElectionTicks: 10, HeartbeatTicks: 2, CompactAfterEntries: 20}, 2)
	if err != nil {
		t.Fatal(err)
	}
	return member
}

// advanceAndDeliver advances a member and delivers its messages to another one, except for lost messages.
func advanceAndDeliver(t *testing.T, from, to *Member, isLost func(*raftpb.Message) bool) {
	t.Helper()
	messages, _, _, err := from.Advance(func(raftlog.Batch) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	for _, message := range messages {
		if message.GetTo() == to.ID && !isLost(message) {
			to.Step(from.Identity, "", message)
		}
	}
}

// A new member needs a snapshot, and the network loses it. Raft sends the member nothing else until the snapshot is
// reported as received or lost, so that the member would never catch up. The leader must report the snapshot as lost
// after a timeout, and send it again.
func TestLostSnapshotIsSentAgain(t *testing.T) {
	leader := singleMember(t, NewState(nil), &snapshotCounter{})
	learner := startLearner(t)
	if err := leader.ChangeMembers(MembershipChange{Learn: []uint64{learner.ID}}); err != nil {
		t.Fatal(err)
	}
	sent := 0
	isFirstSnapshot := func(message *raftpb.Message) bool {
		if message.GetType() != raftpb.MsgSnap {
			return false
		}
		sent++
		return sent == 1
	}
	neverLost := func(*raftpb.Message) bool { return false }
	for range 20 * leader.timing.ElectionTicks {
		leader.Tick()
		learner.Tick()
		advanceAndDeliver(t, leader, learner, isFirstSnapshot)
		advanceAndDeliver(t, learner, leader, neverLost)
	}
	if sent != 2 {
		t.Errorf("got %d snapshots sent, want 2", sent)
	}
	if learner.appliedIndex == 0 || learner.appliedIndex != leader.appliedIndex {
		t.Errorf("got applied index %d at the learner, want %d as at the leader, and greater than 0", learner.appliedIndex, leader.appliedIndex)
	}
}

// A member restarts under its number with a new disk after it lost the old one, and may have forgotten a vote. Its
// messages must be dropped, so that it cannot vote twice in a term.
func TestMessagesFromUnregisteredDiskAreDropped(t *testing.T) {
	leader := singleMember(t, NewState(nil), &snapshotCounter{})
	leader.State.Identities[2] = "disk-2"
	term := leader.Status().Term
	higherTerm := &raftpb.Message{Type: raftpb.MsgApp.Enum(), From: proto.Uint64(2), To: proto.Uint64(1), Term: proto.Uint64(term + 5)}
	leader.Step("another disk", "", higherTerm)
	if leader.RejectedMessages != 1 || leader.Status().Term != term {
		t.Errorf("message from another disk: got %d dropped and term %d, want 1 and %d", leader.RejectedMessages, leader.Status().Term, term)
	}
	leader.Step("disk-2", "", higherTerm)
	if leader.RejectedMessages != 1 || leader.Status().Term != term+5 {
		t.Errorf("message from the registered disk: got %d dropped and term %d, want 1 and %d", leader.RejectedMessages, leader.Status().Term, term+5)
	}
}

// Two members with the same timeout would campaign at the same time in each term. So each timeout must be random within
// its bounds, and the same seed must give the same timeouts.
func TestElectionTimeoutsAreDeterminedBySeed(t *testing.T) {
	timing := Timing{ElectionTicks: 10}
	member := &Member{ID: 1, timing: timing, electionSeed: 7}
	same := &Member{ID: 1, timing: timing, electionSeed: 7}
	seen := map[int]bool{}
	for range 100 {
		member.resetElectionTimeout()
		same.resetElectionTimeout()
		if member.electionTimeout != same.electionTimeout {
			t.Fatalf("got timeouts %d and %d with the same seed, want equal ones", member.electionTimeout, same.electionTimeout)
		}
		if member.electionTimeout < timing.ElectionTicks || member.electionTimeout >= 2*timing.ElectionTicks {
			t.Fatalf("got a timeout of %d ticks, want at least %d and less than %d", member.electionTimeout, timing.ElectionTicks, 2*timing.ElectionTicks)
		}
		seen[member.electionTimeout] = true
	}
	if len(seen) != timing.ElectionTicks {
		t.Errorf("got %d different timeouts, want %d", len(seen), timing.ElectionTicks)
	}
}

func TestLearnerDoesNotCampaign(t *testing.T) {
	learner := startLearner(t)
	for range 100 {
		learner.Tick()
		if _, _, _, err := learner.Advance(func(raftlog.Batch) error { return nil }); err != nil {
			t.Fatal(err)
		}
	}
	if learner.role != raft.StateFollower || learner.Status().Term != 0 {
		t.Errorf("got role %v and term %d, want %v and 0", learner.role, learner.Status().Term, raft.StateFollower)
	}
}
