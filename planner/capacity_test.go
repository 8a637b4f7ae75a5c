package planner

import "testing"

// An endpoint becomes far slower than its peers and fails attempts for many seconds before its capacity is learned. Its
// weight must fall immediately, by the excess of its failure ratio over that of its peers. If all endpoints fail alike,
// no weight may fall.
func TestSlowEndpointGetsLessAtOnce(t *testing.T) {
	tr := newScene(t, testConfig(), 6)
	tr.run(4)
	tr.say("-- node 1 answers half of its tries, late")
	tr.reports[1] = LoadReport{Completed: 10, Failed: 5, MeanLatency: 1.8}
	tr.run(2)
	tr.say("-- so do all")
	tr.reportAll(tr.reports[1])
	tr.run(2)
	tr.check()
}
