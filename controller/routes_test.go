package controller_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"go.uber.org/zap"

	"harehook.dev/harehook/config"
	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/sidecar"
	"harehook.dev/harehook/xds"
)

// fleet is a conductor started from a configuration file, with sidecars in its two zones. Two of these take all calls.
type fleet struct {
	t        *testing.T
	core     *controller.Controller
	compiler *xds.Compiler
	routes   []string
	sidecars int
	now      float64
	mark     int // the last that was ordered
	told     int // the last that the sidecars confirmed
}

const (
	fleetNodes = 4
	inboxBatch = 256 // happenings between two turns: a core's inbox has room for these
)

// Enqueue implements conductor.Carrier.
func (f *fleet) Enqueue(batch []controller.Command) {
	f.compiler.ApplyCommands(batch)
	for _, order := range batch {
		if order.Kind == controller.RequestAck {
			f.mark = order.Nonce
		}
	}
}

// writeConfiguration writes a conductor's file with so many routes and gives its path.
func writeConfiguration(t *testing.T, routes int) string {
	t.Helper()
	var text strings.Builder
	text.WriteString("conductor \"c\" {\nlisten \"127.0.0.1:1\"\nnodes \"nodes.kdl\"\nzone \"north\"\nzone \"south\"\n")
	for r := range routes {
		fmt.Fprintf(&text, "route \"route-%04d\" { prefix \"/%04d\"; limit-ms 2000; slo-ms 1000; }\n", r+1, r+1)
	}
	text.WriteString("}\n")
	path := filepath.Join(t.TempDir(), "conductor.kdl")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func startFleet(t *testing.T, routes, sidecars int) *fleet {
	t.Helper()
	configuration, err := config.ReadController(writeConfiguration(t, routes))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, compiler: xds.NewCompiler(configuration.Routes, configuration.ConnectTimeout),
		routes: configuration.Deployment.Routes, sidecars: sidecars}
	var list []controller.Endpoint
	for n := range fleetNodes {
		node, zone := fmt.Sprint("node-", n), configuration.Deployment.Zones[n%2]
		f.compiler.SetAddress(node, zone, xds.Address{Host: "127.0.0.1", Port: uint32(9000 + n)})
		list = append(list, controller.Endpoint{Node: node, Zone: zone, MachineType: "node", State: planner.Ready})
	}
	f.core = controller.New(configuration.Deployment, list, f, zap.NewNop())
	for proxy := range sidecars {
		f.turnSometimes(proxy, f.now)
		f.core.ProxyJoined(proxy, configuration.Deployment.Zones[proxy%2], 100)
	}
	return f
}

// play lets seconds pass in which the nodes answer good and lose lost tries a half second, each good one in mean.
func (f *fleet) play(seconds float64, good, lost int, mean float64) {
	const period = 0.5
	for end := f.now + seconds; f.now < end; f.now += period {
		for n := range fleetNodes {
			f.core.AddLoadReport(controller.LoadReport{Node: fmt.Sprint("node-", n), Completed: good + lost, Failed: lost, MeanLatency: mean, Interval: period})
		}
		for proxy := range 2 {
			for r, route := range f.routes {
				f.turnSometimes(r, f.now)
				f.core.AddDemandReport(proxy, route, 10, period)
			}
		}
		for step := 0.0; step < period; step += 0.1 {
			f.core.TurnAt(f.now + step)
			f.confirm(f.now + step)
		}
	}
}

// confirm has all sidecars confirm the last mark, if they have not.
func (f *fleet) confirm(at float64) {
	if f.told == f.mark {
		return
	}
	f.told = f.mark
	f.core.CommandsAccepted(f.told)
	for proxy := range f.sidecars {
		f.turnSometimes(proxy, at)
		f.core.Acknowledged(proxy, f.told)
	}
}

// turnSometimes handles what has come in at every so many happenings.
func (f *fleet) turnSometimes(happening int, at float64) {
	if happening%inboxBatch == 0 {
		f.core.TurnAt(at)
	}
}

// table is what a sidecar on a table accepts of it.
func (f *fleet) table(number int) *sidecar.RoutingTable {
	f.t.Helper()
	snapshot, err := f.compiler.Snapshot(number)
	if err != nil {
		f.t.Fatal(err)
	}
	holder := &sidecar.ResourceCache{ID: "s", Zone: "north", Delta: true}
	for kind := range xds.NumResourceTypes {
		response := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: kind.TypeURL(), Nonce: "n"}
		for _, one := range snapshot.Sets[kind] {
			response.Resources = append(response.Resources,
				&discoveryv3.Resource{Name: one.Name, Version: one.Version, Resource: one.Body})
		}
		requests, err := holder.HandleDelta(response)
		if err != nil {
			f.t.Fatal(err)
		}
		if why := requests[0].GetErrorDetail().GetMessage(); why != "" {
			f.t.Fatalf("table %d with %d routes: %s", number, len(f.routes), why)
		}
	}
	return holder.Table()
}

// check says which routes of the tables are not as wanted.
func (f *fleet) check(when string, wantThrottled, wantRetried bool) {
	f.t.Helper()
	for number := range 2 {
		throttled, retried := map[string]bool{}, map[string]bool{}
		for _, entry := range f.table(number).Routes {
			throttled[entry.Name] = throttled[entry.Name] || entry.Status != 0
			retried[entry.Name] = retried[entry.Name] || entry.MaxRetries > 0
		}
		var wrong []string
		for _, name := range f.routes {
			if throttled[name] != wantThrottled || retried[name] != wantRetried {
				wrong = append(wrong, fmt.Sprintf("%s (throttled %t, further tries %t)", name, throttled[name], retried[name]))
			}
		}
		if len(wrong) > 0 {
			f.t.Errorf("table %d %s overload: %d routes are wrong, from %s to %s", number, when, len(wrong), wrong[0], wrong[len(wrong)-1])
		}
	}
}

// Every route of a configuration is throttled under overload and gets its further try once the fleet is no longer
// full: also the seventeenth, the sixty-fourth and the last one that a table may have.
func TestEveryRouteIsThrottled(t *testing.T) {
	for _, routes := range []int{16, 17, 64, xds.MaxRoutes} {
		t.Run(fmt.Sprint(routes), func(t *testing.T) {
			f := startFleet(t, routes, 2)
			f.play(10, 20, 0, 0.1)
			f.play(20, 10, 10, 1.5)
			f.check("under", true, false)
			f.play(120, 40, 0, 0.1)
			f.check("after", false, true)
		})
	}
}

// Levels of as many routes as may be find room in the channel, also for hundreds of sidecars of a pool.
func TestLevelsForManySidecars(t *testing.T) {
	f := startFleet(t, xds.MaxRoutes, 640)
	f.play(1, 20, 0, 0.1)
	f.play(9, 10, 10, 1.5)
	f.check("under", true, false)
}
