//go:build !debug

package invariant

// Debug says whether a breach panics.
const Debug = false

func breached(string) {}
