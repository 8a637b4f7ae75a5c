package planner

import (
	"fmt"
	"testing"
)

// A draining endpoint fails requests that arrive after its grace period. Its entries must be removed from every table
// immediately, even if it is the last endpoint of its zone and the zone's table must then use other zones.
func TestDrainingEndpointLeavesAllTables(t *testing.T) {
	tr := newTrace(t, testConfig(), 3)
	tr.run(1)
	tr.logf("-- node 2, alone in its zone, drains")
	tr.planner.UpdateEndpoints(tr.now, []Endpoint{{Node: 2, Zone: 1, State: Draining}})
	tr.check()
}

// The list's service fails because all controllers subscribe simultaneously after a restart. Each failure must be
// followed by exactly one subscription, after a backoff that grows and stays within Config.SubscribeTimeout.
func TestFailedSubscriptionBacksOff(t *testing.T) {
	config := testConfig()
	config.MustSubscribe = true
	tr := newTrace(t, config, 2)
	for range 4 {
		tr.planner.EndpointWatchFailed(tr.now)
		tr.run(3)
	}
	tr.check()
}

// The planner gets empty and alternating lists, fleets that join and leave in one batch, and reports and
// acknowledgements for unknown nodes and proxies. None of these may cause a panic or more entries than fit into the
// queue.
func TestUnexpectedEventsKeepQueueBounded(t *testing.T) {
	config := testConfig()
	config.Proxies = 300
	config.MaxInFlightEntries = 3000
	tr := &trace{t: t, now: 100, reports: map[uint32]LoadReport{}}
	tr.planner = New(tr, config, tr.now)
	events := []struct {
		name  string
		apply func()
	}{
		{"an empty list", func() { tr.planner.ReplaceEndpoints(tr.now, nil) }},
		{"300 proxies in one batch", func() {
			for p := range 300 {
				tr.planner.ProxyJoined(tr.now, p, p%2, 1)
			}
		}},
		{"no node in zone 1", func() { tr.planner.ReplaceEndpoints(tr.now, endpointList(60)[:1]) }},
		{"the list swings", func() {
			for k := range 20 {
				tr.planner.ReplaceEndpoints(tr.now, endpointList(60)[k%2*30:k%2*30+30])
			}
		}},
		{"all start again cold", func() {
			cold := endpointList(60)
			for k := range cold {
				cold[k].StartTime = tr.now
			}
			tr.planner.ReplaceEndpoints(tr.now, cold)
		}},
		{"sums and marks of what is not known", func() {
			tr.planner.AddLoadReport(tr.now, LoadReport{Node: 999, Completed: 5, Failed: 9, MeanLatency: -1})
			tr.planner.AddDemandReport(tr.now, DemandReport{Proxy: 999, Route: 9, Requests: 1, Interval: 1})
			tr.planner.Acknowledged(tr.now, 999, 59999)
			tr.planner.ProxyLeft(tr.now, 999)
		}},
		{"all nodes gone", func() { tr.planner.ReplaceEndpoints(tr.now, nil) }},
		{"all proxies gone", func() {
			for p := range 300 {
				tr.planner.ProxyLeft(tr.now, p)
			}
		}},
	}
	summary := ""
	for _, step := range events {
		step.apply()
		minAvailable := tr.planner.flow.available(1)
		for range 30 {
			tr.run(0.1)
			minAvailable = min(minAvailable, tr.planner.flow.available(1))
		}
		entries, boundProxies := 0, 0
		for subset := range tr.planner.subsets {
			for _, weight := range tr.planner.subsets[subset].table.published {
				if weight > 0 {
					entries++
				}
			}
		}
		for _, subset := range tr.planner.subsets {
			boundProxies += len(subset.members)
		}
		summary += fmt.Sprintf("%s: %d lines, %d proxies bound, %.0f lines free at least\n", step.name, entries,
			boundProxies, minAvailable)
	}
	tr.Reset()
	tr.WriteString(summary)
	tr.check()
}
