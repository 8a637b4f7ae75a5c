package configsync

import (
	"math/rand/v2"
	"time"
)

// The pauses before a member is asked again: doubled at each failure, and drawn anew between nothing and that (full
// jitter), so that conductors that lost a member together do not come back together.
const (
	backoffBase = 200 * time.Millisecond
	backoffMax  = 5 * time.Second
)

// Backoff chooses the member that a follower asks next, and the pause before it does.
type Backoff struct {
	random     *rand.Rand
	members    []string
	nextMember int
	failures   int
}

// NewBackoff makes one that goes through the members, of which there has to be one, in an order of its own.
func NewBackoff(members []string, seed uint64) *Backoff {
	random := rand.New(rand.NewPCG(seed, uint64(len(members))))
	order := make([]string, len(members))
	for at, from := range random.Perm(len(members)) {
		order[at] = members[from]
	}
	return &Backoff{random: random, members: order}
}

// Member is the one to ask now.
func (b *Backoff) Member() string { return b.members[b.nextMember%len(b.members)] }

// Succeeded notes that a member has answered as it should.
func (b *Backoff) Succeeded() { b.failures = 0 }

// Failed moves on to another member and gives the pause before it is asked. The first try of another member after one
// that had answered is spread as well: its other followers move at the same time.
func (b *Backoff) Failed() time.Duration {
	b.nextMember++
	limit := min(backoffMax, backoffBase<<min(b.failures, 10))
	b.failures++
	return time.Duration(b.random.Int64N(int64(limit)))
}
