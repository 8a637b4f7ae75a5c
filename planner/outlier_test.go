package planner

import "testing"

// An endpoint accepts requests but answers none, so the attempts fail when they time out. The endpoint must then be
// ejected, and must return to service through probation once it answers.
func TestSilentEndpointIsEjectedAndComesBack(t *testing.T) {
	tr := newTrace(t, testConfig(), 6)
	tr.run(3)
	tr.logf("-- node 1 answers none")
	tr.reports[1] = LoadReport{Completed: 4, Failed: 4}
	tr.run(8)
	tr.logf("-- node 1 answers again")
	tr.reports[1] = LoadReport{Completed: 1, MeanLatency: 0.2}
	tr.run(4)
	tr.check()
}

// The collector stalls, and the load reports on all endpoints stop at the same time. No endpoint is faulty, so none may
// be ejected.
func TestMissingReportsEjectNobody(t *testing.T) {
	tr := newTrace(t, testConfig(), 6)
	tr.run(3)
	tr.logf("-- no sums any more")
	clear(tr.reports)
	tr.run(5)
	tr.check()
}

// One endpoint fails quickly, another is full and answers slowly. Both fail most attempts. The first must be ejected,
// because it attracts requests; the second must stay, because ejecting it would only overload the next endpoint.
func TestFailingEndpointIsEjectedAndFullOneIsNot(t *testing.T) {
	tr := newTrace(t, testConfig(), 6)
	tr.run(3)
	tr.logf("-- node 1 fails fast, node 2 is full")
	tr.reports[1] = LoadReport{Completed: 10, Failed: 6, MeanLatency: 0.2}
	tr.reports[2] = LoadReport{Completed: 20, Failed: 12, MeanLatency: 1.5}
	tr.run(3)
	tr.check()
}

// Two endpoints fail most attempts and answer the others quickly; one of them has a queue. The endpoint with the queue
// is full and must stay in service, the other is faulty and must be ejected.
func TestEndpointWithQueueIsNotEjected(t *testing.T) {
	config := testConfig()
	config.QueueLengthIndex = 0
	tr := newTrace(t, config, 6)
	tr.run(2)
	tr.logf("-- node 1 is full and answers quickly what it takes, node 2 fails")
	tr.reports[1] = LoadReport{Completed: 20, Failed: 12, MeanLatency: 0.4, Values: []float64{6}}
	tr.reports[2] = LoadReport{Completed: 20, Failed: 12, MeanLatency: 0.4, Values: []float64{0}}
	tr.run(3)
	tr.check()
}
