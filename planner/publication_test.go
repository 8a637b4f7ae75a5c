package planner

import "testing"

// Three of a zone's six endpoints are removed at the same time. Their requests move to the remaining endpoints. One of
// these is cold and would be overloaded. The table must be published again immediately, with a small weight for the
// cold endpoint.
func TestTableThatLostMuchIsPublishedAtOnce(t *testing.T) {
	tr := newTrace(t, testConfig(), 12)
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now}})
	tr.run(8)
	tr.logf("-- three of zone 0's six nodes are gone")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 3}, {Node: 5}, {Node: 7}})
	tr.check()
}

// Two endpoints slow down, so that their zone must send requests to the other zone. If its table were published first,
// the requests would arrive at a zone that has no capacity for them yet. The table of the receiving zone must be
// published first, and that of the sending zone once most proxies have acknowledged, or after a second without
// acknowledgement.
func TestReceivingTablesArePublishedFirst(t *testing.T) {
	tr := newTrace(t, testConfig(), 5)
	tr.run(1)
	tr.withholdAcks = true
	tr.logf("-- nodes 1 and 2 slow down; marks stay away")
	tr.reports[1] = LoadReport{Completed: 6, MeanLatency: 0.8}
	tr.reports[2] = LoadReport{Completed: 4, MeanLatency: 1.2}
	tr.run(4)
	tr.check()
}

// Endpoints restart, drain and are removed while proxies join and the channel's queue is small. Draining endpoints are
// the first to fail requests, and a proxy without a table cannot route. The removed entries must be published for all
// tables first, then proxies must be bound, then the tables that deviate far from the desired ones must be published.
func TestRemovalsThenBindsThenTables(t *testing.T) {
	config := testConfig()
	config.Proxies = 20
	config.MaxInFlightEntries = 80
	tr := newTrace(t, config, 12)
	tr.run(2)
	tr.logf("-- nodes restart and drain as proxies join")
	tr.withholdAcks = true
	for p := 2; p < 8; p++ {
		tr.planner.ProxyJoined(tr.now, p, p%2, 1)
	}
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now}, {Node: 4, Zone: 1},
		{Node: 6, Zone: 1, State: Draining}, {Node: 5, State: Draining}})
	tr.withholdAcks = false
	tr.run(1)
	tr.check()
}

// Two tables deviate far from the desired ones at the same time, and one of them has no entry. Its members have no
// endpoint for their requests, so it must be published first, whatever the demand of the other.
func TestEmptyTableIsPublishedFirst(t *testing.T) {
	tr := newTrace(t, testConfig(), 24)
	tr.run(2)
	clear(tr.planner.subsets[3].table.published)
	tr.planner.subsets[3].members = []int{1}
	tr.planner.subsets[3].demand = 0
	tr.planner.subsets[0].table.published[0] *= 5
	tr.planner.planTables()
	tr.logf("-- table 0 is far off, table 3 has no line")
	tr.planner.publishAll(tr.planner.changedByTable([]int{0, 1, 2, 3}), bindQueueFraction)
	tr.check()
}
