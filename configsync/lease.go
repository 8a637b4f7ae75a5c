package configsync

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxCommits is the number of revisions whose commit time a member remembers, to tell since when a follower is behind.
	maxCommits = 4096
	// maxRecentCommits is the number of revisions whose age a status tells.
	maxRecentCommits = 64
)

// lease is what a member knows of a follower. It ends some time after the follower's last request.
type lease struct {
	accepted         uint64
	expires          time.Time
	behindSince      time.Time // zero: not behind
	rejectedRevision uint64    // of the last NACK since the last ACK, 0 if none
	rejectionReason  string
}

// LeaseStatus is a lease as operators see it. Followers are told apart by their names alone: two of one name end each
// other's streams, and only the one that sent the last request is known.
type LeaseStatus struct {
	Name             string        `json:"name"`
	Accepted         uint64        `json:"accepted"` // revision
	Live             bool          `json:"live"`
	Expires          time.Time     `json:"expires"`
	Behind           time.Duration `json:"behind_ns"` // since the first revision that it has not accepted was committed here
	RejectedRevision uint64        `json:"refused,omitempty"`
	Reason           string        `json:"reason,omitempty"`
}

// MemberStatus tells what a member knows of its followers.
type MemberStatus struct {
	Member            string         `json:"member"`
	At                time.Time      `json:"at"`       // by this member's clock
	Revision          uint64         `json:"revision"` // of this member
	ConvergedRevision uint64         `json:"in_force"` // accepted by every follower with a lease here
	Settled           bool           `json:"settled"`  // it has served for a lease's time: no lease from before its start is missing
	Live              int            `json:"live"`     // followers with a lease here
	Recent            []CommitStatus `json:"recent"`   // the latest revisions, oldest first
	Leases            []LeaseStatus  `json:"leases"`   // by name
}

// CommitStatus is a revision and how long ago it was committed at a member.
type CommitStatus struct {
	Revision uint64        `json:"revision"`
	Age      time.Duration `json:"age_ns"`
}

// commit is a revision and when this member applied it.
type commit struct {
	revision    uint64
	committedAt time.Time
}

// leaseTable has the leases of a member's followers.
type leaseTable struct {
	duration  time.Duration
	maxLeases int
	leases    map[string]*lease // by the follower's name
	commits   []commit          // the latest, oldest first, never empty; at first what the member started with
}

func newLeaseTable(duration time.Duration, maxLeases int, first commit) *leaseTable {
	return &leaseTable{duration: duration, maxLeases: maxLeases, leases: map[string]*lease{}, commits: []commit{first}}
}

// newestRevision is the last revision that was committed here.
func (t *leaseTable) newestRevision() uint64 { return t.commits[len(t.commits)-1].revision }

// renew extends the lease of a follower that sent a request, and sets its accepted revision. It returns
// [ErrTooManyStreams] if there is no room for one more lease.
func (t *leaseTable) renew(now time.Time, name string, accepted uint64) (*lease, error) {
	renewed := t.leases[name]
	if renewed == nil {
		if !t.makeRoom(now) {
			return nil, ErrTooManyStreams
		}
		renewed = &lease{}
		t.leases[name] = renewed
	}
	renewed.expires = now.Add(t.duration)
	t.accept(now, renewed, accepted)
	return renewed, nil
}

// makeRoom removes leases that have run out if the table is full, and tells whether one more fits.
func (t *leaseTable) makeRoom(now time.Time) bool {
	if len(t.leases) >= t.maxLeases {
		maps.DeleteFunc(t.leases, func(_ string, old *lease) bool { return !now.Before(old.expires) })
	}
	return len(t.leases) < t.maxLeases
}

// accept sets the revision that a follower has accepted, and since when it is behind.
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
		// It is as far behind as it was.
	case accepted == 0:
		follower.behindSince = now // it has just joined
	default:
		follower.behindSince = t.commitTimeAfter(accepted)
	}
}

// addCommit records a revision; followers that were up to date are behind from now on.
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

// commitTimeAfter returns when the first revision after one was committed here. There has to be a later revision. For a
// revision from before the member's start it is that start, for one that is forgotten the earliest that is not: both are
// later than the true time.
func (t *leaseTable) commitTimeAfter(revision uint64) time.Time {
	index, _ := slices.BinarySearchFunc(t.commits, revision, func(c commit, revision uint64) int {
		if c.revision <= revision {
			return -1
		}
		return 1
	})
	return t.commits[index].committedAt
}

// recentCommits returns the ages of the latest revisions, oldest first.
func (t *leaseTable) recentCommits(now time.Time) (recent []CommitStatus) {
	for _, applied := range t.commits[max(0, len(t.commits)-maxRecentCommits):] {
		recent = append(recent, CommitStatus{Revision: applied.revision, Age: now.Sub(applied.committedAt)})
	}
	return recent
}

// removeExpired forgets leases that ran out more than a lease's time ago: until then a status shows them as not live.
func (t *leaseTable) removeExpired(now time.Time) {
	maps.DeleteFunc(t.leases, func(_ string, old *lease) bool { return now.Sub(old.expires) > t.duration })
}

// addTo adds the leases to a status, by name, with the lowest revision that a live one has accepted. The status's revision
// has to be set: it is the upper bound.
func (t *leaseTable) addTo(status *MemberStatus, now time.Time) {
	status.ConvergedRevision = status.Revision
	for _, name := range slices.Sorted(maps.Keys(t.leases)) {
		one := t.leases[name].status(name, now, status.Revision)
		if one.Live {
			status.Live++
			status.ConvergedRevision = min(status.ConvergedRevision, one.Accepted)
		}
		status.Leases = append(status.Leases, one)
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
