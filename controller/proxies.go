package controller

import (
	"cmp"
	"maps"
	"slices"

	"go.uber.org/zap"

	"harehook.dev/harehook/internal/invariant"
	"harehook.dev/harehook/settings"
)

// proxyTracker tracks the proxies' streams as reported by the proxy watch.
//
// Each new watch reports the connected proxies. A joined proxy is unconfirmed until the watch has reported it. After a
// gap between watches, a proxy may have left, or may have left and rejoined without the table that it was bound to, so
// it must be bound again. A gapless watch is opened before the previous one ends and misses no event. Its proxies are
// not bound again, because binding all proxies would fill the channel for seconds.
type proxyTracker struct {
	limit          int          // proxy numbers are below it
	joined         map[int]bool // by number
	unconfirmed    map[int]bool // joined proxies that the current watch has not reported yet
	gapless        bool         // whether the current watch is gapless
	ignoreNextSync bool         // set when a gapless watch begins: see ProxyWatchSynced
}

func newProxyTracker(limit int) proxyTracker {
	return proxyTracker{
		limit:       cmp.Or(limit, settings.MaxProxies),
		joined:      map[int]bool{},
		unconfirmed: map[int]bool{},
	}
}

// inRange reports whether a proxy number is within the limit.
func (t *proxyTracker) inRange(proxy int) bool { return proxy >= 0 && proxy < t.limit }

// onSameStream reports whether a proxy that the watch reports is still connected by the same stream.
func (t *proxyTracker) onSameStream(proxy int) bool { return t.gapless && t.unconfirmed[proxy] }

func (t *proxyTracker) join(proxy int) {
	t.joined[proxy] = true
	delete(t.unconfirmed, proxy)
}

func (t *proxyTracker) leave(proxy int) {
	delete(t.joined, proxy)
	delete(t.unconfirmed, proxy)
}

// watchResumed records the start of a watch, either the first one or a later one.
func (t *proxyTracker) watchResumed(gapless bool) {
	t.gapless = gapless
	t.ignoreNextSync = gapless
	for proxy := range t.joined {
		t.unconfirmed[proxy] = true
	}
}

// watchSynced returns the proxies that left without being reported, in ascending order. The result synced reports
// whether these are known: at the first sync of a gapless watch they are not.
func (t *proxyTracker) watchSynced() (left []int, synced bool) {
	if t.ignoreNextSync {
		t.ignoreNextSync = false
		return nil, false
	}
	return slices.Sorted(maps.Keys(t.unconfirmed)), true
}

// ProxyJoined reports that a proxy's stream is connected. The baseline rate is in requests per second.
func (c *Controller) ProxyJoined(proxy int, zone string, baselineRate float64) {
	c.post(func(l *eventLoop) { l.proxyJoined(proxy, zone, baselineRate) })
}

// ProxyLeft reports that a proxy's stream is disconnected.
func (c *Controller) ProxyLeft(proxy int) {
	c.post(func(l *eventLoop) { l.proxyLeft(proxy) })
}

// ProxyWatchResumed reports that a proxy watch begins. It is also called for the first watch after the start. The calls
// of ProxyJoined for the connected proxies follow. The argument gapless reports that no event was missed since the
// previous watch.
func (c *Controller) ProxyWatchResumed(gapless bool) {
	c.post(func(l *eventLoop) { l.proxies.watchResumed(gapless) })
}

// ProxyWatchSynced reports that the watch has reported all proxies that were connected when it began, and the number of
// proxies that are connected now. It is called when the watch has synced, and again with each of its later keep-alives.
//
// Proxies that joined earlier and were not reported by this watch have left. After a gap this holds from the first call
// on. For a gapless watch the first call is ignored and the second one is used: the previous watch may have reported
// proxies that joined after this watch began, and this watch reports them as well before its next keep-alive.
func (c *Controller) ProxyWatchSynced(connected int) {
	c.post(func(l *eventLoop) { l.proxyWatchSynced(connected) })
}

// Acknowledged reports that a proxy has applied all commands up to the given nonce.
func (c *Controller) Acknowledged(proxy, nonce int) {
	c.post(func(l *eventLoop) { l.acknowledged(proxy, nonce) })
}

func (l *eventLoop) proxyJoined(proxy int, zone string, baselineRate float64) {
	zoneNumber, zoneKnown := l.names.zones[zone]
	if !zoneKnown || !l.proxies.inRange(proxy) {
		l.unknown.Proxies.Add(1)
		l.log.Warn("proxy rejected: number out of range or unknown zone", zap.Int("proxy", proxy), zap.String("zone", zone))
		return
	}
	if l.proxies.onSameStream(proxy) {
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

// cancelBind discards earlier binds of a proxy, so that a bind for its previous stream is not applied to a new one.
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
