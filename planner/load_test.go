package planner

import "testing"

// A zone restarts under the same names, and late load reports contain the failures of the former processes. These
// failures would eject the new processes. Reports that cover time before an endpoint's start must be ignored, and later
// reports must count.
func TestReportOnFormerProcessIsIgnored(t *testing.T) {
	tr := newTrace(t, testConfig(), 6)
	tr.run(3)
	tr.logf("-- node 1 restarts; late sums say that it answers none")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Ready, StartTime: tr.now - 1}})
	tr.reports[1] = LoadReport{Completed: 8, Failed: 8, Interval: 4}
	tr.run(4)
	tr.logf("-- so do those that began since")
	tr.run(2)
	tr.check()
}

// Half of the endpoints reject connections while all answers are quick. There is no queue and admitting less would not
// help, so the levels must not change. The endpoints must not be ejected as outliers, because there are too many.
func TestQuickRejectionsAreNotLoad(t *testing.T) {
	tr := newTrace(t, testConfig(), 12)
	tr.run(2)
	tr.logf("-- half of the nodes refuse half of the tries")
	for node := range tr.reports {
		if node%4 < 2 {
			tr.reports[node] = LoadReport{Completed: 12, Failed: 6, MeanLatency: 0.2}
		}
	}
	tr.run(4)
	tr.check()
}
