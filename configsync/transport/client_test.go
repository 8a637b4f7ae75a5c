package transport

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/records"
)

var shop = records.Scope{Services: []string{"shop"}}

// A follower receives a full scope, then deltas, and empty updates for revisions that do not change its scope.
func TestFollowerReceivesScopeDeltasAndEmptyUpdates(t *testing.T) {
	log := newGroupLog(100)
	log.put(t, "buy", "shop", 1000)
	log.put(t, "sell", "market", 1000)
	m := newMember(t, log, testLimits())
	c := newFollowerController(t, Config{Scope: shop, Members: []string{m.address}})
	c.awaitAccepted(log)
	log.put(t, "buy", "shop", 2000)
	c.awaitAccepted(log)
	log.put(t, "sell", "market", 2000)
	c.awaitAccepted(log)
	if counts := m.service.Counts(); counts.FullScopes != 1 || counts.Changes != 1 || counts.EmptyUpdates != 1 {
		t.Errorf("got counts %+v, want 1 full scope, 1 change and 1 empty update", counts)
	}
	waitFor(t, "the revision has converged", func() bool {
		status := m.service.Status()
		return status.Live == 1 && status.ConvergedRevision == log.Revision()
	})
}

// A change is sent when it is committed, not with the follower's next request.
func TestCommitIsSentWithoutDelay(t *testing.T) {
	limits := testLimits()
	limits.Lease = 6 * testTimeout // the follower sends a request only every two minutes
	log := newGroupLog(100)
	log.put(t, "buy", "shop", 1000)
	m := newMember(t, log, limits)
	c := newFollowerController(t, Config{Scope: shop, Members: []string{m.address}, Lease: limits.Lease})
	c.awaitAccepted(log)
	for change := range 5 {
		log.put(t, "buy", "shop", float64(2000+change))
		c.awaitAccepted(log)
	}
}

// The connection is closed in the middle of a delta: the follower must accept no part of it, and receives the delta
// from another member.
func TestConnectionCutWithinDelta(t *testing.T) {
	first, second := newGroupLog(100), newGroupLog(100)
	one, two := newMember(t, first, testLimits()), newMember(t, second, testLimits())
	proxies := []*cuttableProxy{newCuttableProxy(t, one.address), newCuttableProxy(t, two.address)}
	put := func(name string, limit float64) {
		first.put(t, name, "shop", limit)
		second.put(t, name, "shop", limit)
	}
	put("buy", 1000)
	c := newFollowerController(t, Config{Scope: shop, Members: []string{proxies[0].address(), proxies[1].address()}})
	c.awaitAccepted(first)
	followed := slices.IndexFunc(proxies, func(proxy *cuttableProxy) bool { return proxy.address() == c.client.Status().Member })
	proxies[followed].cutAfter.Store(20) // a frame header and a few bytes of the message
	put("buy", 2000)
	c.awaitAccepted(first)
	status := c.client.Status()
	if status.Failovers == 0 || status.Member != proxies[1-followed].address() {
		t.Errorf("after the cut: got status %+v, want at least 1 failover and member %s", status, proxies[1-followed].address())
	}
	if last := c.last(); last.revision != 2 || len(last.records) != 1 {
		t.Errorf("got accepted revision %+v, want revision 2 with 1 record", last)
	}
}

// The followed member stops during a series of commits: in the end every follower must have all changes, and none may
// accept an older revision after a newer one.
func TestFollowersMoveWhenMemberStops(t *testing.T) {
	logs := []*groupLog{newGroupLog(1000), newGroupLog(1000), newGroupLog(1000)}
	var members []*member
	var addresses []string
	for _, log := range logs {
		m := newMember(t, log, testLimits())
		members, addresses = append(members, m), append(addresses, m.address)
	}
	put := func(limit float64) {
		for at, log := range logs {
			log.put(t, fmt.Sprintf("route-%d", int(limit)%7), "shop", limit)
			if at == 0 && limit == 1050 {
				members[0].stop() // the change has not reached the other members yet
			}
		}
	}
	var controllers []*followerController
	for k := range 12 {
		controllers = append(controllers, newFollowerController(t, Config{Name: fmt.Sprintf("conductor-%d", k), Scope: shop, Members: addresses, Seed: uint64(k)}))
	}
	for _, c := range controllers {
		waitFor(t, "a member is followed", func() bool { return c.client.Status().Member != "" })
	}
	moved := 0
	for _, c := range controllers {
		if c.client.Status().Member == addresses[0] {
			moved++
		}
	}
	if moved == 0 {
		t.Fatal("no controller follows the member that stops: choose other seeds")
	}
	for limit := range 100 {
		put(float64(1000 + limit))
	}
	for _, c := range controllers {
		c.awaitAccepted(logs[1])
		if member := c.client.Status().Member; member == addresses[0] {
			t.Errorf("%s still follows stopped member %s", c.client.config.Name, member)
		}
	}
}

// A follower is disconnected for longer than its lease, either with its connections closed or with stalled ones. It
// must keep its records, report that it is stale, and receive only a delta after it has reconnected.
func TestFollowerDisconnectedLongerThanLease(t *testing.T) {
	for name, cut := range map[string]func(*cuttableProxy, bool){"closed": (*cuttableProxy).cut, "stalled": (*cuttableProxy).stall} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := newGroupLog(100)
			log.put(t, "buy", "shop", 1000)
			m := newMember(t, log, testLimits())
			proxy := newCuttableProxy(t, m.address)
			c := newFollowerController(t, Config{Scope: shop, Members: []string{proxy.address()}})
			c.awaitAccepted(log)
			cut(proxy, true)
			waitFor(t, "follower is stale", func() bool { return c.client.Status().Stale })
			waitFor(t, "follower has no member", func() bool { return c.client.Status().Member == "" })
			waitFor(t, "member has no live follower", func() bool { return m.service.Status().Live == 0 })
			accepted := c.last()
			log.put(t, "buy", "shop", 2000)
			if last := c.last(); last.revision != accepted.revision {
				t.Errorf("while disconnected: got accepted revision %d, want %d", last.revision, accepted.revision)
			}
			cut(proxy, false)
			c.awaitAccepted(log)
			waitFor(t, "follower is no longer stale", func() bool { return !c.client.Status().Stale })
			waitFor(t, "all stale changes are reported", func() bool {
				c.resultsMutex.Lock()
				defer c.resultsMutex.Unlock()
				return slices.Equal(c.staleChanges, []bool{false, true, false})
			})
			if counts := m.service.Counts(); counts.FullScopes != 1 || counts.Changes != 1 {
				t.Errorf("got counts %+v, want 1 full scope and 1 change", counts)
			}
		})
	}
}

// A follower whose revision is older than the member's history receives a full scope when it reconnects.
func TestFollowerBehindHistoryReceivesFullScope(t *testing.T) {
	log := newGroupLog(5)
	log.put(t, "buy", "shop", 1000)
	m := newMember(t, log, testLimits())
	proxy := newCuttableProxy(t, m.address)
	c := newFollowerController(t, Config{Scope: shop, Members: []string{proxy.address()}})
	c.awaitAccepted(log)
	proxy.cut(true)
	waitFor(t, "member has closed the stream", func() bool { return m.openStreams() == 0 })
	for change := range 20 {
		log.put(t, "sell", "shop", float64(1000+change))
	}
	proxy.cut(false)
	c.awaitAccepted(log)
	if counts := m.service.Counts(); counts.FullScopes != 2 {
		t.Errorf("got counts %+v, want 2 full scopes", counts)
	}
}

// Two followers accept a change and one rejects it. The one that rejects must keep its records, its reason must be in
// the member's status, and the converged revision must not advance until it accepts a later revision.
func TestRejectionDelaysConvergence(t *testing.T) {
	log := newGroupLog(100)
	log.put(t, "buy", "shop", 1000)
	limits := testLimits()
	limits.RejectedBackoff = testTimeout // the change is not sent again during this test
	m := newMember(t, log, limits)
	rejects := func(_ uint64, accepted map[records.Key]*records.Record) error {
		route, err := accepted[records.Key{Kind: records.KindRoute, Name: "buy"}].Route()
		if err != nil || route.TimeLimitMS == 2000 {
			return errors.New("two seconds are too long")
		}
		return nil
	}
	rejecting := newFollowerController(t, Config{Name: "rejecting", Scope: shop, Members: []string{m.address}, Validate: rejects})
	others := []*followerController{newFollowerController(t, Config{Name: "other-1", Scope: shop, Members: []string{m.address}}),
		newFollowerController(t, Config{Name: "other-2", Scope: shop, Members: []string{m.address}})}
	for _, c := range append(others, rejecting) {
		c.awaitAccepted(log)
	}
	log.put(t, "buy", "shop", 2000)
	for _, c := range others {
		c.awaitAccepted(log)
	}
	var rejected configsync.LeaseStatus
	waitFor(t, "member has received the NACK", func() bool {
		leases := m.service.Status().Leases
		at := slices.IndexFunc(leases, func(one configsync.LeaseStatus) bool { return one.Name == "rejecting" })
		if at < 0 || leases[at].RejectedRevision == 0 {
			return false
		}
		rejected = leases[at]
		return true
	})
	if rejected.RejectedRevision != 2 || rejected.Accepted != 1 || rejected.Reason != "two seconds are too long" || rejected.Behind <= 0 {
		t.Errorf("got lease %+v, want rejected revision 2, accepted 1, the reason and a positive lag", rejected)
	}
	if status := m.service.Status(); status.ConvergedRevision != 1 || status.Live != 3 {
		t.Errorf("got converged revision %d with %d live followers, want 1 with 3", status.ConvergedRevision, status.Live)
	}
	log.put(t, "buy", "shop", 3000)
	for _, c := range append(others, rejecting) {
		c.awaitAccepted(log)
	}
	waitFor(t, "revision 3 has converged", func() bool { return m.service.Status().ConvergedRevision == 3 })
}

// A follower moves to a member with an older revision: it must keep its own revision, and advance when that member has
// a newer one.
func TestFollowerMovesToLaggingMember(t *testing.T) {
	ahead, behind := newGroupLog(100), newGroupLog(100)
	one, two := newMember(t, ahead, testLimits()), newMember(t, behind, testLimits())
	proxy := newCuttableProxy(t, two.address)
	proxy.cut(true)
	for change := range 10 {
		ahead.put(t, "buy", "shop", float64(1000+change))
		if change < 5 {
			behind.put(t, "buy", "shop", float64(1000+change))
		}
	}
	c := newFollowerController(t, Config{Scope: shop, Members: []string{one.address, proxy.address()}})
	c.awaitAccepted(ahead)
	one.stop()
	proxy.cut(false)
	waitFor(t, "follower follows the lagging member", func() bool { return c.client.Status().Member == proxy.address() })
	waitFor(t, "lagging member has renewed the lease", func() bool { return !c.client.Status().Stale && two.service.Counts().Heartbeats > 2 })
	if last := c.last(); last.revision != 10 {
		t.Errorf("got accepted revision %d, want 10", last.revision)
	}
	for change := 5; change < 12; change++ {
		behind.put(t, "buy", "shop", float64(1000+change))
	}
	c.awaitAccepted(behind)
	if counts := two.service.Counts(); counts.FullScopes != 0 {
		t.Errorf("got counts %+v, want no full scope", counts)
	}
}
