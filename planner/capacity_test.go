package planner

import "testing"

// An endpoint becomes far slower than its peers and fails attempts for many seconds before its capacity is learned. Its
// weight must fall immediately, by the excess of its failure ratio over that of its peers. If all endpoints fail alike,
// no weight may fall.
func TestSlowEndpointGetsLessAtOnce(t *testing.T) {
	tr := newTrace(t, testConfig(), 6)
	tr.run(4)
	tr.logf("-- node 1 answers half of its tries, late")
	tr.reports[1] = LoadReport{Completed: 10, Failed: 5, MeanLatency: 1.8}
	tr.run(2)
	tr.logf("-- so do all")
	tr.setReports(tr.reports[1])
	tr.run(2)
	tr.check()
}
