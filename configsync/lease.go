package configsync

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxCommits is the maximum number of revisions whose commit time a member retains to compute how long a follower
	// has been behind.
	maxCommits = 4096
	// maxRecentCommits is the maximum number of revisions whose age a status contains.
	maxRecentCommits = 64
)

// lease is a member's state of a follower. It expires the lease duration after the follower's last request.
type lease struct {
	accepted         uint64 // revision
	expires          time.Time
	behindSince      time.Time // zero if the follower is not behind
	rejectedRevision uint64    // of the latest NACK since the last ACK, 0 if there is none
	rejectionReason  string
}

// LeaseStatus is a lease as shown to operators. Followers are identified only by name: two followers with the same name
// end each other's streams, and the status shows only the one that sent the last request.
type LeaseStatus struct {
	Name             string        `json:"name"`
	Accepted         uint64        `json:"accepted"` // revision
	Live             bool          `json:"live"`
	Expires          time.Time     `json:"expires"`
	Behind           time.Duration `json:"behind_ns"` // since this member committed the first unaccepted revision
	RejectedRevision uint64        `json:"refused,omitempty"`
	Reason           string        `json:"reason,omitempty"`
}

// MemberStatus contains a member's revision and the leases of its followers.
type MemberStatus struct {
	Member            string         `json:"member"`
	At                time.Time      `json:"at"`       // according to this member's clock
	Revision          uint64         `json:"revision"` // of this member
	ConvergedRevision uint64         `json:"in_force"` // accepted by every follower with a lease at this member
	Settled           bool           `json:"settled"`  // has served for a lease duration, so all leases are known
	Live              int            `json:"live"`     // followers with a lease at this member
	Recent            []CommitStatus `json:"recent"`   // the most recent revisions, oldest first
	Leases            []LeaseStatus  `json:"leases"`   // sorted by name
}

// CommitStatus is a revision and the time since it was committed at a member.
type CommitStatus struct {
	Revision uint64        `json:"revision"`
	Age      time.Duration `json:"age_ns"`
}

// commit is a revision and the time at which this member applied it.
type commit struct {
	revision    uint64
	committedAt time.Time
}

// leaseTable contains the leases of a member's followers.
type leaseTable struct {
	duration  time.Duration
	maxLeases int
	leases    map[string]*lease // by the follower's name
	commits   []commit          // most recent, oldest first; initially the revision at start, so never empty
}

func newLeaseTable(duration time.Duration, maxLeases int, first commit) *leaseTable {
	return &leaseTable{duration: duration, maxLeases: maxLeases, leases: map[string]*lease{}, commits: []commit{first}}
}

// newestRevision returns the last revision that was committed at this member.
func (t *leaseTable) newestRevision() uint64 { return t.commits[len(t.commits)-1].revision }

// renew extends the lease of a follower that sent a request and sets its accepted revision. It returns
// [ErrTooManyStreams] if the table has no room for a new lease.
func (t *leaseTable) renew(now time.Time, name string, accepted uint64) (*lease, error) {
	renewed := t.leases[name]
	if renewed == nil {
		if !t.ensureCapacity(now) {
			return nil, ErrTooManyStreams
		}
		renewed = &lease{}
		t.leases[name] = renewed
	}
	renewed.expires = now.Add(t.duration)
	t.accept(now, renewed, accepted)
	return renewed, nil
}

// ensureCapacity removes expired leases if the table is full and reports whether there is room for one more.
func (t *leaseTable) ensureCapacity(now time.Time) bool {
	if len(t.leases) >= t.maxLeases {
		maps.DeleteFunc(t.leases, func(_ string, existing *lease) bool { return !now.Before(existing.expires) })
	}
	return len(t.leases) < t.maxLeases
}

// accept sets the revision that a follower has accepted and the time since which it is behind.
func (t *leaseTable) accept(now time.Time, follower *lease, accepted uint64) {
	if accepted > follower.accepted {
		follower.rejectedRevision = 0
		follower.rejectionReason = ""
	}
	unchanged := accepted == follower.accepted
	follower.accepted = accepted
	switch {
	case accepted >= t.newestRevision():
		follower.behindSince = time.Time{}
	case unchanged && !follower.behindSince.IsZero():
		// The lag continues from the same time.
	case accepted == 0:
		follower.behindSince = now // the follower has just joined
	default:
		follower.behindSince = t.commitTimeAfter(accepted)
	}
}

// addCommit records a committed revision; followers that were up to date are behind from this time.
func (t *leaseTable) addCommit(now time.Time, revision uint64) {
	if revision <= t.newestRevision() {
		return
	}
	t.commits = append(t.commits, commit{revision: revision, committedAt: now})
	if len(t.commits) > maxCommits {
		t.commits = slices.Delete(t.commits, 0, len(t.commits)-maxCommits/2)
	}
	for _, follower := range t.leases {
		if follower.behindSince.IsZero() && follower.accepted < revision {
			follower.behindSince = now
		}
	}
}

// commitTimeAfter returns the time at which this member committed the first revision after the given one. A later
// revision must exist. If that commit was before the member's start, the result is the start time; if it is no longer
// retained, the result is the time of the earliest retained commit. Both are later than the true time, so the lag is
// underestimated.
func (t *leaseTable) commitTimeAfter(revision uint64) time.Time {
	index, _ := slices.BinarySearchFunc(t.commits, revision, func(c commit, revision uint64) int {
		if c.revision <= revision {
			return -1
		}
		return 1
	})
	return t.commits[index].committedAt
}

// recentCommits returns the most recent revisions and their ages, oldest first.
func (t *leaseTable) recentCommits(now time.Time) (recent []CommitStatus) {
	for _, applied := range t.commits[max(0, len(t.commits)-maxRecentCommits):] {
		recent = append(recent, CommitStatus{Revision: applied.revision, Age: now.Sub(applied.committedAt)})
	}
	return recent
}

// removeExpired removes leases that expired more than a lease duration ago; until then a status lists them as not live.
func (t *leaseTable) removeExpired(now time.Time) {
	maps.DeleteFunc(t.leases, func(_ string, existing *lease) bool { return now.Sub(existing.expires) > t.duration })
}

// addTo adds the leases to a status, sorted by name, and sets its converged revision to the lowest revision that a
// follower with a live lease has accepted. The revision of the status must be set: it is the upper bound.
func (t *leaseTable) addTo(status *MemberStatus, now time.Time) {
	status.ConvergedRevision = status.Revision
	for _, name := range slices.Sorted(maps.Keys(t.leases)) {
		follower := t.leases[name].status(name, now, status.Revision)
		if follower.Live {
			status.Live++
			status.ConvergedRevision = min(status.ConvergedRevision, follower.Accepted)
		}
		status.Leases = append(status.Leases, follower)
	}
}

func (l *lease) status(name string, now time.Time, newestRevision uint64) LeaseStatus {
	status := LeaseStatus{
		Name:             name,
		Accepted:         l.accepted,
		Live:             now.Before(l.expires),
		Expires:          l.expires,
		RejectedRevision: l.rejectedRevision,
		Reason:           l.rejectionReason,
	}
	if !l.behindSince.IsZero() && l.accepted < newestRevision {
		status.Behind = now.Sub(l.behindSince)
	}
	return status
}
