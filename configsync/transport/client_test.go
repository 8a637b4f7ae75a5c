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

// A follower gets a full scope, then deltas, and progress for revisions that change nothing of its scope.
func TestFollowerGetsScopeDeltasAndProgress(t *testing.T) {
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
		t.Errorf("sent: %+v", counts)
	}
	waitFor(t, "the revision has converged", func() bool {
		status := m.service.Status()
		return status.Live == 1 && status.ConvergedRevision == log.Revision()
	})
}

// A change is sent as it is committed, not with the follower's next request.
func TestCommitIsSentWithoutDelay(t *testing.T) {
	limits := testLimits()
	limits.Lease = 6 * testTimeout // the follower is heard every two minutes
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

// The connection is cut in the midst of a delta: the follower must accept nothing of it, and gets the delta from another
// member.
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
	proxies[followed].cutAfter.Store(20) // a frame's head and a few bytes of the message
	put("buy", 2000)
	c.awaitAccepted(first)
	status := c.client.Status()
	if status.Failovers == 0 || status.Member != proxies[1-followed].address() {
		t.Errorf("after the cut: %+v", status)
	}
	if last := c.last(); last.revision != 2 || len(last.records) != 1 {
		t.Errorf("accepted %+v", last)
	}
}

// The member that is followed stops while changes are committed one after the other: in the end no follower must lack one,
// and none must accept an older revision after a newer one.
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
				members[0].stop() // in the midst of it: the others have not got it yet
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
		t.Fatal("no follower of the member that is lost: choose other seeds")
	}
	for limit := range 100 {
		put(float64(1000 + limit))
	}
	for _, c := range controllers {
		c.awaitAccepted(logs[1])
		if member := c.client.Status().Member; member == addresses[0] {
			t.Errorf("%s still follows the member that has stopped", c.client.config.Name)
		}
	}
}

// A follower is cut off for longer than its lease, once with its connections closed and once in silence: it has to go on
// with its records, report that it is stale, and get only a delta when it is back.
func TestFollowerCutOffLongerThanLease(t *testing.T) {
	for name, cut := range map[string]func(*cuttableProxy, bool){"ended": (*cuttableProxy).cut, "silent": (*cuttableProxy).stall} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := newGroupLog(100)
			log.put(t, "buy", "shop", 1000)
			m := newMember(t, log, testLimits())
			proxy := newCuttableProxy(t, m.address)
			c := newFollowerController(t, Config{Scope: shop, Members: []string{proxy.address()}})
			c.awaitAccepted(log)
			cut(proxy, true)
			waitFor(t, "it is stale", func() bool { return c.client.Status().Stale })
			waitFor(t, "it has left the member", func() bool { return c.client.Status().Member == "" })
			waitFor(t, "the member knows", func() bool { return m.service.Status().Live == 0 })
			accepted := c.last()
			log.put(t, "buy", "shop", 2000)
			if last := c.last(); last.revision != accepted.revision {
				t.Errorf("accepted revision %d, cut off it had %d", last.revision, accepted.revision)
			}
			cut(proxy, false)
			c.awaitAccepted(log)
			waitFor(t, "it is not stale any more", func() bool { return !c.client.Status().Stale })
			waitFor(t, "all of that was reported", func() bool {
				c.resultsMutex.Lock()
				defer c.resultsMutex.Unlock()
				return slices.Equal(c.staleChanges, []bool{false, true, false})
			})
			if counts := m.service.Counts(); counts.FullScopes != 1 || counts.Changes != 1 {
				t.Errorf("sent: %+v", counts)
			}
		})
	}
}

// A follower that was away for longer than the member's history reaches gets a full scope.
func TestFollowerBehindHistoryGetsFullScope(t *testing.T) {
	log := newGroupLog(5)
	log.put(t, "buy", "shop", 1000)
	m := newMember(t, log, testLimits())
	proxy := newCuttableProxy(t, m.address)
	c := newFollowerController(t, Config{Scope: shop, Members: []string{proxy.address()}})
	c.awaitAccepted(log)
	proxy.cut(true)
	waitFor(t, "the member has noticed", func() bool { return m.openStreams() == 0 })
	for change := range 20 {
		log.put(t, "sell", "shop", float64(1000+change))
	}
	proxy.cut(false)
	c.awaitAccepted(log)
	if counts := m.service.Counts(); counts.FullScopes != 2 {
		t.Errorf("sent: %+v", counts)
	}
}

// Two followers accept a change and one rejects it: it has to go on with its records, its reason is shown, and the converged
// revision stays until it accepts a later one.
func TestRejectionHoldsBackConvergence(t *testing.T) {
	log := newGroupLog(100)
	log.put(t, "buy", "shop", 1000)
	limits := testLimits()
	limits.RejectedBackoff = testTimeout // it is not offered again in this test
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
	waitFor(t, "the NACK is known", func() bool {
		leases := m.service.Status().Leases
		at := slices.IndexFunc(leases, func(one configsync.LeaseStatus) bool { return one.Name == "rejecting" })
		if at < 0 || leases[at].RejectedRevision == 0 {
			return false
		}
		rejected = leases[at]
		return true
	})
	if rejected.RejectedRevision != 2 || rejected.Accepted != 1 || rejected.Reason != "two seconds are too long" || rejected.Behind <= 0 {
		t.Errorf("%+v", rejected)
	}
	if status := m.service.Status(); status.ConvergedRevision != 1 || status.Live != 3 {
		t.Errorf("converged revision %d at %d followers", status.ConvergedRevision, status.Live)
	}
	log.put(t, "buy", "shop", 3000)
	for _, c := range append(others, rejecting) {
		c.awaitAccepted(log)
	}
	waitFor(t, "the later change has converged", func() bool { return m.service.Status().ConvergedRevision == 3 })
}

// A follower moves to a member that has not caught up: it has to stay at its revision, and go on once that member has more.
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
	waitFor(t, "it follows the other", func() bool { return c.client.Status().Member == proxy.address() })
	waitFor(t, "the other has renewed its lease", func() bool { return !c.client.Status().Stale && two.service.Counts().Heartbeats > 2 })
	if last := c.last(); last.revision != 10 {
		t.Errorf("accepted revision %d", last.revision)
	}
	for change := 5; change < 12; change++ {
		behind.put(t, "buy", "shop", float64(1000+change))
	}
	c.awaitAccepted(behind)
	if counts := two.service.Counts(); counts.FullScopes != 0 {
		t.Errorf("sent: %+v", counts)
	}
}
