//go:build debug

package invariant

// Debug says whether a breach panics.
const Debug = true

func breached(what string) { panic("invariant: " + what) }
