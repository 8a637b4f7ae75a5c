package planner

import "testing"

// A zone restarts under the same names, and late load reports tell of the failures of the processes that were lost.
// The new ones would be ejected for them. Reports that reach back before an endpoint's start have to be ignored,
// later ones have to count.
func TestReportOnFormerProcessIsIgnored(t *testing.T) {
	tr := newScene(t, testConfig(), 6)
	tr.run(3)
	tr.say("-- node 1 restarts; late sums say that it answers none")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now - 1}})
	tr.reports[1] = LoadReport{Completed: 8, Failed: 8, Interval: 4}
	tr.run(4)
	tr.say("-- so do those that began since")
	tr.run(2)
	tr.check()
}

// Half of the endpoints reject connections while all answers are quick. That is no queue, and admitting less would
// not help: levels have to stay. Nor are the endpoints outliers, as there are too many of them.
func TestQuickRejectionsAreNotLoad(t *testing.T) {
	tr := newScene(t, testConfig(), 12)
	tr.run(2)
	tr.say("-- half of the nodes refuse half of the tries")
	for node := range tr.reports {
		if node%4 < 2 {
			tr.reports[node] = LoadReport{Completed: 12, Failed: 6, MeanLatency: 0.2}
		}
	}
	tr.run(4)
	tr.check()
}
