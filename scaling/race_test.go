//go:build race

package scaling

// underRace is true under the race detector, where pools drop objects at random and memory has shadow state:
// allocations and retained memory are then not those of the program.
const underRace = true
