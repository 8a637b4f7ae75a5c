package simulation

import (
	"fmt"
	"hash/fnv"
)

// trace adds an event to the digest of the run. Runs with the same digest have the same events at the same ticks.
func (w *world) trace(format string, args ...any) {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d ", w.digest, w.now)
	fmt.Fprintf(h, format, args...)
	w.digest = h.Sum64()
}
