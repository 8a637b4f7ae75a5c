package main

import (
	"strings"
	"testing"

	"harehook.dev/harehook/internal/fakeplatform"
)

// The proxy watch breaks, and proxies join and leave unseen. Afterwards those that are connected are bound again and
// those that left are forgotten.
func TestProxiesAreBoundAgainAfterWatchBroke(t *testing.T) {
	r := startProgram(t, nil)
	r.join(0, 1, 2)
	r.relay.BreakWatches(func() {
		r.relay.Leave(0, 1)
		r.relay.Join(proxy(0), proxy(3))
	})
	r.awaitRelay("bound again", allBound(0, 2, 3))
	r.relay.Lock()
	before := len(r.relay.Calls)
	r.relay.Unlock()
	r.discovery.Set(node("s-3", "south", "terminating"))
	r.awaitRelay("drained", noTableHas("s-3"))
	r.relay.Lock()
	defer r.relay.Unlock()
	if calls := strings.Join(r.relay.Calls[before:], "\n"); strings.Contains(calls, "attach,1,") {
		t.Errorf("a proxy that left is bound: %s", calls)
	}
}

// The proxy watch falls silent while its connection stays open, and a proxy joins unseen. The missing signs of life are
// noticed, and the watch is opened again.
func TestSilentProxyWatchIsOpenedAgain(t *testing.T) {
	r := startProgram(t, nil)
	r.join(0)
	r.relay.Silence(true)
	r.relay.Join(proxy(1)) // no watcher hears of it
	r.awaitRelay("asked anew", func(relay *fakeplatform.Relay) bool { return relay.Watches > 1 })
	r.relay.Silence(false)
	r.awaitRelay("bound", allBound(0, 1))
}
