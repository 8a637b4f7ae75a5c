package xds

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/planner"
)

// Guards against retries that could run a mutating request twice: for every retry policy of a command, the compiled
// route retries only if the first attempt never ran.
func TestCompiledRetryPolicies(t *testing.T) {
	c := NewCompiler([]Route{{Name: "issue", Prefix: "/issue", Mutating: true, TimeLimit: time.Second}}, time.Second)
	for policy := range planner.RetryPolicy(5) {
		c.ApplyCommands([]controller.Command{{Kind: controller.SetAdmission, Table: 0, Route: "issue", Value: 0.5, Retry: policy}})
		snapshot, err := c.Snapshot(0)
		if err != nil {
			t.Fatal(err)
		}
		text := fmt.Sprint(mustUnmarshal(t, snapshot.Sets[Routes][RoutesName]))
		for _, condition := range []string{"5xx", "reset\"", "gateway-error", "retriable"} {
			if strings.Contains(text, condition) {
				t.Errorf("policy %d: got %s, want no retry on %q", policy, text, condition)
			}
		}
		if hasRetry := strings.Contains(text, RetryIfNotSent); hasRetry != (policy == planner.RetryIfNotSent) {
			t.Errorf("policy %d: got retries %t, want %t", policy, hasRetry, !hasRetry)
		}
	}
}

func mustUnmarshal(t *testing.T, r *Resource) proto.Message {
	message, err := r.Body.UnmarshalNew()
	if err != nil {
		t.Fatal(err)
	}
	return message
}
