package simulation

import (
	"fmt"
	"hash/fnv"
)

// trace adds what happens to the digest of the run. Two runs with the same digest did the same things at the same ticks.
func (w *world) trace(format string, args ...any) {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d ", w.digest, w.now)
	fmt.Fprintf(h, format, args...)
	w.digest = h.Sum64()
}
