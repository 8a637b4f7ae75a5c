package configsync

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// UnknownReason is why the leases of a member are not all known. Its values are part of the tools' JSON.
type UnknownReason string

// The reasons.
const (
	ReasonNoAnswer   UnknownReason = "did not answer"
	ReasonNotSettled UnknownReason = "has not served for a lease's time since it started"
)

// UnknownMember is a member whose leases are not all known, and why.
type UnknownMember struct {
	Member string        `json:"member"`
	Reason UnknownReason `json:"reason"`
}

// FollowerStatus is what all members together know of a follower.
type FollowerStatus struct {
	LeaseStatus
	Member string `json:"member"` // that received its latest renewal
}

// MemberProgress is the revision of a member and the number of its followers.
type MemberProgress struct {
	Member   string `json:"member"`
	Revision uint64 `json:"revision"`
	Live     int    `json:"live"` // followers with a lease whose latest renewal it received
}

// Convergence tells which revision is in effect everywhere, over all members.
type Convergence struct {
	Revision          uint64           `json:"revision"` // the newest of any member
	ConvergedRevision uint64           `json:"in_force"` // accepted by every known follower with a lease
	Known             bool             `json:"known"`    // false: ConvergedRevision may be too new, because of UnknownMembers
	UnknownMembers    []UnknownMember  `json:"doubts,omitempty"`
	Live              int              `json:"live"`             // followers with a lease
	Members           []MemberProgress `json:"members"`          // those that answered, by name
	Behind            []FollowerStatus `json:"behind,omitempty"` // with a lease and below Revision; by revision, then by name
	// Stale are the followers whose lease has run out, by name: they go on with what they have. A member forgets a lease
	// one lease's time after it ran out, so a follower that stays away is listed for that long only.
	Stale []FollowerStatus `json:"stale,omitempty"`
}

// Merge combines the statuses of members that were queried at about the same time. Members names all that followers may be
// connected to; one without a status, or whose status is not settled, makes the result uncertain. Of several leases of one
// follower the one renewed last counts. Ages are by each member's own clock, so clocks need not agree.
func Merge(statuses []MemberStatus, members []string) Convergence {
	byMember := latestStatuses(statuses)
	convergence := Convergence{UnknownMembers: unknownMembers(byMember, members)}
	convergence.Known = len(convergence.UnknownMembers) == 0
	followers := latestLeases(byMember)
	live := liveByMember(followers)
	for _, name := range slices.Sorted(maps.Keys(byMember)) {
		status := byMember[name]
		convergence.Revision = max(convergence.Revision, status.Revision)
		progress := MemberProgress{Member: name, Revision: status.Revision, Live: live[name]}
		convergence.Members = append(convergence.Members, progress)
	}
	convergence.addFollowers(followers, byMember)
	return convergence
}

// liveByMember counts the followers with a lease by the member that received their latest renewal.
func liveByMember(followers map[string]FollowerStatus) map[string]int {
	live := map[string]int{}
	for _, follower := range followers {
		if follower.Live {
			live[follower.Member]++
		}
	}
	return live
}

// addFollowers sets the converged revision and lists the followers that are behind or stale. Revision has to be set.
func (c *Convergence) addFollowers(followers map[string]FollowerStatus, byMember map[string]MemberStatus) {
	c.ConvergedRevision = c.Revision
	for _, name := range slices.Sorted(maps.Keys(followers)) {
		follower := followers[name]
		if follower.Accepted < c.Revision {
			follower.Behind = max(follower.Behind, longestLag(follower.Accepted, byMember))
		}
		if !follower.Live {
			c.Stale = append(c.Stale, follower)
			continue
		}
		c.Live++
		c.ConvergedRevision = min(c.ConvergedRevision, follower.Accepted)
		if follower.Accepted < c.Revision {
			c.Behind = append(c.Behind, follower)
		}
	}
	slices.SortStableFunc(c.Behind, func(a, b FollowerStatus) int { return cmp.Compare(a.Accepted, b.Accepted) })
}

// latestStatuses returns the latest status of each member.
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
func unknownMembers(byMember map[string]MemberStatus, members []string) (unknown []UnknownMember) {
	for _, name := range members {
		if _, answered := byMember[name]; !answered {
			unknown = append(unknown, UnknownMember{Member: name, Reason: ReasonNoAnswer})
		}
	}
	for name, status := range byMember {
		if !status.Settled {
			unknown = append(unknown, UnknownMember{Member: name, Reason: ReasonNotSettled})
		}
	}
	slices.SortFunc(unknown, func(a, b UnknownMember) int { return cmp.Compare(a.Member, b.Member) })
	return slices.Compact(unknown)
}

// latestLeases returns the lease of each follower that was renewed last; of two renewed at once the one with the lower
// accepted revision.
func latestLeases(byMember map[string]MemberStatus) map[string]FollowerStatus {
	latest := map[string]FollowerStatus{}
	remaining := map[string]time.Duration{} // of the lease in latest
	for member, status := range byMember {
		for _, lease := range status.Leases {
			left := lease.Expires.Sub(status.At)
			other, seen := latest[lease.Name]
			newer := left > remaining[lease.Name]
			equal := left == remaining[lease.Name]
			if !seen || newer || equal && leaseBefore(lease, member, other) {
				latest[lease.Name] = FollowerStatus{LeaseStatus: lease, Member: member}
				remaining[lease.Name] = left
			}
		}
	}
	return latest
}

// leaseBefore orders leases that were renewed at the same time.
func leaseBefore(lease LeaseStatus, member string, other FollowerStatus) bool {
	return cmp.Or(cmp.Compare(lease.Accepted, other.Accepted), cmp.Compare(member, other.Member)) < 0
}

// longestLag returns for how long a revision after the accepted one has been committed at some member, as far back as the
// members' recent commits reach.
func longestLag(accepted uint64, byMember map[string]MemberStatus) (longest time.Duration) {
	for _, status := range byMember {
		for _, recent := range status.Recent { // oldest first
			if recent.Revision > accepted {
				longest = max(longest, recent.Age)
				break
			}
		}
	}
	return longest
}
