package main

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
)

// A controller that knows no endpoint has nothing to give to its proxies. A ping that is answered says that it is
// ready, so none is until discovery has named an endpoint.
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
		t.Fatalf("answered without a list: %v", err)
	default:
	}
	r.discovery.SetMode(fakeplatform.PlainResponse)
	if err := <-answered; err != nil {
		t.Fatal(err)
	}
}

// The controller starts without a known list while discovery is silent, fails or names no endpoint. It was never ready.
// It is within the time that a restart may take; proxies keep what they hold until an endpoint is known, and are bound
// then.
func TestReadyInTimeWithoutEndpointList(t *testing.T) {
	const readyWithin = 10 * time.Second // by the operators' page
	forEachCase(t, map[string]func(r *testProgram){
		"silent":       func(r *testProgram) { r.discovery.SetMode(fakeplatform.NoResponse) },
		"changes only": func(r *testProgram) { r.discovery.SetMode(fakeplatform.UpdatesOnly) },
		"failing":      func(r *testProgram) { r.discovery.SetMode(fakeplatform.ErrorResponse) },
		"without nodes": func(r *testProgram) {
			for _, n := range r.discovery.FullList().Endpoints {
				n.Status = "terminated"
				r.discovery.Set(n)
			}
		},
	}, func(r *testProgram, discovery func(r *testProgram)) {
		r.restartWithoutKnownList(func() { discovery(r) })
		began := time.Now()
		c, err := fakeplatform.NewCollector(r.address, "north")
		if err != nil {
			r.t.Fatal(err)
		}
		defer c.Close()
		if err = c.Ping(); err != nil { // a fake collector waits for 5 s
			c.Close()
			r.ping()
		}
		if took := time.Since(began); took > readyWithin {
			r.t.Errorf("ready after %v", took)
		}
		r.relay.Lock()
		if calls := strings.Join(r.relay.Calls, "\n"); strings.Contains(calls, "attach") {
			r.t.Errorf("bound without a node: %s", calls)
		}
		r.relay.Unlock()
		r.discovery.SetMode(fakeplatform.PlainResponse)
		r.discovery.Set(node("s-7", "north", "in_service"), node("s-8", "south", "in_service"))
		r.awaitRelay("bound", allBound(0, 1))
	})
}

// The known list of the configuration cannot be read. It ended the start, although discovery brings the list. It is
// left out.
func TestUnreadableKnownListIsIgnored(t *testing.T) {
	t.Parallel()
	for _, known := range []string{`{}`, `[]`, `"?"`, `null`, `{"index":1,"endpoints":[{"name":7}]}`} {
		r := startProgram(t, func(config map[string]any) { config["known"] = json.RawMessage(known) })
		r.join(0, 1)
	}
}
