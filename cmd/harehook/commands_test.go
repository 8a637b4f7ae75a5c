package main

import (
	"strings"
	"testing"

	"harehook.dev/harehook/internal/fakeplatform"
)

// Calls to the relay get no response, an invalid or a late one, or are rejected, or their connection breaks. Later
// commands must still take effect.
func TestCommandsTakeEffectDespiteCallFaults(t *testing.T) {
	forEachCase(t, map[string]fakeplatform.Fault{
		"no response, executed": fakeplatform.ExecutedWithoutResponse, "no response, not executed": fakeplatform.IgnoredWithoutResponse,
		"broken connection, executed": fakeplatform.ExecutedThenBroken, "broken connection, not executed": fakeplatform.IgnoredThenBroken,
		"garbled response": fakeplatform.ExecutedGarbledResponse, "half response": fakeplatform.ExecutedHalfResponse, "late response": fakeplatform.ExecutedLateResponse,
		"throttled": fakeplatform.RejectedNotStarted, "invalid": fakeplatform.RejectedInvalid, "internal": fakeplatform.RejectedInternal,
	}, func(r *testProgram, fault fakeplatform.Fault) {
		r.relay.InjectFaults(fault, fault)
		r.discovery.Set(node("s-1", "north", "terminating"))
		r.awaitRelay("drained endpoint removed", noTableContains("s-1"))
		r.discovery.Set(node("s-1", "north", "in_service"))
		r.awaitRelay("endpoint added again", func(relay *fakeplatform.Relay) bool { return relay.Tables[relay.Bound[0]]["s-1"] > 0 })
	})
}

// A call gets no valid response, but its nonce is acknowledged. The controller must not retry the call: a retry would
// cost each proxy one more message.
func TestAcknowledgedCallWithoutResponseIsNotRetried(t *testing.T) {
	forEachCase(t, map[string]fakeplatform.Fault{
		"no response": fakeplatform.ExecutedWithoutResponse, "broken connection": fakeplatform.ExecutedThenBroken, "garbled response": fakeplatform.ExecutedGarbledResponse,
	}, func(r *testProgram, fault fakeplatform.Fault) {
		r.relay.InjectFaults(fault)
		r.discovery.Set(node("s-1", "north", "terminating"))
		r.awaitRelay("drained endpoint removed", noTableContains("s-1"))
		r.discovery.Set(node("s-2", "north", "terminating"))
		r.awaitRelay("drained endpoint removed", noTableContains("s-2"))
		r.relay.Lock()
		defer r.relay.Unlock()
		if n := strings.Count(strings.Join(r.relay.Calls, "\n"), "s-1,0;"); n > 1 {
			r.t.Errorf("got the removal of s-1 %d times, want at most once; calls %q", n, r.relay.Calls)
		}
	})
}

// The relay rejects a command for an endpoint that it does not know. If the command were kept, it would block the other
// commands of its call forever. It must be dropped, and the other commands must take effect.
func TestRejectedCommandDoesNotBlockOthers(t *testing.T) {
	r := startProgram(t, func(config map[string]any) {
		list := config["known"].(fakeplatform.EndpointList)
		list.Endpoints = append(list.Endpoints, node("s-0", "north", "in_service")) // discovery never listed it
		config["known"] = list
	})
	r.join(0, 1)
	r.discovery.Set(node("s-1", "north", "terminating"))
	r.awaitRelay("drained endpoint removed", noTableContains("s-1"))
}
