package planner

import "testing"

// A subset sends requests to another zone. Each entry is sent to every proxy of the table, so the table must include
// only a few endpoints of that zone. The other zone's own members must keep entries for these endpoints, as these would
// otherwise receive no requests if the sending zone were lost.
func TestSpillTakesFewEndpoints(t *testing.T) {
	tr := newTrace(t, testConfig(), 12)
	tr.requests[0] = []int{15, 15}
	tr.run(4)
	tr.check()
}
