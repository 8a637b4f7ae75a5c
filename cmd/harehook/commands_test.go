package main

import (
	"strings"
	"testing"

	"harehook.dev/harehook/internal/fakeplatform"
)

// Calls get no response, a spoilt or late one, or are rejected; their connections break. The commands that come behind
// hold in the end.
func TestCommandsHoldWhateverBecomesOfACall(t *testing.T) {
	forEachCase(t, map[string]fakeplatform.Fault{
		"silent, done": fakeplatform.ExecutedWithoutResponse, "silent, undone": fakeplatform.IgnoredWithoutResponse,
		"broken, done": fakeplatform.ExecutedThenBroken, "broken, undone": fakeplatform.IgnoredThenBroken,
		"garbled": fakeplatform.ExecutedGarbledResponse, "half an answer": fakeplatform.ExecutedHalfResponse, "late": fakeplatform.ExecutedLateResponse,
		"throttled": fakeplatform.RejectedNotStarted, "invalid": fakeplatform.RejectedInvalid, "internal": fakeplatform.RejectedInternal,
	}, func(r *testProgram, fault fakeplatform.Fault) {
		r.relay.InjectFaults(fault, fault)
		r.discovery.Set(node("s-1", "north", "terminating"))
		r.awaitRelay("drained", noTableHas("s-1"))
		r.discovery.Set(node("s-1", "north", "in_service"))
		r.awaitRelay("back", func(relay *fakeplatform.Relay) bool { return relay.Tables[relay.Bound[0]]["s-1"] > 0 })
	})
}

// A call gets no response that can be read, and its nonce is acknowledged. A retry would cost each proxy one more
// message. None goes out.
func TestAcknowledgedCallWithoutResponseIsNotRetried(t *testing.T) {
	forEachCase(t, map[string]fakeplatform.Fault{
		"silent": fakeplatform.ExecutedWithoutResponse, "broken": fakeplatform.ExecutedThenBroken, "garbled": fakeplatform.ExecutedGarbledResponse,
	}, func(r *testProgram, fault fakeplatform.Fault) {
		r.relay.InjectFaults(fault)
		r.discovery.Set(node("s-1", "north", "terminating"))
		r.awaitRelay("drained", noTableHas("s-1"))
		r.discovery.Set(node("s-2", "north", "terminating"))
		r.awaitRelay("drained", noTableHas("s-2"))
		r.relay.Lock()
		defer r.relay.Unlock()
		if n := strings.Count(strings.Join(r.relay.Calls, "\n"), "s-1,0;"); n > 1 {
			r.t.Errorf("the drain went out %d times: %q", n, r.relay.Calls)
		}
	})
}

// The relay refuses a command, for an endpoint that it does not know. The others of its call stood behind it for good.
// It is dropped, and the others hold.
func TestRefusedCommandDoesNotStopTheOthers(t *testing.T) {
	r := startProgram(t, func(config map[string]any) {
		list := config["known"].(fakeplatform.EndpointList)
		list.Endpoints = append(list.Endpoints, node("s-0", "north", "in_service")) // discovery never listed it
		config["known"] = list
	})
	r.join(0, 1)
	r.discovery.Set(node("s-1", "north", "terminating"))
	r.awaitRelay("drained", noTableHas("s-1"))
}
