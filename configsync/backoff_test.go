package configsync

import (
	"testing"
	"time"
)

// Delays are drawn from all of a range that doubles up to a limit, and begin anew after a success.
func TestBackoffHasFullJitter(t *testing.T) {
	const many = 2000
	limits := []time.Duration{backoffBase, 2 * backoffBase, 4 * backoffBase, 8 * backoffBase, 16 * backoffBase, backoffMax, backoffMax}
	var halves [2][7]int
	for seed := range uint64(many) {
		b := NewBackoff([]string{"a", "b", "c"}, seed)
		for n, limit := range limits {
			pause := b.Failed()
			if pause < 0 || pause >= limit {
				t.Fatalf("failure %d: %v", n, pause)
			}
			halves[int(2*pause/limit)][n]++
		}
		b.Succeeded()
		if pause := b.Failed(); pause >= backoffBase {
			t.Fatalf("after a success: %v", pause)
		}
	}
	for n := range limits {
		if low := halves[0][n]; low < many*4/10 || low > many*6/10 {
			t.Errorf("failure %d: %d of %d in the lower half", n, low, many)
		}
	}
}

// Each failure moves on to the next member; all members are tried in turn, and followers begin at different ones.
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
			t.Fatalf("seed %d: %v", seed, seen)
		}
	}
	for _, member := range members {
		if first[member] < 140 || first[member] > 260 {
			t.Errorf("%s comes first for %d of 1000", member, first[member])
		}
	}
}

// Failures for days do not overflow the delay.
func TestBackoffMovesOnAfterEachFailure(t *testing.T) {
	b := NewBackoff([]string{"a"}, 1)
	for range 10000 {
		if pause := b.Failed(); pause < 0 || pause >= backoffMax {
			t.Fatal(pause)
		}
	}
}
