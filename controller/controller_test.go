package controller

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/settings"
)

// recordingSink records the commands that it receives, one line per batch.
type recordingSink struct {
	strings.Builder
	lastNonce int
}

// Enqueue implements CommandSink.
func (s *recordingSink) Enqueue(batch []Command) {
	for _, command := range batch {
		switch command.Kind {
		case BindProxy:
			fmt.Fprintf(s, "bind %d to %d; ", command.Proxy, command.Table)
		case SetWeight:
			fmt.Fprintf(s, "%s %.2f in %d; ", command.Node, command.Value, command.Table)
		case SetAdmission:
			fmt.Fprintf(s, "admission of %s; ", command.Route)
		case RequestAck:
			s.lastNonce = command.Nonce
			fmt.Fprintf(s, "ack %d; ", command.Nonce)
		case CancelBind:
			fmt.Fprintf(s, "cancel %d; ", command.Proxy)
		}
	}
	fmt.Fprintln(s)
}

// drainRecord returns the recorded text and clears it.
func (s *recordingSink) drainRecord() string {
	record := s.String()
	s.Reset()
	return record
}

func testDeployment(t *testing.T) settings.Deployment {
	t.Helper()
	deployment, err := settings.Decode([]byte(`{"zones":["north","south"],"machine-types":["small"],
"report":{"names":["outstanding","utilization"],"source":"inline"},
"categories":[{"name":"quote","promise-ns":1000000000,"gain":1}],
"extra":{"proxy-count":4,"backlog":2000,"interval-ns":500000000},"rules":{"ramp-time-ns":1000000000}}`))
	if err != nil {
		t.Fatal(err)
	}
	return deployment
}

// newController returns a controller with two nodes: s-1 in zone north and s-2 in zone south.
func newController(t *testing.T) (*Controller, *recordingSink) {
	t.Helper()
	sink := &recordingSink{}
	known := []Endpoint{
		{Node: "s-1", Zone: "north", MachineType: "small", State: planner.Ready},
		{Node: "s-2", Zone: "south", MachineType: "small", State: planner.Ready},
	}
	return New(testDeployment(t), known, sink, zap.NewNop()), sink
}

// newControllerWithProxies returns a controller as newController does, with three proxies that joined in zone north.
// The sink has already received their commands.
func newControllerWithProxies(t *testing.T) (*Controller, *recordingSink) {
	t.Helper()
	c, sink := newController(t)
	for proxy := range 3 {
		c.ProxyJoined(proxy, "north", 10)
	}
	c.loop.iterate(nil)
	sink.Reset()
	return c, sink
}

func checkCommands(t *testing.T, sink *recordingSink, want string) {
	t.Helper()
	if diff := cmp.Diff(want, sink.drainRecord()); diff != "" {
		t.Errorf("commands (-want +got):\n%s", diff)
	}
}
