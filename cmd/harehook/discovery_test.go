package main

import (
	"syscall"
	"testing"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
)

// Discovery answers in pieces, closes, fails, breaks off or is silent, and counts its versions anew. Changes that
// happened meanwhile arrive once it answers.
func TestEndpointChangesArriveAfterFaultsOfDiscovery(t *testing.T) {
	forEachCase(t, map[string]fakeplatform.ResponseMode{
		"chunked": fakeplatform.ChunkedResponse, "pieces": fakeplatform.ByteByByteResponse, "closing": fakeplatform.ClosingResponse,
		"failing": fakeplatform.ErrorResponse, "cut": fakeplatform.TruncatedResponse, "silent": fakeplatform.NoResponse,
	}, func(r *testProgram, manner fakeplatform.ResponseMode) {
		r.discovery.SetMode(manner)
		r.awaitPollsAfter(func() { r.discovery.Set(node("s-2", "north", "terminated")) })
		r.discovery.SetMode(fakeplatform.PlainResponse)
		r.awaitRelay("gone", noTableHas("s-2"))
		r.discovery.ResetVersions()
		r.discovery.Set(node("s-2", "north", "in_service"))
		r.awaitRelay("back", func(relay *fakeplatform.Relay) bool { return relay.Tables[relay.Bound[0]]["s-2"] > 0 })
	})
}

// Discovery answers at once with what cannot be used, or with nothing new. It was polled 400 times a second. Polls are
// spaced, and a change still arrives.
func TestDiscoveryIsNotPolledWithoutPause(t *testing.T) {
	forEachCase(t, map[string]fakeplatform.ResponseMode{"changes only": fakeplatform.UpdatesOnly, "backward": fakeplatform.DecreasingVersions, "eager": fakeplatform.ImmediateResponse},
		func(r *testProgram, manner fakeplatform.ResponseMode) {
			asked := func() int {
				r.discovery.Lock()
				defer r.discovery.Unlock()
				return r.discovery.Polls
			}
			r.awaitPollsAfter(func() { r.restartWithoutKnownList(func() { r.discovery.SetMode(manner) }) })
			before := asked()
			time.Sleep(2 * time.Second) // what is counted is how often it asks meanwhile
			if n := asked() - before; n > 60 {
				r.t.Errorf("asked %d times in 2 s", n)
			}
			r.discovery.SetMode(fakeplatform.PlainResponse)
			r.discovery.Set(node("s-1", "north", "terminating"))
			r.awaitRelay("drained", noTableHas("s-1"))
		})
}

// A list, or the response to a call, comes a byte now and then and never ends. Each byte made the wait begin anew, and
// nothing newer got through. It is given up in time.
func TestEndlessResponsesDoNotHoldUpChanges(t *testing.T) {
	forEachCase(t, map[string]func(r *testProgram){
		"a list": func(r *testProgram) {
			r.discovery.Lock()
			asked := r.discovery.Polls
			r.discovery.Unlock()
			r.discovery.SetMode(fakeplatform.EndlessResponse)
			if err := r.discovery.Await(r.ctx, func() bool { return r.discovery.Polls > asked }); err != nil {
				r.t.Fatal(err)
			}
		},
		"an answer": func(r *testProgram) { r.relay.InjectFaults(fakeplatform.ExecutedEndlessResponse) },
	}, func(r *testProgram, begin func(r *testProgram)) {
		begin(r)
		began := time.Now()
		r.discovery.Set(node("s-1", "north", "terminating"))
		r.discovery.SetMode(fakeplatform.PlainResponse)
		r.awaitRelay("drained", noTableHas("s-1"))
		if took := time.Since(began); took > 6*time.Second { // by the page, a change counts as delivered by then
			r.t.Errorf("held up for %v", took)
		}
	})
}

// A full list comes slowly, for longer than a response at once may take. It was broken off each time, so that it never
// came. It is waited for while parts of it come.
func TestSlowFullListIsAwaited(t *testing.T) {
	t.Parallel()
	r := startProgram(t, nil)
	r.restartWithoutKnownList(func() { r.discovery.SetMode(fakeplatform.SlowResponse) })
	r.join(0, 1)
	r.discovery.Set(node("s-1", "north", "terminating"))
	r.awaitRelay("drained", noTableHas("s-1"))
}

// A full list names no endpoint: all entries leave the tables. Endpoints that come back are there again.
func TestEmptyListClearsTables(t *testing.T) {
	t.Parallel()
	r := startProgram(t, nil)
	r.join(0, 1)
	nodes := r.discovery.FullList().Endpoints
	for k := range nodes {
		nodes[k].Status = "terminated"
	}
	r.discovery.Set(nodes...)
	r.discovery.Break() // it is asked for the whole list then
	empty := func(relay *fakeplatform.Relay) bool {
		for _, table := range relay.Tables {
			if len(table) > 0 {
				return false
			}
		}
		return true
	}
	r.awaitRelay("empty", empty)
	r.ping()
	for k := range nodes {
		nodes[k].Status = "in_service"
	}
	r.discovery.Set(nodes...)
	r.awaitRelay("back", allBound(0, 1))
}

// A list has no end and comes as fast as it is read. The program held up to 28 of 32 MB. It stays within three quarters
// of the limit, and a change arrives afterwards.
func TestMemoryStaysWithinLimitInAFloodOfList(t *testing.T) {
	t.Parallel()
	const limit = 32 // MB, as the platform grants at the least
	r := startProgram(t, func(config map[string]any) { config["limits"].(map[string]any)["memory_mb"] = limit })
	r.join(0, 1)
	r.discovery.SetMode(fakeplatform.FloodResponse)
	r.awaitPollsAfter(func() {})
	r.awaitPollsAfter(func() {})
	r.discovery.SetMode(fakeplatform.PlainResponse)
	r.discovery.Set(node("s-1", "north", "terminating"))
	r.awaitRelay("drained", noTableHas("s-1"))
	r.process.Process.Signal(syscall.SIGTERM)
	if err := <-r.exited; err != nil {
		t.Fatal(err)
	}
	peak := r.process.ProcessState.SysUsage().(*syscall.Rusage).Maxrss >> 10
	if t.Logf("%d MB at most", peak); peak > limit*3/4 && !withRaceDetector() {
		t.Errorf("%d MB at most", peak)
	}
}
