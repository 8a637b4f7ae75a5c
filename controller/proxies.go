package controller

import (
	"cmp"
	"maps"
	"slices"

	"go.uber.org/zap"

	"harehook.dev/harehook/internal/invariant"
	"harehook.dev/harehook/settings"
)

// proxyTracker is what the proxy watch has reported of the proxies' streams.
//
// Each watch that is opened reports which proxies are connected; until it has named a proxy, that one is unconfirmed. After a gap the proxy may have left, or left and come back without the table that it was bound to, so
// that it has to be bound again. A gapless watch was opened before the one before it ended, and misses nothing; binding
// all proxies again would fill the channel for seconds.
type proxyTracker struct {
	limit          int          // proxies have the numbers below it
	joined         map[int]bool // by number
	unconfirmed    map[int]bool // those of joined that the present watch has not named
	gapless        bool         // of the present watch
	ignoreNextSync bool         // as the watch before a gapless one may still report proxies
}

func newProxyTracker(limit int) proxyTracker {
	return proxyTracker{
		limit:       cmp.Or(limit, settings.MaxProxies),
		joined:      map[int]bool{},
		unconfirmed: map[int]bool{},
	}
}

// has reports whether there can be a proxy of that number.
func (s *proxyTracker) has(proxy int) bool { return proxy >= 0 && proxy < s.limit }

// continues reports whether a proxy that the watch names is still on the stream that we know.
func (s *proxyTracker) continues(proxy int) bool { return s.gapless && s.unconfirmed[proxy] }

func (s *proxyTracker) join(proxy int) {
	s.joined[proxy] = true
	delete(s.unconfirmed, proxy)
}

func (s *proxyTracker) leave(proxy int) {
	delete(s.joined, proxy)
	delete(s.unconfirmed, proxy)
}

// watchResumed begins a watch, the first one or a later one.
func (s *proxyTracker) watchResumed(gapless bool) {
	s.gapless = gapless
	s.ignoreNextSync = gapless
	for proxy := range s.joined {
		s.unconfirmed[proxy] = true
	}
}

// watchSynced gives the proxies that have left unseen, in order, and whether it is certain yet who has: at the first
// sync of a gapless watch it is not.
func (s *proxyTracker) watchSynced() (left []int, synced bool) {
	if s.ignoreNextSync {
		s.ignoreNextSync = false
		return nil, false
	}
	return slices.Sorted(maps.Keys(s.unconfirmed)), true
}

// ProxyJoined says that a proxy's stream is connected. Its baseline rate is in requests a second.
func (c *Controller) ProxyJoined(proxy int, zone string, baselineRate float64) {
	c.post(func(l *eventLoop) { l.proxyJoined(proxy, zone, baselineRate) })
}

// ProxyLeft says that a proxy's stream broke.
func (c *Controller) ProxyLeft(proxy int) {
	c.post(func(l *eventLoop) { l.proxyLeft(proxy) })
}

// ProxyWatchResumed says that a proxy watch begins, the first one after the start as well. It reports next, by
// ProxyJoined, the proxies that are connected. Gapless says that no event was missed since the watch before.
func (c *Controller) ProxyWatchResumed(gapless bool) {
	c.post(func(l *eventLoop) { l.proxies.watchResumed(gapless) })
}

// ProxyWatchSynced says that all proxies that were connected when the watch began have been reported, and how many are
// connected now. It is called when the watch has synced, and again with each keep-alive of the watch after that.
//
// Proxies that were joined before and were not reported have left. After a gap that is so from the first call on. The
// first call of a gapless watch is ignored, and the second counts: the watch before may have reported proxies that
// joined since this one began, and this one reports them as well, before its next keep-alive.
func (c *Controller) ProxyWatchSynced(connected int) {
	c.post(func(l *eventLoop) { l.proxyWatchSynced(connected) })
}

// Acknowledged says that a proxy has applied all commands up to a nonce.
func (c *Controller) Acknowledged(proxy, nonce int) {
	c.post(func(l *eventLoop) { l.acknowledged(proxy, nonce) })
}

func (l *eventLoop) proxyJoined(proxy int, zone string, baselineRate float64) {
	zoneNumber, zoneKnown := l.names.zones[zone]
	if !zoneKnown || !l.proxies.has(proxy) {
		l.unknown.Proxies.Add(1)
		l.log.Warn("unknown proxy or zone", zap.Int("proxy", proxy), zap.String("zone", zone))
		return
	}
	if l.proxies.continues(proxy) {
		l.proxies.join(proxy)
		return
	}
	l.cancelBind(proxy)
	l.proxies.join(proxy)
	l.planner.ProxyJoined(l.now, proxy, zoneNumber, baselineRate)
}

func (l *eventLoop) proxyLeft(proxy int) {
	if !l.proxies.joined[proxy] {
		return
	}
	l.cancelBind(proxy)
	l.proxies.leave(proxy)
	l.planner.ProxyLeft(l.now, proxy)
}

// cancelBind guards against a binding for an earlier stream of a proxy that reaches a later one as though it were new.
func (l *eventLoop) cancelBind(proxy int) {
	l.batch = append(l.batch, Command{Kind: CancelBind, Proxy: proxy})
}

func (l *eventLoop) proxyWatchSynced(connected int) {
	left, synced := l.proxies.watchSynced()
	if !synced {
		return
	}
	for _, proxy := range left {
		l.proxyLeft(proxy)
	}
	invariant.Holds(len(l.proxies.unconfirmed) == 0, "no proxy is unconfirmed once the proxy watch has synced")
	invariant.Holds(len(l.proxies.joined) <= connected, "only proxies that the proxy watch names are joined")
}

func (l *eventLoop) acknowledged(proxy, nonce int) {
	if !l.proxies.joined[proxy] {
		l.unknown.Proxies.Add(1)
		return
	}
	l.planner.Acknowledged(l.now, proxy, nonce)
}
