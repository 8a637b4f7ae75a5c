package planner

import (
	"fmt"
	"testing"
)

// The channel delivers nothing for a while, so that no acknowledgements arrive. Ordinary changes must wait, but
// endpoints that drain must still be removed from the tables.
func TestUrgentChangesPassSlowChannel(t *testing.T) {
	config := testConfig()
	config.MaxInFlightEntries = 100
	config.EntriesPerSecond = 50
	tr := newTrace(t, config, 8)
	tr.withholdAcks = true
	tr.logf("-- zone 0 is asked for more")
	tr.requests[0] = []int{30, 30}
	tr.run(4)
	tr.logf("-- node 2 drains")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 2, Zone: 1, State: Draining}})
	tr.check()
}

// The channel is slow for a minute, while an endpoint alternates between draining and ready. If entries were released
// after a timeout, they would overrun the queue. The queue must never exceed its bound, and the entries of a proxy must
// be released when its stream breaks.
func TestQueueStaysBoundedOnSlowChannel(t *testing.T) {
	config := testConfig()
	config.MaxInFlightEntries = 60
	config.EntriesPerSecond = 30
	tr := newTrace(t, config, 8)
	tr.withholdAcks = true
	for k := range 30 {
		tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, StartTime: tr.now, State: EndpointState(1 + k%2)}})
		tr.run(2)
	}
	tr.logf("free %.0f", tr.planner.flow.available(1))
	tr.planner.ProxyLeft(tr.now, 0)
	tr.logf("free %.0f", tr.planner.flow.available(1))
	tr.check()
}

// A call with unknown outcome is sent again, so that its entries may be in flight twice. An acknowledgement of its
// nonce may belong to the first call. The entries of the second call must be counted until a later nonce is
// acknowledged.
func TestRetriedCallCountsTwice(t *testing.T) {
	config := testConfig()
	tr := newTrace(t, config, 4)
	traceInFlight := func(when string) { tr.logf("%s: %.0f lines wait", when, tr.planner.flow.account.entries) }
	tr.run(1)
	traceInFlight("calm")
	tr.withholdAcks = true
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 2, Zone: 1, State: Draining}})
	traceInFlight("node 2 drains")
	retriedNonce := tr.nonce
	tr.planner.CommandsRetried(tr.now, retriedNonce, true)
	traceInFlight("repeated")
	tr.planner.CommandsAccepted(tr.now, retriedNonce)
	for p := range 2 {
		tr.planner.Acknowledged(tr.now, p, retriedNonce)
	}
	traceInFlight("confirmed, for all one knows the first time")
	tr.now += 0.1
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 1, State: Draining}})
	traceInFlight("node 1 drains")
	for p := range 2 {
		tr.planner.Acknowledged(tr.now, p, tr.nonce)
	}
	tr.planner.CommandsAccepted(tr.now, tr.nonce)
	traceInFlight("confirmed")
	tr.check()
}

// The queue holds far more entries than the channel delivers in a few seconds. If the tables of many joining proxies
// filled their fraction of the queue, all later commands would be delayed by half a minute. The proxies must be bound
// at the rate at which the channel delivers, admission levels must still be sent, and few entries must precede the
// removal of a draining endpoint.
func TestLongQueueIsFilledByRate(t *testing.T) {
	config := testConfig()
	config.Proxies = 200
	config.EntriesPerSecond = 100
	config.MaxInFlightEntries = 100000
	tr := &trace{t: t, now: 100, reports: map[uint32]LoadReport{}, withholdAcks: true}
	tr.planner = New(tr, config, tr.now)
	tr.planner.ReplaceEndpoints(tr.now, endpointList(6))
	tr.planner.CommandsAccepted(tr.now, tr.nonce)
	for p := range config.Proxies {
		tr.planner.ProxyJoined(tr.now, p, p%2, 1)
	}
	var lines []string
	record := func(when string) {
		bound := len(tr.planner.subsets[0].members) + len(tr.planner.subsets[1].members)
		lines = append(lines, fmt.Sprintf("%s: %.1f s of the channel wait, %d bound", when,
			tr.planner.flow.account.entries/config.EntriesPerSecond, bound))
	}
	record("joined")
	for range 4 {
		tr.planner.Acknowledged(tr.now, 0, tr.nonce)
		tr.run(1)
	}
	record("4 s later")
	before := tr.planner.flow.account.entries
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 2, Zone: 1, State: Draining}})
	lines = append(lines, fmt.Sprintf("the drain is behind %.1f s", before/config.EntriesPerSecond))
	tr.Reset()
	for _, line := range lines {
		tr.logf("%s", line)
	}
	tr.check()
}
