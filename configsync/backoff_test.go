package configsync

import (
	"testing"
	"time"
)

// Delays are spread over the whole range from zero to a limit, which doubles with each failure up to a maximum and is
// reset by a success.
func TestBackoffHasFullJitter(t *testing.T) {
	const many = 2000
	limits := []time.Duration{backoffBase, 2 * backoffBase, 4 * backoffBase, 8 * backoffBase, 16 * backoffBase, backoffMax, backoffMax}
	var halves [2][7]int
	for seed := range uint64(many) {
		b := NewBackoff([]string{"a", "b", "c"}, seed)
		for n, limit := range limits {
			pause := b.Failed()
			if pause < 0 || pause >= limit {
				t.Fatalf("failure %d: got delay %v, want at least 0 and less than %v", n, pause, limit)
			}
			halves[int(2*pause/limit)][n]++
		}
		b.Succeeded()
		if pause := b.Failed(); pause >= backoffBase {
			t.Fatalf("after a success: got delay %v, want less than %v", pause, backoffBase)
		}
	}
	for n := range limits {
		if low := halves[0][n]; low < many*4/10 || low > many*6/10 {
			t.Errorf("failure %d: got %d of %d delays in the lower half of the range, want 40%% to 60%%", n, low, many)
		}
	}
}

// Each failure advances to the next member, so that all members are tried in turn. Followers start at different
// members.
func TestBackoffTriesEveryMember(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	first := map[string]int{}
	for seed := range uint64(1000) {
		b := NewBackoff(members, seed)
		first[b.Member()]++
		seen := map[string]bool{}
		for range members {
			seen[b.Member()] = true
			b.Failed()
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
func TestBackoffMovesOnAfterEachFailure(t *testing.T) {
	b := NewBackoff([]string{"a"}, 1)
	for range 10000 {
		if pause := b.Failed(); pause < 0 || pause >= backoffMax {
			t.Fatalf("got delay %v, want at least 0 and less than %v", pause, backoffMax)
		}
	}
}
