package scaling

import (
	"errors"
	"testing"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/platform/wire"
)

// plantedFaults are slopes with a deliberate fault in their part, which only its cost reveals.
var plantedFaults = []struct {
	name, slope string
	run         func(size int) (Sample, error)
	ofMemory    bool // visible in memory only
}{
	{"all is sent anew at each change", "push-sidecars", pushAnew, false},
	{"an entry with its text twice", "agreed-text", textTwice, false},
	{"a response read from its start at each part", "list-watch", listReadAnew, true},
	{"a report decoded twice", "reports", reportsTwice, true},
	{"a heartbeat each tick", "group-idle", heartbeatEachTick, false},
	{"a list told whole at each step", "step-nodes", listEachStep, true},
	{"a service's tenants written for one", "record-change", tenSharesWritten, false},
	{"a snapshot made at each change", "record-change", snapshotEachChange, true},
	{"the load kept in the history of a snapshot", "record-memory", historyInSnapshot, false},
	{"a state restored twice", "record-restore", restoredTwice, true},
	{"all read for a scope", "record-scope", allRead, true},
	{"a scope read whole for a change", "record-since", scopeRead, true},
	{"a whole scope told at each change", "follow-change-interested", wholeScopeTold, false},
	{"a change told to all", "follow-change-other", toldToAll, false},
	{"a service's tenants told for one, over sockets", "follow-socket-change", serviceTold, false},
}

// A part may do its work twice, or for all peers in place of one, and no one notices until the fleet has grown. The
// bounds of its slope must catch this at small sizes already.
func TestBoundsCatchPlantedFaults(t *testing.T) {
	for _, fault := range plantedFaults {
		t.Run(fault.name, func(t *testing.T) {
			check := slopeBounds[fault.slope]
			run := func(size int, _ Effort) (Sample, error) { return fault.run(size) }
			samples, err := Slope{Name: fault.slope, Run: run}.Take(Brief, sizesToTake(check.sizes)...)
			if err != nil {
				t.Fatal(err)
			}
			broken := brokenBounds(samples, check.bounds)
			if len(broken) == 0 && (!underRace || !fault.ofMemory) {
				t.Errorf("slope %s with the fault %q: got no bound exceeded, want at least one", fault.slope, fault.name)
			}
			t.Log(broken)
		})
	}
}

// pushAnew reconnects each sidecar with an empty cache before a change.
func pushAnew(size int) (Sample, error) {
	s := newSample(size)
	p, err := newPushServer(size, poolNodes, 12)
	if err != nil {
		return s, err
	}
	var cost pushCost
	var orders []controller.Command
	for k, cache := range p.caches {
		cache.Clear()
		p.server.Close(0, streamOf(k))
		if err := p.server.Open(0, streamOf(k), true, cache.ID, cache.Zone); err != nil {
			return s, err
		}
		if err := p.handleRequests(streamOf(k), cache.BeginDelta()); err != nil {
			return s, err
		}
		orders = append(orders, controller.Command{Kind: controller.BindProxy, Proxy: k})
	}
	if err := p.server.ApplyCommands(0, orders); err != nil {
		return s, err
	}
	if err := p.change(&cost); err != nil {
		return s, err
	}
	cost.server.recordPerOperation(&s, size)
	s.Values[Wire] = float64(cost.bytes) / float64(size)
	s.Values[Messages] = float64(cost.messages) / float64(size)
	return s, nil
}

// textTwice encodes a log entry with its text twice.
func textTwice(size int) (Sample, error) {
	s, err := agreedSample(size, Brief)
	if err != nil {
		return s, err
	}
	data, err := agreedCommand(cluster.NewState(nil), 1, agreedText(size, 0)+agreedText(size, 0))
	s.Values[Wire] = float64(len(data))
	return s, err
}

// listReadAnew parses a response from its start again for each chunk that arrives.
func listReadAnew(nodes int) (Sample, error) {
	const part = 4 << 10
	s := newSample(nodes)
	body, err := platformList(nodes)
	if err != nil {
		return s, err
	}
	s.Values[Wire], s.Values[Heap] = float64(len(body)), float64(nodes)
	return s, repeat(&s, Brief, func() error {
		for end := part; ; end += part {
			responses := wire.PollResponseReader{MaxBytes: maxListBytes}
			responses.Feed(body[:min(end, len(body))])
			if response, err := responses.Next(false); response.Complete || err != nil {
				return err
			}
			if end >= len(body) {
				return errors.New("the response is incomplete")
			}
		}
	})
}

// reportsTwice decodes each report twice.
func reportsTwice(nodes int) (Sample, error) {
	s := newSample(nodes)
	report, err := loadReport(1)
	if err != nil {
		return s, err
	}
	s.Values[Wire] = float64(len(report))
	return s, repeat(&s, Brief, func() error {
		for range 2 {
			if _, err := wire.Decode(report[len(wire.FrameHeader(0)):]); err != nil {
				return err
			}
		}
		return nil
	})
}

// heartbeatEachTick configures the leader to send a heartbeat at each tick.
func heartbeatEachTick(size int) (Sample, error) {
	s := newSample(size)
	timing := cluster.DefaultTiming
	timing.HeartbeatTicks = 1
	g, err := newTimedGroup(size, timing)
	if err != nil {
		return s, err
	}
	g.messages = 0
	g.bytes = 0
	for range ticksPerSecond {
		if err := g.tick(); err != nil {
			return s, err
		}
	}
	s.Values[Messages] = float64(g.messages)
	s.Values[Wire] = float64(g.bytes)
	return s, nil
}

// listEachStep replaces the full endpoint list at each step.
func listEachStep(nodes int) (Sample, error) {
	s := newSample(nodes)
	f := newPlannerFleet(nodes, typicalProxies, 2)
	return s, repeat(&s, Brief, func() error {
		f.planner.ReplaceEndpoints(f.now, readyEndpoints(nodes))
		f.step(nil)
		return nil
	})
}
