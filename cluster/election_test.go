package cluster

import (
	"testing"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/raftlog"
)

// waitingLearner is a member that waits to be added to a group as number 2.
func waitingLearner(t *testing.T) *Member {
	t.Helper()
	saved := &raftlog.SavedState{Identity: "disk-2", HardState: &raftpb.HardState{}, Snapshot: &raftpb.Snapshot{}}
	member, _, err := Start(2, saved, nil, NewState(nil), Timing{ElectionTicks: 10, HeartbeatTicks: 2, CompactAfterEntries: 20}, 2)
	if err != nil {
		t.Fatal(err)
	}
	return member
}

// deliverTo has a member act and hands its messages to another one, but for those that are lost.
func deliverTo(t *testing.T, from, to *Member, isLost func(*raftpb.Message) bool) {
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

// A member that is added needs a snapshot, and the network loses it. Raft sends the member nothing else until the snapshot
// is reported as received or lost, so that the member stayed behind for good. The leader has to give it up and send it
// again.
func TestLostSnapshotIsSentAgain(t *testing.T) {
	leader := singleMember(t, NewState(nil), &snapshotCounter{})
	learner := waitingLearner(t)
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
	isNever := func(*raftpb.Message) bool { return false }
	for range 20 * leader.timing.ElectionTicks {
		leader.Tick()
		learner.Tick()
		deliverTo(t, leader, learner, isFirstSnapshot)
		deliverTo(t, learner, leader, isNever)
	}
	if sent != 2 {
		t.Errorf("%d snapshots were sent, want 2", sent)
	}
	if learner.appliedIndex == 0 || learner.appliedIndex != leader.appliedIndex {
		t.Errorf("the learner has applied %d, the leader %d", learner.appliedIndex, leader.appliedIndex)
	}
}

// A member's disk was lost and made anew, and it starts again under its number. It may have forgotten a vote.
// What it sends has to be dropped, so that it can't vote twice in a term.
func TestMessagesOfAnotherDiskAreDropped(t *testing.T) {
	leader := singleMember(t, NewState(nil), &snapshotCounter{})
	leader.State.Identities[2] = "disk-2"
	term := leader.Status().Term
	higherTerm := &raftpb.Message{Type: raftpb.MsgApp.Enum(), From: proto.Uint64(2), To: proto.Uint64(1), Term: proto.Uint64(term + 5)}
	leader.Step("another disk", "", higherTerm)
	if leader.RejectedMessages != 1 || leader.Status().Term != term {
		t.Errorf("%d messages dropped, term %d, want 1 and %d", leader.RejectedMessages, leader.Status().Term, term)
	}
	leader.Step("disk-2", "", higherTerm)
	if leader.RejectedMessages != 1 || leader.Status().Term != term+5 {
		t.Errorf("a message of the known disk: %d dropped, term %d", leader.RejectedMessages, leader.Status().Term)
	}
}

// Two members with the same timeout would campaign at once, term after term. The timeout is drawn anew each time, within
// its bounds, and the same seed draws the same ones.
func TestElectionTimeoutsAreDrawnFromTheSeed(t *testing.T) {
	timing := Timing{ElectionTicks: 10}
	one := &Member{ID: 1, timing: timing, electionSeed: 7}
	same := &Member{ID: 1, timing: timing, electionSeed: 7}
	drawn := map[int]bool{}
	for range 100 {
		one.resetElectionTimeout()
		same.resetElectionTimeout()
		if one.electionTimeout != same.electionTimeout {
			t.Fatalf("%d and %d of the same seed", one.electionTimeout, same.electionTimeout)
		}
		if one.electionTimeout < timing.ElectionTicks || one.electionTimeout >= 2*timing.ElectionTicks {
			t.Fatalf("%d ticks", one.electionTimeout)
		}
		drawn[one.electionTimeout] = true
	}
	if len(drawn) != timing.ElectionTicks {
		t.Errorf("%d of %d timeouts were drawn", len(drawn), timing.ElectionTicks)
	}
}

func TestLearnerDoesNotCampaign(t *testing.T) {
	learner := waitingLearner(t)
	for range 100 {
		learner.Tick()
		if _, _, _, err := learner.Advance(func(raftlog.Batch) error { return nil }); err != nil {
			t.Fatal(err)
		}
	}
	if learner.role != raft.StateFollower || learner.Status().Term != 0 {
		t.Errorf("role %v, term %d", learner.role, learner.Status().Term)
	}
}
