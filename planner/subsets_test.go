package planner

import "testing"

// One table for a zone of many endpoints takes the channel too long. The zone has to be divided, and its subsets have
// to take each other's requests before those of another zone do.
func TestLargeZoneIsDivided(t *testing.T) {
	tr := newScene(t, testConfig(), 24)
	tr.planner.ProxyJoined(tr.now, 2, 0, 10)
	tr.run(1)
	tr.say("-- proxy 0 is asked for more than its pool can answer")
	tr.requests[0] = []int{30, 30}
	tr.run(2)
	tr.check()
}
