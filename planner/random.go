package planner

import (
	"fmt"
	"hash/fnv"
)

// randomSource draws numbers that are the same in each run with the same seed.
type randomSource struct {
	seed  uint64
	draws uint64
}

// next returns a number from 0 up to 1, which is not reached.
func (r *randomSource) next() float64 {
	r.draws++
	h := fnv.New64a()
	fmt.Fprint(h, r.seed, r.draws)
	return float64(h.Sum64()>>11) / (1 << 53)
}
