// Package invariant states in the code what must hold. A breach is a fault of the program. Built with the tag debug, as
// CI tests it, the program panics; in release builds the breach is counted and reported, and the program goes
// on. Any package may call Holds; the programs' main functions set Watch, and their counters show Breaches.
package invariant

import "sync/atomic"

var (
	breaches atomic.Uint64
	watcher  atomic.Pointer[func(what string)]
)

// Holds checks a condition; what names it as it should be, such as "the clock moves forward".
func Holds(condition bool, what string) {
	if condition {
		return
	}
	breaches.Add(1)
	if report := watcher.Load(); report != nil {
		(*report)(what)
	}
	breached(what)
}

// Watch has report called at each later breach, on the goroutine that met it. It replaces the one that was set before.
func Watch(report func(what string)) { watcher.Store(&report) }

// Breaches is the number of breaches since the start.
func Breaches() uint64 { return breaches.Load() }
