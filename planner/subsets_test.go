package planner

import "testing"

// A single table for a zone with many endpoints would occupy the channel for too long. The zone must be divided, and
// requests must spill to other subsets of the same zone before they spill to another zone.
func TestLargeZoneIsDivided(t *testing.T) {
	tr := newTrace(t, testConfig(), 24)
	tr.planner.ProxyJoined(tr.now, 2, 0, 10)
	tr.run(1)
	tr.logf("-- proxy 0 is asked for more than its pool can answer")
	tr.requests[0] = []int{30, 30}
	tr.run(2)
	tr.check()
}
