package controller

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The proxy watch broke and was reopened some time later. In the meantime a proxy may have left and rejoined without
// the table that it was bound to, and others may have left without being reported. Proxies that the new watch reports
// must be bound again, and all others must be removed.
func TestWatchWithGapRebindsAndRemovesUnconfirmed(t *testing.T) {
	c, sink := newControllerWithProxies(t)
	c.loop.now++
	c.ProxyWatchResumed(false)
	c.ProxyJoined(0, "north", 10)
	c.ProxyLeft(2)
	c.ProxyWatchSynced(1)
	c.loop.iterate(nil)
	checkCommands(t, sink, "cancel 0; bind 0 to 0; ack 2; cancel 2; cancel 1; s-2 0.50 in 0; \n")
	if diff := cmp.Diff(map[int]bool{0: true}, c.loop.proxies.joined); diff != "" {
		t.Errorf("joined (-want +got):\n%s", diff)
	}
}

// While the relay moves, the previous watch overlaps with the next one. A proxy that joins during the overlap is
// reported by both and must be bound only once. A proxy that the next watch never reports has left.
func TestGaplessWatchKeepsBindings(t *testing.T) {
	c, sink := newControllerWithProxies(t)
	c.ProxyWatchResumed(true)
	c.ProxyJoined(0, "north", 10)
	c.ProxyWatchSynced(1)
	c.ProxyJoined(1, "north", 10)
	c.loop.iterate(nil)
	c.ProxyWatchSynced(2)
	c.loop.iterate(nil)
	checkCommands(t, sink, "cancel 2; \n")
}
