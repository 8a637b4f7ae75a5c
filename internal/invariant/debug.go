//go:build debug

package invariant

// Debug reports whether a breach panics. Code may also do costly checks only if it is set.
const Debug = true

func breached(what string) { panic("invariant: " + what) }
