package controller

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The proxy watch broke and was opened again some time later. A proxy may have left and come back meanwhile, without
// the table that it was bound to, and others may have left unseen. Those that are told again have to be bound again,
// and the others have left.
func TestWatchWithGapBindsAgainAndRemovesUnconfirmed(t *testing.T) {
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

// While the relay moves, the watch before goes on beside the next one. A proxy that it told of since that one began is
// told twice and has to be bound once; one that the next never tells of has left.
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
