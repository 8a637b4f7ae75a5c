package configsync

import (
	"maps"
	"slices"
	"time"
)

// maxCommits is how many revisions a member remembers the time of, to tell for how long a follower has been behind.
const maxCommits = 4096

// lease is what a member knows of a follower. It ends some time after the follower was last heard.
type lease struct {
	accepted         uint64
	expires          time.Time
	behindSince      time.Time // zero: in step
	rejectedRevision uint64    // revision of the last refusal since its last acceptance, 0 if none
	rejectionReason  string
}

// LeaseStatus is a lease as operators see it. Followers are told apart by their names alone: two of one name end each
// other's streams, and only the one that was heard last is known.
type LeaseStatus struct {
	Name             string        `json:"name"`
	Accepted         uint64        `json:"accepted"`
	Live             bool          `json:"live"`
	Expires          time.Time     `json:"expires"`
	Behind           time.Duration `json:"behind_ns"` // since the first revision that it has not accepted was committed here
	RejectedRevision uint64        `json:"refused,omitempty"`
	Reason           string        `json:"reason,omitempty"`
}

// MemberStatus tells how far the revisions of a member's followers have come.
type MemberStatus struct {
	Member            string         `json:"member"`
	At                time.Time      `json:"at"`       // by this member's clock
	Revision          uint64         `json:"revision"` // of this member
	ConvergedRevision uint64         `json:"in_force"` // accepted by every follower with a live lease here
	Settled           bool           `json:"settled"`  // this member has served for a lease's time: no follower's lease from before is missing
	Live              int            `json:"live"`
	Recent            []CommitStatus `json:"recent"` // the latest revisions, oldest first
	Leases            []LeaseStatus  `json:"leases"` // by name
}

// commit is a revision and when it came to this member.
type commit struct {
	revision    uint64
	committedAt time.Time
}

// CommitStatus is a revision and how long ago it was committed at a member.
type CommitStatus struct {
	Revision uint64        `json:"revision"`
	Age      time.Duration `json:"age_ns"`
}

// leaseTable holds the leases of a member's followers.
type leaseTable struct {
	duration  time.Duration
	maxLeases int // leases
	leases    map[string]*lease
	commits   []commit // the latest, oldest first; the first one ever is what the member began with
}

func newLeaseTable(duration time.Duration, maxLeases int, began commit) *leaseTable {
	return &leaseTable{duration: duration, maxLeases: maxLeases, leases: map[string]*lease{}, commits: []commit{began}}
}

// newestRevision is the last revision that was committed here.
func (t *leaseTable) newestRevision() uint64 { return t.commits[len(t.commits)-1].revision }

// renew notes that a follower was heard and what it holds.
func (t *leaseTable) renew(now time.Time, name string, accepted uint64) (*lease, error) {
	held := t.leases[name]
	if held == nil {
		if len(t.leases) >= t.maxLeases {
			maps.DeleteFunc(t.leases, func(_ string, old *lease) bool { return !now.Before(old.expires) })
		}
		if len(t.leases) >= t.maxLeases {
			return nil, ErrTooManyStreams
		}
		held = &lease{}
		t.leases[name] = held
	}
	held.expires = now.Add(t.duration)
	t.accept(now, held, accepted)
	return held, nil
}

// accept notes the revision that a follower holds.
func (t *leaseTable) accept(now time.Time, held *lease, accepted uint64) {
	if accepted > held.accepted {
		held.rejectedRevision, held.rejectionReason = 0, ""
	}
	unchanged := accepted == held.accepted
	held.accepted = accepted
	switch {
	case accepted >= t.newestRevision():
		held.behindSince = time.Time{}
	case unchanged && !held.behindSince.IsZero():
		// It is as far behind as it was.
	case accepted == 0:
		held.behindSince = now // it has only come
	default:
		held.behindSince = t.commitTimeAfter(accepted)
	}
}

// addCommit notes a revision; whoever was in step is behind from now on.
func (t *leaseTable) addCommit(now time.Time, revision uint64) {
	if revision <= t.newestRevision() {
		return
	}
	t.commits = append(t.commits, commit{revision, now})
	if len(t.commits) > maxCommits {
		t.commits = slices.Delete(t.commits, 0, len(t.commits)-maxCommits/2)
	}
	for _, held := range t.leases {
		if held.behindSince.IsZero() && held.accepted < revision {
			held.behindSince = now
		}
	}
}

// commitTimeAfter is when the first revision after one was committed here. Of a revision from before the member began it is
// when that began, of one that is forgotten the earliest that is not: both are later than the truth. There has to be a
// later revision.
func (t *leaseTable) commitTimeAfter(revision uint64) time.Time {
	place, _ := slices.BinarySearchFunc(t.commits, revision, func(c commit, held uint64) int {
		if c.revision <= held {
			return -1
		}
		return 1
	})
	return t.commits[place].committedAt
}

// maxRecentCommits is how many revisions a status tells the age of.
const maxRecentCommits = 64

// recentCommits gives the ages of the latest revisions, oldest first.
func (t *leaseTable) recentCommits(now time.Time) (recent []CommitStatus) {
	for _, one := range t.commits[max(0, len(t.commits)-maxRecentCommits):] {
		recent = append(recent, CommitStatus{one.revision, now.Sub(one.committedAt)})
	}
	return recent
}

// removeExpired forgets leases that ended long ago: they are shown as ended for as long as they lasted.
func (t *leaseTable) removeExpired(now time.Time) {
	maps.DeleteFunc(t.leases, func(_ string, held *lease) bool { return now.Sub(held.expires) > t.duration })
}

// status lists the leases by name and gives the least revision that a live one has accepted, at most the newest.
func (t *leaseTable) status(now time.Time, newest uint64) (inForce uint64, live int, leases []LeaseStatus) {
	inForce = newest
	for _, name := range slices.Sorted(maps.Keys(t.leases)) {
		held := t.leases[name]
		one := LeaseStatus{Name: name, Accepted: held.accepted, Live: now.Before(held.expires), Expires: held.expires,
			RejectedRevision: held.rejectedRevision, Reason: held.rejectionReason}
		if !held.behindSince.IsZero() && held.accepted < newest {
			one.Behind = now.Sub(held.behindSince)
		}
		if one.Live {
			live++
			inForce = min(inForce, held.accepted)
		}
		leases = append(leases, one)
	}
	return inForce, live, leases
}
