package configsync

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// newLeaseStatus returns a lease as it appears in a status at the given time; it is live if it expires after that time.
func newLeaseStatus(name string, accepted uint64, at, expires time.Time, behind time.Duration) LeaseStatus {
	return LeaseStatus{Name: name, Accepted: accepted, Live: at.Before(expires), Expires: expires, Behind: behind}
}

func newMemberStatus(member string, at time.Time, revision uint64, leases ...LeaseStatus) MemberStatus {
	return MemberStatus{Member: member, At: at, Revision: revision, Settled: true, Leases: leases}
}

// The converged revision is the lowest revision that any follower with a lease has accepted, across all members.
func TestMergeCombinesMembers(t *testing.T) {
	now := at(100)
	convergence := Merge([]MemberStatus{
		newMemberStatus("m2", now, 9, newLeaseStatus("d", 7, now, at(102), 4*time.Second), newLeaseStatus("c", 7, now, at(101), 4*time.Second)),
		newMemberStatus("m1", now, 9, newLeaseStatus("a", 9, now, at(102), 0), newLeaseStatus("b", 8, now, at(102), time.Second)),
	}, []string{"m1", "m2"})
	if !convergence.Known || convergence.Revision != 9 || convergence.ConvergedRevision != 7 || convergence.Live != 4 {
		t.Errorf("got %+v, want known revision 9, converged revision 7 and 4 live followers", convergence)
	}
	var behind []string
	for _, follower := range convergence.Behind {
		behind = append(behind, follower.Name+" at "+follower.Member+" for "+follower.Behind.String())
	}
	if diff := cmp.Diff([]string{"c at m2 for 4s", "d at m2 for 4s", "b at m1 for 1s"}, behind); diff != "" {
		t.Errorf("followers behind (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]MemberProgress{{"m1", 9, 2}, {"m2", 9, 2}}, convergence.Members); diff != "" {
		t.Errorf("members (-want +got):\n%s", diff)
	}
}

// After a follower has moved to another member, its old lease at the first member must not delay convergence, even
// though the members' clocks differ by an hour.
func TestMergeUsesLeaseRenewedLast(t *testing.T) {
	now, ahead := at(100), at(3700)
	previousMember := newMemberStatus("m1", ahead, 9, newLeaseStatus("a", 3, ahead, ahead.Add(time.Second), time.Second))
	currentMember := newMemberStatus("m2", now, 9, newLeaseStatus("a", 9, now, now.Add(2*time.Second), 0))
	for _, statuses := range [][]MemberStatus{{previousMember, currentMember}, {currentMember, previousMember}} {
		if convergence := Merge(statuses, []string{"m1", "m2"}); convergence.ConvergedRevision != 9 || convergence.Live != 1 || len(convergence.Behind) != 0 {
			t.Errorf("got %+v, want converged revision 9, 1 live follower and none behind", convergence)
		}
	}
	// The follower restarted without records at m2: the revision accepted before the restart is ignored.
	currentMember.Leases[0].Accepted = 0
	if convergence := Merge([]MemberStatus{previousMember, currentMember}, []string{"m1", "m2"}); convergence.ConvergedRevision != 0 {
		t.Errorf("after a restart without records: got converged revision %d, want 0", convergence.ConvergedRevision)
	}
	// If both leases were renewed at the same time, the lower revision is used.
	currentMember.Leases[0].Accepted, previousMember.Leases[0].Expires = 9, ahead.Add(2*time.Second)
	for _, statuses := range [][]MemberStatus{{previousMember, currentMember}, {currentMember, previousMember}} {
		if convergence := Merge(statuses, []string{"m1", "m2"}); convergence.ConvergedRevision != 3 {
			t.Errorf("leases renewed at the same time: got converged revision %d, want 3", convergence.ConvergedRevision)
		}
	}
}

// A member that did not answer or has just started may have unknown leases, so the result is uncertain.
func TestMergeListsUnknownMembers(t *testing.T) {
	now := at(100)
	restarted := newMemberStatus("m3", now, 9)
	restarted.Settled = false
	convergence := Merge([]MemberStatus{newMemberStatus("m1", now, 9), restarted}, []string{"m3", "m2", "m1"})
	if convergence.Known {
		t.Error("got Known with unknown members, want it false")
	}
	if diff := cmp.Diff([]UnknownMember{{"m2", ReasonNoAnswer}, {"m3", ReasonNotSettled}}, convergence.UnknownMembers); diff != "" {
		t.Errorf("unknown members (-want +got):\n%s", diff)
	}
	if convergence := Merge(nil, nil); !convergence.Known || convergence.Revision != 0 || convergence.ConvergedRevision != 0 {
		t.Errorf("without members: got %+v, want known with revisions 0", convergence)
	}
}

// An expired lease does not delay convergence; its follower is listed as stale.
func TestMergeExcludesStaleFollowers(t *testing.T) {
	now := at(100)
	convergence := Merge([]MemberStatus{newMemberStatus("m1", now, 9,
		newLeaseStatus("a", 9, now, at(102), 0), newLeaseStatus("b", 2, now, at(99), 50*time.Second))}, []string{"m1"})
	if convergence.ConvergedRevision != 9 || convergence.Live != 1 || len(convergence.Stale) != 1 || convergence.Stale[0].Name != "b" {
		t.Errorf("got %+v, want converged revision 9, 1 live follower and b stale", convergence)
	}
}

// A member that lags behind the group considers its followers up to date. Their lag must be computed from the other
// members.
func TestMergeReportsLagOfFollowerAtLaggingMember(t *testing.T) {
	now := at(100)
	newest := newMemberStatus("m1", now, 9)
	newest.Recent = []CommitStatus{{5, 60 * time.Second}, {6, 40 * time.Second}, {9, time.Second}}
	lagging := newMemberStatus("m2", now, 5, newLeaseStatus("a", 5, now, at(102), 0))
	lagging.Recent = []CommitStatus{{5, 60 * time.Second}}
	convergence := Merge([]MemberStatus{newest, lagging}, []string{"m1", "m2"})
	if convergence.ConvergedRevision != 5 || len(convergence.Behind) != 1 || convergence.Behind[0].Behind != 40*time.Second {
		t.Errorf("got %+v, want converged revision 5 and 1 follower behind for 40s", convergence)
	}
}

// If there are two statuses of one member, the later one is used.
func TestMergeUsesLatestStatusOfMember(t *testing.T) {
	earlier := newMemberStatus("m1", at(100), 8, newLeaseStatus("a", 8, at(100), at(103), 0))
	later := newMemberStatus("m1", at(101), 9, newLeaseStatus("a", 9, at(101), at(104), 0))
	for _, statuses := range [][]MemberStatus{{earlier, later}, {later, earlier}} {
		if convergence := Merge(statuses, []string{"m1"}); convergence.ConvergedRevision != 9 || len(convergence.Members) != 1 {
			t.Errorf("got %+v, want converged revision 9 and 1 member", convergence)
		}
	}
}
