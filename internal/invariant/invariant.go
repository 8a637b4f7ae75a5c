// Package invariant checks conditions that are always true in a correct program. A breach is a bug in the program. In
// builds with the debug tag, which CI uses for tests, a breach is counted and reported, and then panics. In release
// builds it is counted and reported, and the program continues. Any package may call Holds; the main functions of the
// programs call Watch, and their counters include Breaches.
package invariant

import "sync/atomic"

var (
	breaches atomic.Uint64
	watcher  atomic.Pointer[func(description string)]
)

// Holds checks that condition is true. The description states the expected condition, for example "the clock moves
// forward".
func Holds(condition bool, description string) {
	if condition {
		return
	}
	breaches.Add(1)
	if report := watcher.Load(); report != nil {
		(*report)(description)
	}
	handleBreach(description)
}

// Watch registers report, which is called on each subsequent breach, on the goroutine that detected it. It replaces the
// previously registered function.
func Watch(report func(description string)) { watcher.Store(&report) }

// Breaches returns the number of breaches since the program started.
func Breaches() uint64 { return breaches.Load() }
