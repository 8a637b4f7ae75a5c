//go:build !race

package scaling

// underRace is false without the race detector.
const underRace = false
