package planner

import (
	"fmt"
	"hash/fnv"
)

func sum(v []float64) (s float64) {
	for _, x := range v {
		s += x
	}
	return s
}

// random draws from 0 to 1.
func (c *Planner) random() float64 {
	c.draws++
	h := fnv.New64a()
	fmt.Fprint(h, c.config.Seed, c.draws)
	return float64(h.Sum64()>>11) / (1 << 53)
}
