package main

import (
	"strings"
	"testing"

	"harehook.dev/harehook/internal/fakeplatform"
)

// Proxies join and leave while the proxy watch is disconnected, so the controller gets no events for them. Afterwards
// it must bind the connected proxies again, and must not bind those that left.
func TestProxiesAreBoundAgainAfterWatchBreaks(t *testing.T) {
	r := startProgram(t, nil)
	r.join(0, 1, 2)
	r.relay.BreakWatches(func() {
		r.relay.Leave(0, 1)
		r.relay.Join(proxy(0), proxy(3))
	})
	r.awaitRelay("connected proxies bound", allBound(0, 2, 3))
	r.relay.Lock()
	callsBefore := len(r.relay.Calls)
	r.relay.Unlock()
	r.discovery.Set(node("s-3", "south", "terminating"))
	r.awaitRelay("drained endpoint removed", noTableContains("s-3"))
	r.relay.Lock()
	defer r.relay.Unlock()
	if calls := strings.Join(r.relay.Calls[callsBefore:], "\n"); strings.Contains(calls, "attach,1,") {
		t.Errorf("got calls %s, want no binding of proxy 1, which left", calls)
	}
}

// The proxy watch stops sending events and heartbeats while its connection stays open, and a proxy joins. The
// controller must detect the missing heartbeats and reopen the watch.
func TestSilentProxyWatchIsReopened(t *testing.T) {
	r := startProgram(t, nil)
	r.join(0)
	r.relay.Silence(true)
	r.relay.Join(proxy(1)) // no watcher gets this event
	r.awaitRelay("watch reopened", func(relay *fakeplatform.Relay) bool { return relay.Watches > 1 })
	r.relay.Silence(false)
	r.awaitRelay("proxies bound", allBound(0, 1))
}
