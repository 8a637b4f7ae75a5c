package configsync

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// leaseStatus is a lease of a status that was taken at a time; it is live if it expires later.
func leaseStatus(name string, accepted uint64, at, expires time.Time, behind time.Duration) LeaseStatus {
	return LeaseStatus{Name: name, Accepted: accepted, Live: at.Before(expires), Expires: expires, Behind: behind}
}

func memberStatus(member string, at time.Time, revision uint64, leases ...LeaseStatus) MemberStatus {
	return MemberStatus{Member: member, At: at, Revision: revision, Settled: true, Leases: leases}
}

// The converged revision is the lowest that a follower with a lease has accepted, over all members.
func TestMergeCombinesMembers(t *testing.T) {
	now := at(100)
	convergence := Merge([]MemberStatus{
		memberStatus("m2", now, 9, leaseStatus("d", 7, now, at(102), 4*time.Second), leaseStatus("c", 7, now, at(101), 4*time.Second)),
		memberStatus("m1", now, 9, leaseStatus("a", 9, now, at(102), 0), leaseStatus("b", 8, now, at(102), time.Second)),
	}, []string{"m1", "m2"})
	if !convergence.Known || convergence.Revision != 9 || convergence.ConvergedRevision != 7 || convergence.Live != 4 {
		t.Errorf("%+v", convergence)
	}
	var behind []string
	for _, one := range convergence.Behind {
		behind = append(behind, one.Name+" at "+one.Member+" for "+one.Behind.String())
	}
	if diff := cmp.Diff([]string{"c at m2 for 4s", "d at m2 for 4s", "b at m1 for 1s"}, behind); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]MemberProgress{{"m1", 9, 2}, {"m2", 9, 2}}, convergence.Members); diff != "" {
		t.Error(diff)
	}
}

// A follower has moved to another member: its lease at the first one must not hold convergence back, though the members'
// clocks differ by an hour.
func TestMergeUsesLeaseRenewedLast(t *testing.T) {
	now, ahead := at(100), at(3700)
	leftBehind := memberStatus("m1", ahead, 9, leaseStatus("a", 3, ahead, ahead.Add(time.Second), time.Second))
	came := memberStatus("m2", now, 9, leaseStatus("a", 9, now, now.Add(2*time.Second), 0))
	for _, statuses := range [][]MemberStatus{{leftBehind, came}, {came, leftBehind}} {
		if convergence := Merge(statuses, []string{"m1", "m2"}); convergence.ConvergedRevision != 9 || convergence.Live != 1 || len(convergence.Behind) != 0 {
			t.Errorf("%+v", convergence)
		}
	}
	// It has begun anew at m2 without records: what it had accepted before does not count.
	came.Leases[0].Accepted = 0
	if convergence := Merge([]MemberStatus{leftBehind, came}, []string{"m1", "m2"}); convergence.ConvergedRevision != 0 {
		t.Errorf("%+v", convergence)
	}
	// Renewed at the same time: the lower revision counts.
	came.Leases[0].Accepted, leftBehind.Leases[0].Expires = 9, ahead.Add(2*time.Second)
	for _, statuses := range [][]MemberStatus{{leftBehind, came}, {came, leftBehind}} {
		if convergence := Merge(statuses, []string{"m1", "m2"}); convergence.ConvergedRevision != 3 {
			t.Errorf("%+v", convergence)
		}
	}
}

// A member that did not answer, or has just started, may have leases that are not known: the result is uncertain.
func TestMergeListsUnknownMembers(t *testing.T) {
	now := at(100)
	restarted := memberStatus("m3", now, 9)
	restarted.Settled = false
	convergence := Merge([]MemberStatus{memberStatus("m1", now, 9), restarted}, []string{"m3", "m2", "m1"})
	if convergence.Known {
		t.Error("known without all members")
	}
	if diff := cmp.Diff([]UnknownMember{{"m2", ReasonNoAnswer}, {"m3", ReasonNotSettled}}, convergence.UnknownMembers); diff != "" {
		t.Error(diff)
	}
	if convergence := Merge(nil, nil); !convergence.Known || convergence.Revision != 0 || convergence.ConvergedRevision != 0 {
		t.Errorf("a group of nobody: %+v", convergence)
	}
}

// A lease that ran out does not hold convergence back; its follower is listed as stale.
func TestMergeLeavesOutStaleFollowers(t *testing.T) {
	now := at(100)
	convergence := Merge([]MemberStatus{memberStatus("m1", now, 9,
		leaseStatus("a", 9, now, at(102), 0), leaseStatus("b", 2, now, at(99), 50*time.Second))}, []string{"m1"})
	if convergence.ConvergedRevision != 9 || convergence.Live != 1 || len(convergence.Stale) != 1 || convergence.Stale[0].Name != "b" {
		t.Errorf("%+v", convergence)
	}
}

// A member that is behind itself takes its followers for up to date; the other members know since when they are not.
func TestMergeReportsLagOfFollowerAtLaggingMember(t *testing.T) {
	now := at(100)
	newest := memberStatus("m1", now, 9)
	newest.Recent = []CommitStatus{{5, 60 * time.Second}, {6, 40 * time.Second}, {9, time.Second}}
	lagging := memberStatus("m2", now, 5, leaseStatus("a", 5, now, at(102), 0))
	lagging.Recent = []CommitStatus{{5, 60 * time.Second}}
	convergence := Merge([]MemberStatus{newest, lagging}, []string{"m1", "m2"})
	if convergence.ConvergedRevision != 5 || len(convergence.Behind) != 1 || convergence.Behind[0].Behind != 40*time.Second {
		t.Errorf("%+v", convergence)
	}
}

// Of two statuses of one member the later one counts.
func TestMergeUsesLatestStatusOfMember(t *testing.T) {
	earlier := memberStatus("m1", at(100), 8, leaseStatus("a", 8, at(100), at(103), 0))
	later := memberStatus("m1", at(101), 9, leaseStatus("a", 9, at(101), at(104), 0))
	for _, statuses := range [][]MemberStatus{{earlier, later}, {later, earlier}} {
		if convergence := Merge(statuses, []string{"m1"}); convergence.ConvergedRevision != 9 || len(convergence.Members) != 1 {
			t.Errorf("%+v", convergence)
		}
	}
}
