package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"

	"harehook.dev/harehook/internal/fakeplatform"
)

// After SIGHUP relay and discovery are reached where the new configuration has them, without a gap: proxies that are
// connected are not bound anew. A configuration that cannot be used leaves the old one in effect.
func TestReloadMovesPartiesWithoutGap(t *testing.T) {
	r := startProgram(t, nil)
	r.join(0, 1, 2)
	bindings := func() int {
		r.relay.Lock()
		defer r.relay.Unlock()
		return strings.Count(strings.Join(r.relay.Calls, "\n"), "attach,")
	}
	before := bindings()
	os.WriteFile(r.configFile, []byte("{"), 0o600)
	r.process.Process.Signal(syscall.SIGHUP)
	r.awaitLog("configuration reload failed")
	for round := range 3 {
		if err := errors.Join(r.relay.Move("127.0.0.1:0"), r.discovery.Move("127.0.0.1:0")); err != nil {
			t.Fatal(err)
		}
		r.config["discovery"], r.config["store"] = r.discovery.Address(), map[string]any{"address": r.relay.Address()}
		r.configure()
		r.relay.Lock()
		follows := r.relay.Watches
		r.relay.Unlock()
		for range 1 + round {
			r.process.Process.Signal(syscall.SIGHUP)
		}
		r.awaitRelay("followed", func(relay *fakeplatform.Relay) bool { return relay.Watches > follows })
		r.relay.Join(proxy(3 + round))
		r.awaitRelay("bound", allBound(3+round))
		name := fmt.Sprintf("s-%d", 1+round)
		r.discovery.Set(node(name, "north", "terminating"))
		r.awaitRelay("drained", noTableHas(name))
	}
	if n := bindings() - before; n != 3 {
		t.Errorf("%d bindings for 3 proxies that joined: %q", n, r.relay.Calls)
	}
	r.relay.Break()
	r.discovery.Break()
	r.discovery.Set(node("s-5", "north", "in_service"))
	r.awaitRelay("new", func(relay *fakeplatform.Relay) bool { return relay.Tables[relay.Bound[0]]["s-5"] > 0 })
	r.process.Process.Signal(syscall.SIGHUP)
	r.process.Process.Signal(syscall.SIGTERM)
	if err := <-r.exited; err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

// SIGHUP moves discovery before the address of the start has ever answered. The new one is polled at once, and the
// controller is ready by its list.
func TestReloadBeforeFirstList(t *testing.T) {
	t.Parallel()
	r := startProgram(t, nil)
	r.restartWithoutKnownList(func() { r.discovery.SetMode(fakeplatform.NoResponse) })
	r.awaitPollsAfter(func() {})
	other, err := fakeplatform.NewDiscovery("127.0.0.1:0", node("s-7", "north", "in_service"), node("s-8", "south", "in_service"))
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	r.discovery.Set(node("s-7", "north", "in_service"), node("s-8", "south", "in_service")) // the relay asks here what is listed
	r.config["discovery"] = other.Address()
	r.configure()
	r.process.Process.Signal(syscall.SIGHUP)
	r.ping()
	r.join(0, 1)
	r.awaitRelay("by the new list", func(relay *fakeplatform.Relay) bool { return relay.Tables[relay.Bound[0]]["s-7"] > 0 })
}
