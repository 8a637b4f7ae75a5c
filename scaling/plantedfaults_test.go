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
	memoryOnly  bool // visible in memory only
}{
	{"all resources sent at each change", "push-sidecars", pushToEmptyCaches, false},
	{"log entry with its text twice", "agreed-text", duplicateText, false},
	{"response parsed from its start at each chunk", "list-watch", reparseList, true},
	{"report decoded twice", "reports", decodeReportsTwice, true},
	{"heartbeat at each tick", "group-idle", sendHeartbeatEachTick, false},
	{"full list passed at each step", "step-nodes", replaceListEachStep, true},
	{"ten tenants written for one", "record-change", writeTenTenants, false},
	{"snapshot at each change", "record-change", takeSnapshotEachChange, true},
	{"initial writes kept in the history of a snapshot", "record-memory", keepHistoryInSnapshot, false},
	{"state restored twice", "record-restore", restoreTwice, true},
	{"all records read for a scope", "record-scope", readAllRecords, true},
	{"full scope read for a change", "record-since", readFullScope, true},
	{"full scope sent at each change", "follow-change-interested", sendFullScope, false},
	{"change sent to all followers", "follow-change-other", sendToAll, false},
	{"ten tenants sent for one, over sockets", "follow-socket-change", sendTenTenants, false},
}

// A part may do its work twice, or for all peers in place of one, and no one notices until the fleet has grown. The
// bounds of its slope must catch this at small sizes already.
func TestBoundsCatchPlantedFaults(t *testing.T) {
	for _, fault := range plantedFaults {
		t.Run(fault.name, func(t *testing.T) {
			check := slopeBounds[fault.slope]
			run := func(size int, _ Effort) (Sample, error) { return fault.run(size) }
			samples, err := Slope{Name: fault.slope, Run: run}.Measure(Brief, sizesToMeasure(check.sizes)...)
			if err != nil {
				t.Fatal(err)
			}
			violations := violatedBounds(samples, check.bounds)
			if len(violations) == 0 && (!underRace || !fault.memoryOnly) {
				t.Errorf("slope %s with the fault %q: got no bound exceeded, want at least one", fault.slope, fault.name)
			}
			t.Log(violations)
		})
	}
}

// pushToEmptyCaches reconnects each sidecar with an empty cache before a change.
func pushToEmptyCaches(size int) (Sample, error) {
	sample := newSample(size)
	fleet, err := newPushFleet(size, poolNodes, 12)
	if err != nil {
		return sample, err
	}
	var cost pushCost
	var commands []controller.Command
	for index, cache := range fleet.caches {
		cache.Clear()
		fleet.server.Close(0, streamOf(index))
		if err := fleet.server.Open(0, streamOf(index), true, cache.ID, cache.Zone); err != nil {
			return sample, err
		}
		if err := fleet.handleRequests(streamOf(index), cache.BeginDelta()); err != nil {
			return sample, err
		}
		commands = append(commands, controller.Command{Kind: controller.BindProxy, Proxy: index})
	}
	if err := fleet.server.ApplyCommands(0, commands); err != nil {
		return sample, err
	}
	if err := fleet.change(&cost); err != nil {
		return sample, err
	}
	cost.server.recordPerOperation(&sample, size)
	sample.Values[Wire] = float64(cost.bytes) / float64(size)
	sample.Values[Messages] = float64(cost.messages) / float64(size)
	return sample, nil
}

// duplicateText encodes a log entry with its text twice.
func duplicateText(size int) (Sample, error) {
	sample, err := agreedSample(size, Brief)
	if err != nil {
		return sample, err
	}
	data, err := encodeAgreedCommand(cluster.NewState(nil), 1, agreedText(size, 0)+agreedText(size, 0))
	sample.Values[Wire] = float64(len(data))
	return sample, err
}

// reparseList parses a response from its start again for each chunk that arrives.
func reparseList(nodes int) (Sample, error) {
	const chunkBytes = 4 << 10
	sample := newSample(nodes)
	body, err := platformList(nodes)
	if err != nil {
		return sample, err
	}
	sample.Values[Wire], sample.Values[Heap] = float64(len(body)), float64(nodes)
	return sample, repeat(&sample, Brief, func() error {
		for end := chunkBytes; ; end += chunkBytes {
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

// decodeReportsTwice decodes each report twice.
func decodeReportsTwice(nodes int) (Sample, error) {
	sample := newSample(nodes)
	report, err := loadReport(1)
	if err != nil {
		return sample, err
	}
	sample.Values[Wire] = float64(len(report))
	return sample, repeat(&sample, Brief, func() error {
		for range 2 {
			if _, err := wire.Decode(report[len(wire.FrameHeader(0)):]); err != nil {
				return err
			}
		}
		return nil
	})
}

// sendHeartbeatEachTick configures the leader to send a heartbeat at each tick.
func sendHeartbeatEachTick(size int) (Sample, error) {
	sample := newSample(size)
	timing := cluster.DefaultTiming
	timing.HeartbeatTicks = 1
	group, err := newTimedGroup(size, timing)
	if err != nil {
		return sample, err
	}
	group.messages = 0
	group.bytes = 0
	for range ticksPerSecond {
		if err := group.tick(); err != nil {
			return sample, err
		}
	}
	sample.Values[Messages] = float64(group.messages)
	sample.Values[Wire] = float64(group.bytes)
	return sample, nil
}

// replaceListEachStep replaces the full endpoint list at each step.
func replaceListEachStep(nodes int) (Sample, error) {
	sample := newSample(nodes)
	fleet := newPlannerFleet(nodes, typicalProxies, 2)
	return sample, repeat(&sample, Brief, func() error {
		fleet.planner.ReplaceEndpoints(fleet.now, readyEndpoints(nodes))
		fleet.step(nil)
		return nil
	})
}
