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

// After SIGHUP the controller must connect to the new addresses of relay and discovery without interruption: it must
// not bind connected proxies again. An invalid configuration must leave the old one in effect.
func TestReloadChangesAddressesWithoutInterruption(t *testing.T) {
	r := startProgram(t, nil)
	r.join(0, 1, 2)
	countBindings := func() int {
		r.relay.Lock()
		defer r.relay.Unlock()
		return strings.Count(strings.Join(r.relay.Calls, "\n"), "attach,")
	}
	initialBindings := countBindings()
	os.WriteFile(r.configFile, []byte("{"), 0o600)
	r.process.Process.Signal(syscall.SIGHUP)
	r.awaitLog("configuration reload failed, previous configuration stays in use")
	for round := range 3 {
		if err := errors.Join(r.relay.Move("127.0.0.1:0"), r.discovery.Move("127.0.0.1:0")); err != nil {
			t.Fatal(err)
		}
		r.config["discovery"], r.config["store"] = r.discovery.Address(), map[string]any{"address": r.relay.Address()}
		r.writeConfiguration()
		r.relay.Lock()
		watches := r.relay.Watches
		r.relay.Unlock()
		for range 1 + round {
			r.process.Process.Signal(syscall.SIGHUP)
		}
		r.awaitRelay("proxy watch opened at the new address", func(relay *fakeplatform.Relay) bool { return relay.Watches > watches })
		r.relay.Join(proxy(3 + round))
		r.awaitRelay("new proxy bound", allBound(3+round))
		name := fmt.Sprintf("s-%d", 1+round)
		r.discovery.Set(node(name, "north", "terminating"))
		r.awaitRelay("drained endpoint removed", noTableContains(name))
	}
	if n := countBindings() - initialBindings; n != 3 {
		t.Errorf("got %d bindings, want 3, one for each proxy that joined; calls %q", n, r.relay.Calls)
	}
	r.relay.Break()
	r.discovery.Break()
	r.discovery.Set(node("s-5", "north", "in_service"))
	r.awaitRelay("new endpoint added", func(relay *fakeplatform.Relay) bool { return relay.Tables[relay.Bound[0]]["s-5"] > 0 })
	r.process.Process.Signal(syscall.SIGHUP)
	r.process.Process.Signal(syscall.SIGTERM)
	if err := <-r.exited; err != nil {
		t.Errorf("after SIGTERM: got exit %v, want exit code 0", err)
	}
}

// SIGHUP changes the discovery address before discovery at the old address has ever responded. The controller must poll
// the new address immediately and become ready with its list.
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
	r.discovery.Set(node("s-7", "north", "in_service"), node("s-8", "south", "in_service")) // the relay accepts listed endpoints only
	r.config["discovery"] = other.Address()
	r.writeConfiguration()
	r.process.Process.Signal(syscall.SIGHUP)
	r.ping()
	r.join(0, 1)
	r.awaitRelay("table from the new list", func(relay *fakeplatform.Relay) bool { return relay.Tables[relay.Bound[0]]["s-7"] > 0 })
}
