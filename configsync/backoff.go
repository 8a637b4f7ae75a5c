package configsync

import (
	"math/rand/v2"
	"time"
)

// The upper limit of the delay doubles with each failure, and the delay is drawn at random between zero and that limit
// (full jitter), so that followers that lost the same member do not all reconnect at the same time.
const (
	backoffBase = 200 * time.Millisecond
	backoffMax  = 5 * time.Second
	// maxDoublings prevents the shift from overflowing; the limit reaches backoffMax long before.
	maxDoublings = 10
)

// Backoff selects the member that a follower connects to next and the delay before it connects. It is not safe for
// concurrent use.
type Backoff struct {
	random     *rand.Rand
	members    []string
	nextMember int
	failures   int
}

// NewBackoff returns a Backoff that cycles through the members in a random order derived from the seed. Members must
// not be empty.
func NewBackoff(members []string, seed uint64) *Backoff {
	random := rand.New(rand.NewPCG(seed, uint64(len(members))))
	order := make([]string, len(members))
	for position, member := range random.Perm(len(members)) {
		order[position] = members[member]
	}
	return &Backoff{random: random, members: order}
}

// Member returns the member to connect to next.
func (b *Backoff) Member() string { return b.members[b.nextMember%len(b.members)] }

// Succeeded resets the delay after the member has answered.
func (b *Backoff) Succeeded() { b.failures = 0 }

// Failed advances to the next member and returns the delay before connecting to it. The first attempt after losing a
// member that had answered is delayed as well, since that member's other followers reconnect at the same time.
func (b *Backoff) Failed() time.Duration {
	b.nextMember++
	limit := min(backoffMax, backoffBase<<min(b.failures, maxDoublings))
	b.failures++
	return time.Duration(b.random.Int64N(int64(limit)))
}
