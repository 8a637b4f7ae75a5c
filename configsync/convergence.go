package configsync

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// UnknownReason says why the leases of a member are not all known.
type UnknownReason string

// The reasons for doubt.
const (
	ReasonNoAnswer   UnknownReason = "did not answer"
	ReasonNotSettled UnknownReason = "has not served for a lease's time since it started"
)

// UnknownMember is a member whose leases are not all known, and why.
type UnknownMember struct {
	Member string        `json:"member"`
	Reason UnknownReason `json:"reason"`
}

// FollowerStatus is a follower as all members together know it.
type FollowerStatus struct {
	LeaseStatus
	Member string `json:"member"` // that heard it last
}

// MemberProgress is how far a member is.
type MemberProgress struct {
	Member   string `json:"member"`
	Revision uint64 `json:"revision"`
	Live     int    `json:"live"` // followers that it heard last
}

// Convergence tells which revision is in force everywhere, over all members.
type Convergence struct {
	Revision          uint64           `json:"revision"` // the newest of any member
	ConvergedRevision uint64           `json:"in_force"` // accepted by every follower with a live lease that is known
	Known             bool             `json:"known"`    // false: the revision in force may be older than InForce, because of the doubts
	UnknownMembers    []UnknownMember  `json:"doubts,omitempty"`
	Live              int              `json:"live"`
	Members           []MemberProgress `json:"members"`          // those that answered, by name
	Behind            []FollowerStatus `json:"behind,omitempty"` // with a live lease, the least revision first, then by name
	Stale             []FollowerStatus `json:"stale,omitempty"`  // without one, by name: they go on with what they hold
}

// Merge joins the statuses of members that were asked at about the same time. Members names all that followers may be
// connected to; one without a status, or with one that is not settled, makes the result doubtful. Of several leases of
// one follower the one that was renewed last counts: how long ago is told by each member's own clock, so clocks need
// not agree.
func Merge(statuses []MemberStatus, members []string) Convergence {
	byMember := latestStatuses(statuses)
	force := Convergence{UnknownMembers: unknownMembers(byMember, members)}
	force.Known = len(force.UnknownMembers) == 0
	followers := latestLeases(byMember)
	live := map[string]int{}
	for _, follower := range followers {
		if follower.Live {
			live[follower.Member]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byMember)) {
		status := byMember[name]
		force.Revision = max(force.Revision, status.Revision)
		force.Members = append(force.Members, MemberProgress{Member: name, Revision: status.Revision, Live: live[name]})
	}
	force.addFollowers(followers, byMember)
	return force
}

// addFollowers finds the revision in force and who is behind.
func (f *Convergence) addFollowers(followers map[string]FollowerStatus, byMember map[string]MemberStatus) {
	f.ConvergedRevision = f.Revision
	for _, name := range slices.Sorted(maps.Keys(followers)) {
		follower := followers[name]
		if follower.Accepted < f.Revision {
			follower.Behind = max(follower.Behind, longestLag(follower.Accepted, byMember))
		}
		if !follower.Live {
			f.Stale = append(f.Stale, follower)
			continue
		}
		f.Live++
		f.ConvergedRevision = min(f.ConvergedRevision, follower.Accepted)
		if follower.Accepted < f.Revision {
			f.Behind = append(f.Behind, follower)
		}
	}
	slices.SortStableFunc(f.Behind, func(a, b FollowerStatus) int { return cmp.Compare(a.Accepted, b.Accepted) })
}

// latestStatuses keeps the latest status of each member.
func latestStatuses(statuses []MemberStatus) map[string]MemberStatus {
	latest := map[string]MemberStatus{}
	for _, status := range statuses {
		if other, seen := latest[status.Member]; !seen || status.At.After(other.At) {
			latest[status.Member] = status
		}
	}
	return latest
}

// unknownMembers lists the members whose leases are not all known, by name.
func unknownMembers(byMember map[string]MemberStatus, members []string) (found []UnknownMember) {
	for _, name := range members {
		if _, answered := byMember[name]; !answered {
			found = append(found, UnknownMember{Member: name, Reason: ReasonNoAnswer})
		}
	}
	for name, status := range byMember {
		if !status.Settled {
			found = append(found, UnknownMember{Member: name, Reason: ReasonNotSettled})
		}
	}
	slices.SortFunc(found, func(a, b UnknownMember) int { return cmp.Compare(a.Member, b.Member) })
	return slices.Compact(found)
}

// latestLeases gives for each follower the lease that was renewed last; of two renewed at once the one that has
// accepted less.
func latestLeases(byMember map[string]MemberStatus) map[string]FollowerStatus {
	latest := map[string]FollowerStatus{}
	left := map[string]time.Duration{} // of the lease
	for member, status := range byMember {
		for _, lease := range status.Leases {
			remains := lease.Expires.Sub(status.At)
			other, seen := latest[lease.Name]
			newer := remains > left[lease.Name]
			same := remains == left[lease.Name]
			if !seen || newer || same && leaseBefore(lease, member, other) {
				latest[lease.Name], left[lease.Name] = FollowerStatus{LeaseStatus: lease, Member: member}, remains
			}
		}
	}
	return latest
}

// leaseBefore orders leases that were renewed at the same time.
func leaseBefore(lease LeaseStatus, member string, other FollowerStatus) bool {
	return cmp.Or(cmp.Compare(lease.Accepted, other.Accepted), cmp.Compare(member, other.Member)) < 0
}

// longestLag is for how long a revision after one has been committed at some member, as far back as they tell.
func longestLag(accepted uint64, byMember map[string]MemberStatus) (longest time.Duration) {
	for _, status := range byMember {
		for _, one := range status.Recent {
			if one.Revision > accepted {
				longest = max(longest, one.Age)
				break
			}
		}
	}
	return longest
}
