package main

import (
	"syscall"
	"testing"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
)

// Discovery responds in chunks or single bytes, closes the connection, returns errors, truncates its response or does
// not respond, and then restarts its versions. Endpoint changes made meanwhile must arrive when it responds again.
func TestEndpointChangesArriveAfterDiscoveryFaults(t *testing.T) {
	forEachCase(t, map[string]fakeplatform.ResponseMode{
		"chunked": fakeplatform.ChunkedResponse, "byte by byte": fakeplatform.ByteByByteResponse, "closing": fakeplatform.ClosingResponse,
		"error": fakeplatform.ErrorResponse, "truncated": fakeplatform.TruncatedResponse, "no response": fakeplatform.NoResponse,
	}, func(r *testProgram, mode fakeplatform.ResponseMode) {
		r.discovery.SetMode(mode)
		r.awaitPollsAfter(func() { r.discovery.Set(node("s-2", "north", "terminated")) })
		r.discovery.SetMode(fakeplatform.PlainResponse)
		r.awaitRelay("terminated endpoint removed", noTableContains("s-2"))
		r.discovery.ResetVersions()
		r.discovery.Set(node("s-2", "north", "in_service"))
		r.awaitRelay("endpoint added again", func(relay *fakeplatform.Relay) bool { return relay.Tables[relay.Bound[0]]["s-2"] > 0 })
	})
}

// Discovery responds immediately with an unusable list or without changes. A controller that does not pause between
// polls polls 400 times per second. It must space its polls, and a change must still arrive.
func TestDiscoveryIsNotPolledWithoutPause(t *testing.T) {
	forEachCase(t, map[string]fakeplatform.ResponseMode{"updates only": fakeplatform.UpdatesOnly, "decreasing versions": fakeplatform.DecreasingVersions, "immediate": fakeplatform.ImmediateResponse},
		func(r *testProgram, mode fakeplatform.ResponseMode) {
			pollCount := func() int {
				r.discovery.Lock()
				defer r.discovery.Unlock()
				return r.discovery.Polls
			}
			r.awaitPollsAfter(func() { r.restartWithoutKnownList(func() { r.discovery.SetMode(mode) }) })
			initial := pollCount()
			time.Sleep(2 * time.Second) // the polls during this time are counted
			if n := pollCount() - initial; n > 60 {
				r.t.Errorf("got %d polls in 2 s, want at most 60", n)
			}
			r.discovery.SetMode(fakeplatform.PlainResponse)
			r.discovery.Set(node("s-1", "north", "terminating"))
			r.awaitRelay("drained endpoint removed", noTableContains("s-1"))
		})
}

// An endpoint list, or the response to a call, arrives byte by byte and never ends. If each byte restarted the timeout,
// no later change would be delivered. The controller must abandon the response in time.
func TestEndlessResponsesDoNotDelayChanges(t *testing.T) {
	forEachCase(t, map[string]func(r *testProgram){
		"endpoint list": func(r *testProgram) {
			r.discovery.Lock()
			polls := r.discovery.Polls
			r.discovery.Unlock()
			r.discovery.SetMode(fakeplatform.EndlessResponse)
			if err := r.discovery.Await(r.ctx, func() bool { return r.discovery.Polls > polls }); err != nil {
				r.t.Fatal(err)
			}
		},
		"call response": func(r *testProgram) { r.relay.InjectFaults(fakeplatform.ExecutedEndlessResponse) },
	}, func(r *testProgram, injectFault func(r *testProgram)) {
		injectFault(r)
		start := time.Now()
		r.discovery.Set(node("s-1", "north", "terminating"))
		r.discovery.SetMode(fakeplatform.PlainResponse)
		r.awaitRelay("drained endpoint removed", noTableContains("s-1"))
		if elapsed := time.Since(start); elapsed > 6*time.Second { // the platform page's limit for the delivery of a change
			r.t.Errorf("change delivered after %v, want at most 6 s", elapsed)
		}
	})
}

// A full list arrives slowly and takes longer than the timeout for the start of a response. If the controller abandoned
// it each time, it would never get a list. It must wait as long as parts of the list keep arriving.
func TestSlowFullListIsAwaited(t *testing.T) {
	t.Parallel()
	r := startProgram(t, nil)
	r.restartWithoutKnownList(func() { r.discovery.SetMode(fakeplatform.SlowResponse) })
	r.join(0, 1)
	r.discovery.Set(node("s-1", "north", "terminating"))
	r.awaitRelay("drained endpoint removed", noTableContains("s-1"))
}

// A full list without endpoints must remove all entries from the tables. Endpoints that return must be added again.
func TestEmptyListClearsTables(t *testing.T) {
	t.Parallel()
	r := startProgram(t, nil)
	r.join(0, 1)
	nodes := r.discovery.FullList().Endpoints
	for k := range nodes {
		nodes[k].Status = "terminated"
	}
	r.discovery.Set(nodes...)
	r.discovery.Break() // the next poll asks for the full list
	empty := func(relay *fakeplatform.Relay) bool {
		for _, table := range relay.Tables {
			if len(table) > 0 {
				return false
			}
		}
		return true
	}
	r.awaitRelay("tables empty", empty)
	r.ping()
	for k := range nodes {
		nodes[k].Status = "in_service"
	}
	r.discovery.Set(nodes...)
	r.awaitRelay("proxies bound to tables with entries", allBound(0, 1))
}

// Discovery sends an endless list as fast as the program reads it. This guards against a fault in which the program
// used up to 28 of 32 MB: memory must stay within three quarters of the limit, and a later change must arrive.
func TestMemoryStaysWithinLimitDuringListFlood(t *testing.T) {
	t.Parallel()
	const limit = 32 // MB, the platform's smallest memory limit
	r := startProgram(t, func(config map[string]any) { config["limits"].(map[string]any)["memory_mb"] = limit })
	r.join(0, 1)
	r.discovery.SetMode(fakeplatform.FloodResponse)
	r.awaitPollsAfter(func() {})
	r.awaitPollsAfter(func() {})
	r.discovery.SetMode(fakeplatform.PlainResponse)
	r.discovery.Set(node("s-1", "north", "terminating"))
	r.awaitRelay("drained endpoint removed", noTableContains("s-1"))
	r.process.Process.Signal(syscall.SIGTERM)
	if err := <-r.exited; err != nil {
		t.Fatal(err)
	}
	peak := r.process.ProcessState.SysUsage().(*syscall.Rusage).Maxrss >> 10
	if t.Logf("peak memory: %d MB", peak); peak > limit*3/4 && !withRaceDetector() {
		t.Errorf("got peak memory %d MB, want at most %d MB", peak, limit*3/4)
	}
}
