package configsync

import (
	"math/rand/v2"
	"time"
)

// The limit of the delay doubles at each failure, and the delay is drawn between zero and that limit (full jitter), so that
// followers that lost a member together do not reconnect together.
const (
	backoffBase = 200 * time.Millisecond
	backoffMax  = 5 * time.Second
	// maxDoublings keeps the shift from overflowing; backoffMax is reached long before.
	maxDoublings = 10
)

// Backoff chooses the member that a follower connects to next, and the delay before it does. It is not safe for concurrent
// use.
type Backoff struct {
	random     *rand.Rand
	members    []string
	nextMember int
	failures   int
}

// NewBackoff returns one that goes through the members in an order drawn from the seed. There has to be a member.
func NewBackoff(members []string, seed uint64) *Backoff {
	random := rand.New(rand.NewPCG(seed, uint64(len(members))))
	order := make([]string, len(members))
	for position, member := range random.Perm(len(members)) {
		order[position] = members[member]
	}
	return &Backoff{random: random, members: order}
}

// Member returns the member to connect to now.
func (b *Backoff) Member() string { return b.members[b.nextMember%len(b.members)] }

// Succeeded resets the delay: the member has answered.
func (b *Backoff) Succeeded() { b.failures = 0 }

// Failed moves on to the next member and returns the delay before it is connected to. The first attempt after a member that
// had answered is delayed as well, since that member's other followers move at the same time.
func (b *Backoff) Failed() time.Duration {
	b.nextMember++
	limit := min(backoffMax, backoffBase<<min(b.failures, maxDoublings))
	b.failures++
	return time.Duration(b.random.Int64N(int64(limit)))
}
