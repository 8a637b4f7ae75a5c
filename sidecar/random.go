package sidecar

import (
	"fmt"
	"hash/fnv"
)

// Random draws numbers from 0 to 1 from a seed and a counter. It is not safe for concurrent use.
type Random struct {
	Seed  uint64
	draws uint64
}

// Next draws a number.
func (r *Random) Next() float64 {
	r.draws++
	sum := fnv.New64a()
	fmt.Fprint(sum, r.Seed, " ", r.draws)
	return float64(mixBits(sum.Sum64())>>11) / (1 << 53)
}

// mixBits is the finalizer of SplitMix64: each bit of the input changes about half of the output's. FNV hashes of consecutive
// counters differ in their lower bits only, and a draw goes by the upper ones.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
