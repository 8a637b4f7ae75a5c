package main

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
)

// An answered ping means that the controller is ready. A controller that knows no endpoint has no tables for its
// proxies, so it must not answer pings until discovery has listed an endpoint.
func TestPingIsAnsweredOnceAnEndpointIsKnown(t *testing.T) {
	r := startProgram(t, func(config map[string]any) { delete(config, "known") })
	r.discovery.SetMode(fakeplatform.NoResponse)
	r.process.Process.Kill()
	<-r.exited
	r.start()
	c, err := fakeplatform.NewCollector(r.address, "north")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	answered := make(chan error, 1)
	r.awaitPollsAfter(func() { go func() { answered <- c.Ping() }() })
	select {
	case err := <-answered:
		t.Fatalf("ping returned before an endpoint is known: got error %v, want no response", err)
	default:
	}
	r.discovery.SetMode(fakeplatform.PlainResponse)
	if err := <-answered; err != nil {
		t.Fatal(err)
	}
}

// The controller starts without a known endpoint list while discovery does not respond, returns errors or lists no
// endpoint. It must not wait for an endpoint forever, but be ready within the time allowed for a restart. Proxies keep
// their tables until an endpoint is known, and must then be bound.
func TestReadyInTimeWithoutEndpointList(t *testing.T) {
	const readyWithin = 10 * time.Second // from the operators' page
	forEachCase(t, map[string]func(r *testProgram){
		"no response":  func(r *testProgram) { r.discovery.SetMode(fakeplatform.NoResponse) },
		"updates only": func(r *testProgram) { r.discovery.SetMode(fakeplatform.UpdatesOnly) },
		"error":        func(r *testProgram) { r.discovery.SetMode(fakeplatform.ErrorResponse) },
		"no endpoints": func(r *testProgram) {
			for _, n := range r.discovery.FullList().Endpoints {
				n.Status = "terminated"
				r.discovery.Set(n)
			}
		},
	}, func(r *testProgram, configureDiscovery func(r *testProgram)) {
		r.restartWithoutKnownList(func() { configureDiscovery(r) })
		start := time.Now()
		c, err := fakeplatform.NewCollector(r.address, "north")
		if err != nil {
			r.t.Fatal(err)
		}
		defer c.Close()
		if err = c.Ping(); err != nil { // the fake collector times out after 5 s
			c.Close()
			r.ping()
		}
		if elapsed := time.Since(start); elapsed > readyWithin {
			r.t.Errorf("ready after %v, want at most %v", elapsed, readyWithin)
		}
		r.relay.Lock()
		if calls := strings.Join(r.relay.Calls, "\n"); strings.Contains(calls, "attach") {
			r.t.Errorf("got calls %s, want no binding before an endpoint is known", calls)
		}
		r.relay.Unlock()
		r.discovery.SetMode(fakeplatform.PlainResponse)
		r.discovery.Set(node("s-7", "north", "in_service"), node("s-8", "south", "in_service"))
		r.awaitRelay("proxies bound", allBound(0, 1))
	})
}

// The known endpoint list in the configuration is invalid. It must be ignored and must not fail the start, because
// discovery provides the list.
func TestUnreadableKnownListIsIgnored(t *testing.T) {
	t.Parallel()
	for _, known := range []string{`{}`, `[]`, `"?"`, `null`, `{"index":1,"endpoints":[{"name":7}]}`} {
		r := startProgram(t, func(config map[string]any) { config["known"] = json.RawMessage(known) })
		r.join(0, 1)
	}
}
