package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
)

// Proxies that join must be bound to tables with entries of their zone. A draining endpoint must be removed from all
// tables, a new one must be added, and reports must be accepted.
func TestProxiesAreBoundAndTablesFollowTheEndpointList(t *testing.T) {
	r := startProgram(t, nil)
	r.ping()
	r.join(0, 1, 2)
	r.awaitRelay("admission level set", func(relay *fakeplatform.Relay) bool { return relay.Admissions["0 quote"] != "" })
	c, err := fakeplatform.NewCollector(r.address, "north")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for _, report := range []string{
		`{"@type":"LOAD","site":"north","target":"s-1","count":20,"fail":0,"mean":41.7,"over":500.0}`,
		`{"@type":"RATE","id":0,"lane":"quote","count":19,"fail":0,"over":500.0}`,
	} {
		if err := c.Send(json.RawMessage(report)); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Ping(); err != nil {
		t.Fatal(err)
	}
	r.discovery.Set(node("s-1", "north", "terminating"), node("s-5", "north", "in_service"))
	r.awaitRelay("drained endpoint removed", noTableContains("s-1"))
	r.awaitRelay("new endpoint added", func(relay *fakeplatform.Relay) bool { return relay.Tables[relay.Bound[0]]["s-5"] > 0 })
	r.relay.Leave(2)
	r.relay.Join(proxy(2))
	r.awaitRelay("rejoined proxy bound", allBound(2))
}

// Calls, polls, watches and connections fail concurrently while proxies join and leave and endpoints drain and return.
// After the faults, exactly the connected proxies must be bound, to tables with ready endpoints only.
func TestTablesConvergeAfterConcurrentFaults(t *testing.T) {
	const steps = 60
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := &faultyPlatform{
				testProgram: startProgram(t, nil),
				random:      rand.New(rand.NewPCG(seed, 1)),
				connected:   map[int]bool{},
				ready:       map[string]bool{"s-1": true, "s-2": true, "s-3": true, "s-4": true},
			}
			for range steps {
				f.step()
				time.Sleep(time.Duration(f.random.IntN(20)) * time.Millisecond) // paces the faults; no condition is awaited
			}
			f.discovery.SetMode(fakeplatform.PlainResponse)
			f.discovery.Set(node("s-5", "north", "in_service"), node("s-6", "south", "in_service"))
			f.ready["s-5"] = true
			f.ready["s-6"] = true
			f.awaitRelay("tables converged", f.converged)
			f.ping()
		})
	}
}

// faultyPlatform is a program under test with random faults of the fakes and random changes of proxies and endpoints.
type faultyPlatform struct {
	*testProgram
	random    *rand.Rand
	connected map[int]bool    // by proxy ID
	ready     map[string]bool // by endpoint name
}

// step injects a random fault or makes a random change.
func (f *faultyPlatform) step() {
	id := f.random.IntN(8)
	n := 1 + f.random.IntN(4)
	switch f.random.IntN(7) {
	case 0, 1:
		fault := f.random.IntN(int(fakeplatform.RejectedInternal) + 1)
		f.relay.InjectFaults(fakeplatform.Fault(fault))
	case 2:
		mode := f.random.IntN(int(fakeplatform.NoResponse) + 1)
		f.discovery.SetMode(fakeplatform.ResponseMode(mode))
	case 3:
		f.rejoinDuringWatchBreak(id)
	case 4:
		f.joinOrLeave(id)
	case 5:
		f.drainOrReturn(n)
	case 6:
		f.relay.Break()
	}
}

// rejoinDuringWatchBreak makes a proxy leave and join while the proxy watch is disconnected.
func (f *faultyPlatform) rejoinDuringWatchBreak(id int) {
	f.relay.BreakWatches(func() {
		if f.connected[id] {
			f.relay.Leave(id)
		}
		f.relay.Join(proxy(id))
	})
	f.connected[id] = true
}

func (f *faultyPlatform) joinOrLeave(id int) {
	f.connected[id] = !f.connected[id]
	if f.connected[id] {
		f.relay.Join(proxy(id))
	} else {
		f.relay.Leave(id)
	}
}

func (f *faultyPlatform) drainOrReturn(n int) {
	name := fmt.Sprintf("s-%d", n)
	zone := []string{"north", "south"}[n/3]
	f.ready[name] = !f.ready[name]
	status := "in_service"
	if !f.ready[name] {
		status = "terminating"
	}
	f.discovery.Set(node(name, zone, status))
}

// converged reports whether exactly the connected proxies are bound, to tables with ready endpoints only.
func (f *faultyPlatform) converged(relay *fakeplatform.Relay) bool {
	for id, connected := range f.connected {
		table, bound := relay.Bound[id]
		if connected != bound {
			return false
		}
		if connected && !f.hasOnlyReadyEndpoints(relay.Tables[table]) {
			return false
		}
	}
	return true
}

// hasOnlyReadyEndpoints reports whether a table has entries, and all of them are for ready endpoints.
func (f *faultyPlatform) hasOnlyReadyEndpoints(table map[string]float64) bool {
	for name := range table {
		if !f.ready[name] {
			return false
		}
	}
	return len(table) > 0
}
