//go:build race

package scaling

// Under the race detector pools forget what they hold at random, and memory has shadows: allocations and memory that
// stays are not the program's then.
const underRace = true
