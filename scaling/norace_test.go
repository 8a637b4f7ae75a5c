//go:build !race

package scaling

const underRace = false
