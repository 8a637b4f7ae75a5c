//go:build !race

package capacity

const raced = false
