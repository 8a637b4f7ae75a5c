package planner

import "testing"

// A subset sends requests to another zone. An entry costs one at every proxy, so that its table has to lead to few
// endpoints there. The other zone's own members have to keep entries for these, as they would have none if the
// borrowing zone were lost.
func TestSpillTakesFewEndpoints(t *testing.T) {
	tr := newScene(t, testConfig(), 12)
	tr.requests[0] = []int{15, 15}
	tr.run(4)
	tr.check()
}
