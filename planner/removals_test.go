package planner

import "testing"

// release is a rolling deploy in a test: every interval, cold endpoints replace as many of the oldest ones, which drain.
type release struct {
	fleet     int     // endpoints in service
	interval  float64 // s
	endpoints int     // replaced in each interval
}

// replace returns the changes of the list at the kth interval.
func (r release) replace(k int, now float64) (changes []Endpoint) {
	for i := k * r.endpoints; i < (k+1)*r.endpoints; i++ {
		started := r.fleet + i
		changes = append(changes,
			Endpoint{Node: uint32(started + 1), Zone: started % 3, State: Ready, StartTime: now},
			Endpoint{Node: uint32(i + 1), Zone: i % 3, State: Draining})
	}
	return changes
}

// largeFleet returns a channel to a controller for 240 proxies and 200 endpoints in three zones, after its first 70
// proxies have been bound.
func largeFleet(entriesPerSecond, drainGrace float64) (c *simulatedChannel, bound int) {
	config := testConfig()
	config.Zones = 3
	config.Proxies = 240
	config.EntriesPerSecond = entriesPerSecond
	config.MaxInFlightEntries = 5300
	config.MessageOverhead = 10
	config.MaxMessages = 30
	config.DrainGrace = drainGrace
	var endpoints []Endpoint
	for i := range 200 {
		endpoints = append(endpoints, Endpoint{Node: uint32(i + 1), Zone: i % 3, State: Ready})
	}
	c = newSimulatedChannel(config, endpoints)
	bound = 70
	for proxy := range bound {
		joinUnequally(c, proxy)
	}
	c.advance(c.now + 10)
	return c, bound
}

// joinUnequally joins a proxy to one of three zones, the second of which has more proxies than the others.
func joinUnequally(c *simulatedChannel, proxy int) {
	zone := []int{0, 1, 2, 1, 0, 2, 1}[proxy%7]
	c.join(proxy, zone, float64(1+proxy%12))
}

// Two of three controllers fail during a release. Their 170 proxies join the remaining one within 0.7 s and keep the
// tables of the former controllers until they are bound. If the removals of all later drains were sent before the
// binds, they would take most of the channel, and proxies that are not bound yet would send to drained endpoints after
// the grace period.
func TestProxiesOfFailedControllersLeaveDrainedEndpointsInTime(t *testing.T) {
	const (
		failure      = 4.0   // s, from the start of the release
		joinInterval = 0.004 // s
		duration     = 16.0  // s
	)
	deploy := release{fleet: 200, interval: 0.45, endpoints: 4}
	c, joined := largeFleet(1600, 5)
	start := c.now
	joinAt := start + failure
	for k := 0; c.now < start+duration; k++ {
		c.list(deploy.replace(k, c.now))
		next := start + float64(k+1)*deploy.interval
		for ; joined < c.planner.config.Proxies && joinAt < next; joinAt += joinInterval {
			c.advance(joinAt)
			joinUnequally(c, joined)
			joined++
		}
		c.advance(next)
		if late := c.lateProxies(); len(late) > 0 {
			t.Fatalf("%.1f s after the failure: %d proxies may send to drained endpoints, want none; first: %+v",
				c.now-start-failure, len(late), late[0])
		}
	}
	if joined != c.planner.config.Proxies || len(c.held) != joined {
		t.Errorf("got %d joined and %d bound proxies, want %d each", joined, len(c.held), c.planner.config.Proxies)
	}
}

// So many proxies join that binding them takes longer than the grace period, and then an endpoint drains. If its removal
// waited for all of these binds, the proxies that were bound before would send to it after the grace period as well.
func TestRemovalsPrecedeBindsThatTakeTooLong(t *testing.T) {
	c, bound := largeFleet(400, 5)
	for proxy := bound; proxy < c.planner.config.Proxies; proxy++ {
		joinUnequally(c, proxy)
	}
	c.advance(c.now + 1)
	c.list([]Endpoint{{Node: 1, State: Draining}})
	c.advance(c.now + c.planner.config.DrainGrace + 0.1)
	if waiting := len(c.planner.proxies.bindQueue); waiting == 0 {
		t.Error("got no waiting proxy after the grace period, want some")
	}
	for _, late := range c.lateProxies() {
		if late.proxy < bound {
			t.Errorf("proxy %d, bound before the drain, may send to endpoint %d after the grace period", late.proxy, late.node)
		}
	}
}

// Many proxies join and the grace period leaves time for all binds and removals. If removals waited for binds
// nevertheless, the proxies that are bound would send requests to endpoints that end soon. The removal must be sent at
// once.
func TestRemovalsPrecedeBindsWithAmpleGrace(t *testing.T) {
	c, bound := largeFleet(400, 60)
	for proxy := bound; proxy < c.planner.config.Proxies; proxy++ {
		joinUnequally(c, proxy)
	}
	c.advance(c.now + 1)
	if waiting := len(c.planner.proxies.bindQueue); waiting == 0 {
		t.Error("got no waiting proxy, want some")
	}
	c.list([]Endpoint{{Node: 1, State: Draining}})
	for table, weights := range c.tables {
		if weights[1] > 0 {
			t.Errorf("table %d still has an entry for the draining endpoint", table)
		}
	}
}
