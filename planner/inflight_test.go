package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// checkInvariants fails the test if a field of the account violates the invariant in its comment.
func checkInvariants(t *testing.T, a *inFlightAccount) {
	t.Helper()
	var entries, unaccepted float64
	for k, b := range a.batches {
		unacknowledged := 0.0
		for _, n := range b.unacknowledgedEntries {
			unacknowledged += n
		}
		if b.entries != unacknowledged {
			t.Fatalf("batch %d: got %v entries, want %v, the sum of those not acknowledged", b.nonce, b.entries, unacknowledged)
		}
		if b.reserved < b.entries || b.messages < len(b.unacknowledgedEntries) {
			t.Fatalf("batch %d: got %v entries in %d messages reserved, want at least %v in %d, those not acknowledged",
				b.nonce, b.reserved, b.messages, b.entries, len(b.unacknowledgedEntries))
		}
		if k > 0 && a.batches[k-1].nonce >= b.nonce {
			t.Fatalf("got batch %d after batch %d, want ascending nonces", b.nonce, a.batches[k-1].nonce)
		}
		if k > 0 && b.accepted && !a.batches[k-1].accepted {
			t.Fatalf("got batch %d accepted after batch %d, which is not; want accepted batches first", b.nonce,
				a.batches[k-1].nonce)
		}
		entries += b.entries + b.repeated
		if !b.accepted {
			unaccepted += b.entries
		}
	}
	if a.entries != entries || a.unaccepted != unaccepted {
		t.Fatalf("got %v entries and %v unaccepted, want the sums of the batches, %v and %v", a.entries, a.unaccepted,
			entries, unaccepted)
	}
}

// Flow control relies on the sums of the account. If they deviated from the batches, the channel would be overrun or
// count as full forever. They must match the batches after any sequence of events. The comparison is exact, because
// sums of whole numbers of entries have no rounding errors.
func TestInFlightAccountInvariants(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			a := inFlightAccount{messageOverhead: 5}
			now := 100.0
			for range 400 {
				proxy := random.IntN(8)
				nonce := max(0, a.nonces-random.IntN(6))
				switch random.IntN(8) {
				case 0, 1:
					now += 0.1
				case 2, 3:
					a.reserve(now, []int{proxy, 8 + random.IntN(8)}, float64(1+random.IntN(9)))
					a.countWeight(now, random.IntN(3))
				case 4:
					a.reserve(now, []int{proxy}, 10)
					a.countBind(now, random.IntN(3))
				case 5:
					a.accept(nonce)
				case 6:
					a.acknowledge(proxy, nonce)
				case 7:
					if random.IntN(2) == 0 {
						a.releaseProxy(proxy)
					} else {
						a.countRetry(nonce, random.IntN(2) == 0)
					}
				}
				checkInvariants(t, &a)
			}
		})
	}
}
