package configsync

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// UnknownReason describes why the leases of a member are not all known. Its values are part of the tools' JSON output.
type UnknownReason string

// The reasons for which the leases of a member are not all known.
const (
	ReasonNoAnswer   UnknownReason = "did not answer"
	ReasonNotSettled UnknownReason = "has not served for a lease's time since it started"
)

// UnknownMember is a member whose leases are not all known, and the reason.
type UnknownMember struct {
	Member string        `json:"member"`
	Reason UnknownReason `json:"reason"`
}

// FollowerStatus is the status of a follower according to all members: its latest lease and the member that has it.
type FollowerStatus struct {
	LeaseStatus
	Member string `json:"member"` // the member that received its latest renewal
}

// MemberProgress contains the revision of a member and the number of its followers.
type MemberProgress struct {
	Member   string `json:"member"`
	Revision uint64 `json:"revision"`
	Live     int    `json:"live"` // followers with a lease whose latest renewal this member received
}

// Convergence describes which revision is in effect at all followers, across all members.
type Convergence struct {
	Revision          uint64           `json:"revision"` // the newest revision of any member
	ConvergedRevision uint64           `json:"in_force"` // accepted by every known follower with a lease
	Known             bool             `json:"known"`    // false if UnknownMembers may make ConvergedRevision too new
	UnknownMembers    []UnknownMember  `json:"doubts,omitempty"`
	Live              int              `json:"live"`             // followers with a lease
	Members           []MemberProgress `json:"members"`          // the members that answered, sorted by name
	Behind            []FollowerStatus `json:"behind,omitempty"` // live and below Revision, by revision and name
	// Stale lists the followers whose lease has expired, sorted by name: they continue to use their records. A member
	// removes a lease one lease duration after it expired, so a follower that does not return is listed only until
	// then.
	Stale []FollowerStatus `json:"stale,omitempty"`
}

// Merge combines the statuses of members that were queried at about the same time. Members lists all members that
// followers may be connected to; a member without a status, or whose status is not settled, makes the result uncertain.
// If a follower has several leases, the one renewed last is used. Ages are measured by each member's own clock, so the
// clocks need not be synchronized.
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

// liveByMember returns the number of followers with a lease for each member, by the member that received their latest
// renewal.
func liveByMember(followers map[string]FollowerStatus) map[string]int {
	live := map[string]int{}
	for _, follower := range followers {
		if follower.Live {
			live[follower.Member]++
		}
	}
	return live
}

// addFollowers sets the converged revision and lists the followers that are behind or stale. Revision must be set.
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

// unknownMembers returns the members whose leases are not all known, sorted by name.
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

// latestLeases returns for each follower the lease that was renewed last, which is the one with the longest remaining
// time. If two were renewed at the same time, it returns the one with the lower accepted revision.
func latestLeases(byMember map[string]MemberStatus) map[string]FollowerStatus {
	latest := map[string]FollowerStatus{}
	longestRemaining := map[string]time.Duration{} // of the lease in latest
	for member, status := range byMember {
		for _, lease := range status.Leases {
			remaining := lease.Expires.Sub(status.At)
			other, seen := latest[lease.Name]
			newer := remaining > longestRemaining[lease.Name]
			equal := remaining == longestRemaining[lease.Name]
			if !seen || newer || equal && leaseBefore(lease, member, other) {
				latest[lease.Name] = FollowerStatus{LeaseStatus: lease, Member: member}
				longestRemaining[lease.Name] = remaining
			}
		}
	}
	return latest
}

// leaseBefore orders leases that were renewed at the same time.
func leaseBefore(lease LeaseStatus, member string, other FollowerStatus) bool {
	return cmp.Or(cmp.Compare(lease.Accepted, other.Accepted), cmp.Compare(member, other.Member)) < 0
}

// longestLag returns the time since any member committed the first revision after the accepted one, as far as the
// members' recent commits go back.
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
