package sidecar

import (
	"fmt"
	"hash/fnv"
)

// Random generates random numbers from 0 to 1 from a seed and a counter. It is not safe for concurrent use.
type Random struct {
	Seed  uint64
	draws uint64
}

// Next returns the next number.
func (r *Random) Next() float64 {
	r.draws++
	sum := fnv.New64a()
	fmt.Fprint(sum, r.Seed, " ", r.draws)
	return float64(mixBits(sum.Sum64())>>11) / (1 << 53)
}

// mixBits is the finalizer of SplitMix64: a change of any input bit changes about half of the output bits. It is needed
// because FNV hashes of consecutive counters differ in their lower bits only, and Next uses the upper ones.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
