//go:build !race

package scaling

const raced = false
