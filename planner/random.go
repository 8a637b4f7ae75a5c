package planner

import (
	"fmt"
	"hash/fnv"
)

// randomSource generates a deterministic sequence of random numbers from a seed.
type randomSource struct {
	seed  uint64
	draws uint64
}

// next returns a number greater than or equal to 0 and less than 1.
func (r *randomSource) next() float64 {
	r.draws++
	h := fnv.New64a()
	fmt.Fprint(h, r.seed, r.draws)
	return float64(h.Sum64()>>11) / (1 << 53)
}
