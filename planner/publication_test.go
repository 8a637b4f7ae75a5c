package planner

import "testing"

// Three of a zone's six endpoints are removed at once. What they got comes to those that are left, a cold one among
// them, which would be overloaded. The table has to be published anew at once, with little for the cold endpoint.
func TestTableThatLostMuchIsPublishedAtOnce(t *testing.T) {
	tr := newTrace(t, testConfig(), 12)
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now}})
	tr.run(8)
	tr.logf("-- three of zone 0's six nodes are gone")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 3}, {Node: 5}, {Node: 7}})
	tr.check()
}

// Two endpoints slow down and their zone has to send requests to the other. If its table went first, the requests
// would come to a zone that still has no capacity for them. Tables that receive have to go first, those that send when
// most proxies have acknowledged, or after a second without acknowledgement.
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

// Endpoints restart, drain and are removed while proxies join and the channel is small. What drains fails requests
// soonest, and a proxy without a table has nothing to go by. Removals have to leave all tables first, then proxies
// are bound, then tables that are far off are published.
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

// Two tables are far off at once, one of them without an entry. The members of that one have no endpoint to send to:
// it has to be published first, whatever the demand of the other.
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
