package configsync

import (
	"testing"
	"time"
)

// Delays are spread over the whole range from zero to a limit, which doubles with each failure up to a maximum and is
// reset by a success.
func TestBackoffHasFullJitter(t *testing.T) {
	const seeds = 2000
	limits := []time.Duration{backoffBase, 2 * backoffBase, 4 * backoffBase, 8 * backoffBase, 16 * backoffBase, backoffMax, backoffMax}
	var countsByHalf [2][7]int
	for seed := range uint64(seeds) {
		backoff := NewBackoff([]string{"a", "b", "c"}, seed)
		for failure, limit := range limits {
			delay := backoff.Failed()
			if delay < 0 || delay >= limit {
				t.Fatalf("failure %d: got delay %v, want at least 0 and less than %v", failure, delay, limit)
			}
			countsByHalf[int(2*delay/limit)][failure]++
		}
		backoff.Succeeded()
		if delay := backoff.Failed(); delay >= backoffBase {
			t.Fatalf("after a success: got delay %v, want less than %v", delay, backoffBase)
		}
	}
	for failure := range limits {
		if lowerHalf := countsByHalf[0][failure]; lowerHalf < seeds*4/10 || lowerHalf > seeds*6/10 {
			t.Errorf("failure %d: got %d of %d delays in the lower half of the range, want 40%% to 60%%", failure, lowerHalf, seeds)
		}
	}
}

// Each failure advances to the next member, so that all members are tried in turn. Followers start at different
// members.
func TestBackoffTriesEveryMember(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	first := map[string]int{}
	for seed := range uint64(1000) {
		backoff := NewBackoff(members, seed)
		first[backoff.Member()]++
		seen := map[string]bool{}
		for range members {
			seen[backoff.Member()] = true
			backoff.Failed()
		}
		if len(seen) != len(members) {
			t.Fatalf("seed %d: got members %v, want all of %v", seed, seen, members)
		}
	}
	for _, member := range members {
		if first[member] < 140 || first[member] > 260 {
			t.Errorf("member %s: first for %d of 1000 seeds, want 140 to 260", member, first[member])
		}
	}
}

// Repeated failures over several days do not overflow the delay.
func TestBackoffDelayDoesNotOverflow(t *testing.T) {
	backoff := NewBackoff([]string{"a"}, 1)
	for range 10000 {
		if delay := backoff.Failed(); delay < 0 || delay >= backoffMax {
			t.Fatalf("got delay %v, want at least 0 and less than %v", delay, backoffMax)
		}
	}
}
