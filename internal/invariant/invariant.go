// Package invariant states what must hold. Under the build tag debug a breach panics; in release builds it is
// counted and handed to the one who watches.
package invariant

import "sync/atomic"

var (
	breaches atomic.Uint64
	watcher  atomic.Pointer[func(what string)]
)

// Holds says that something must be true here, and what.
func Holds(ok bool, what string) {
	if ok {
		return
	}
	breaches.Add(1)
	if tell := watcher.Load(); tell != nil {
		(*tell)(what)
	}
	breached(what)
}

// Watch hands every later breach to tell, from the goroutine that met it.
func Watch(tell func(what string)) { watcher.Store(&tell) }

// Breaches is how many there were.
func Breaches() uint64 { return breaches.Load() }
