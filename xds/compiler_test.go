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
	for retries := range planner.RetryPolicy(5) {
		c.ApplyCommands([]controller.Command{{Kind: controller.SetAdmission, Table: 0, Route: "issue", Value: 0.5, Retry: retries}})
		s, err := c.Snapshot(0)
		if err != nil {
			t.Fatal(err)
		}
		text := fmt.Sprint(mustUnmarshal(t, s.Sets[Routes][RoutesName]))
		for _, on := range []string{"5xx", "reset\"", "gateway-error", "retriable"} {
			if strings.Contains(text, on) {
				t.Errorf("policy %d: got %s, want no retry on %q", retries, text, on)
			}
		}
		if with := strings.Contains(text, RetryIfNotSent); with != (retries == planner.RetryIfNotSent) {
			t.Errorf("policy %d: got retries %t, want %t", retries, with, !with)
		}
	}
}

func mustUnmarshal(t *testing.T, r *Resource) proto.Message {
	m, err := r.Body.UnmarshalNew()
	if err != nil {
		t.Fatal(err)
	}
	return m
}
