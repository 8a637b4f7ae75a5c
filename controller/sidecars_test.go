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

const (
	fleetNodes         = 4
	loadedProxies      = 2   // those that get all requests
	eventsPerIteration = 256 // below what a controller's queue of events holds
)

// sidecarFleet is a controller started from a configuration file, with nodes and sidecars in its two zones.
type sidecarFleet struct {
	t          *testing.T
	controller *controller.Controller
	compiler   *xds.Compiler
	routes     []string
	sidecars   int

	now               float64 // s since the start
	requestedNonce    int     // the last that the controller asked for
	acknowledgedNonce int     // the last that the sidecars acknowledged
}

// Enqueue implements controller.CommandSink.
func (f *sidecarFleet) Enqueue(batch []controller.Command) {
	f.compiler.ApplyCommands(batch)
	for _, command := range batch {
		if command.Kind == controller.RequestAck {
			f.requestedNonce = command.Nonce
		}
	}
}

// writeConfiguration writes a controller's file with so many routes and gives its path.
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

func newSidecarFleet(t *testing.T, routes, sidecars int) *sidecarFleet {
	t.Helper()
	configuration, err := config.ReadController(writeConfiguration(t, routes))
	if err != nil {
		t.Fatal(err)
	}
	zones := configuration.Deployment.Zones
	f := &sidecarFleet{
		t:        t,
		compiler: xds.NewCompiler(configuration.Routes, configuration.ConnectTimeout),
		routes:   configuration.Deployment.Routes,
		sidecars: sidecars,
	}
	var endpoints []controller.Endpoint
	for n := range fleetNodes {
		node, zone := fmt.Sprint("node-", n), zones[n%2]
		f.compiler.SetAddress(node, zone, xds.Address{Host: "127.0.0.1", Port: uint32(9000 + n)})
		endpoints = append(endpoints, controller.Endpoint{Node: node, Zone: zone, MachineType: "node", State: planner.Ready})
	}
	f.controller = controller.New(configuration.Deployment, endpoints, f, zap.NewNop())
	for proxy := range sidecars {
		f.iterateBefore(proxy, f.now)
		f.controller.ProxyJoined(proxy, zones[proxy%2], 100)
	}
	return f
}

// nodeLoad is what each node answers in each report interval.
type nodeLoad struct {
	succeeded, failed int     // attempts
	meanLatency       float64 // s
}

// run lets seconds pass in which the nodes answer so.
func (f *sidecarFleet) run(seconds float64, load nodeLoad) {
	const (
		reportInterval    = 0.5 // s
		iterationInterval = 0.1 // s
	)
	for end := f.now + seconds; f.now < end; f.now += reportInterval {
		for n := range fleetNodes {
			f.controller.AddLoadReport(controller.LoadReport{
				Node:        fmt.Sprint("node-", n),
				Completed:   load.succeeded + load.failed,
				Failed:      load.failed,
				MeanLatency: load.meanLatency,
				Interval:    reportInterval,
			})
		}
		for proxy := range loadedProxies {
			for r, route := range f.routes {
				f.iterateBefore(r, f.now)
				f.controller.AddDemandReport(proxy, route, 10, reportInterval)
			}
		}
		for passed := 0.0; passed < reportInterval; passed += iterationInterval {
			f.controller.IterateAt(f.now + passed)
			f.acknowledge(f.now + passed)
		}
	}
}

// acknowledge has all sidecars acknowledge the last nonce, if they have not.
func (f *sidecarFleet) acknowledge(at float64) {
	if f.acknowledgedNonce == f.requestedNonce {
		return
	}
	f.acknowledgedNonce = f.requestedNonce
	f.controller.CommandsAccepted(f.acknowledgedNonce)
	for proxy := range f.sidecars {
		f.iterateBefore(proxy, at)
		f.controller.Acknowledged(proxy, f.acknowledgedNonce)
	}
}

// iterateBefore handles what has come in if the next event would be one too many for the queue.
func (f *sidecarFleet) iterateBefore(event int, at float64) {
	if event%eventsPerIteration == 0 {
		f.controller.IterateAt(at)
	}
}

// acceptedTable is what a sidecar on a routing table accepts of it.
func (f *sidecarFleet) acceptedTable(number int) *sidecar.RoutingTable {
	f.t.Helper()
	snapshot, err := f.compiler.Snapshot(number)
	if err != nil {
		f.t.Fatal(err)
	}
	cache := &sidecar.ResourceCache{ID: "s", Zone: "north", Delta: true}
	for kind := range xds.NumResourceTypes {
		response := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: kind.TypeURL(), Nonce: "n"}
		for _, one := range snapshot.Sets[kind] {
			response.Resources = append(response.Resources,
				&discoveryv3.Resource{Name: one.Name, Version: one.Version, Resource: one.Body})
		}
		requests, err := cache.HandleDelta(response)
		if err != nil {
			f.t.Fatal(err)
		}
		if rejection := requests[0].GetErrorDetail().GetMessage(); rejection != "" {
			f.t.Fatalf("table %d with %d routes: %s", number, len(f.routes), rejection)
		}
	}
	return cache.Table()
}

// checkRoutes checks that the routes of all tables are throttled, and retried, as wanted.
func (f *sidecarFleet) checkRoutes(when string, wantThrottled, wantRetried bool) {
	f.t.Helper()
	for number := range 2 {
		throttled, retried := map[string]bool{}, map[string]bool{}
		for _, entry := range f.acceptedTable(number).Routes {
			throttled[entry.Name] = throttled[entry.Name] || entry.Status != 0
			retried[entry.Name] = retried[entry.Name] || entry.MaxRetries > 0
		}
		var wrong []string
		for _, name := range f.routes {
			if throttled[name] != wantThrottled || retried[name] != wantRetried {
				wrong = append(wrong, fmt.Sprintf("%s (throttled %t, retried %t)", name, throttled[name], retried[name]))
			}
		}
		if len(wrong) > 0 {
			f.t.Errorf("table %d %s overload: %d routes are wrong, from %s to %s",
				number, when, len(wrong), wrong[0], wrong[len(wrong)-1])
		}
	}
}

// Routes behind the first sixteen were neither throttled nor retried. Every route of a configuration has to be throttled
// under overload, and to get its retry once the fleet is no longer saturated: also the seventeenth, the sixty-fourth and
// the last one that a table may have.
func TestEveryRouteIsThrottledAndRetried(t *testing.T) {
	for _, routes := range []int{16, 17, 64, xds.MaxRoutes} {
		t.Run(fmt.Sprint(routes), func(t *testing.T) {
			f := newSidecarFleet(t, routes, 2)
			f.run(10, nodeLoad{succeeded: 20, meanLatency: 0.1})
			f.run(20, nodeLoad{succeeded: 10, failed: 10, meanLatency: 1.5})
			f.checkRoutes("under", true, false)
			f.run(120, nodeLoad{succeeded: 40, meanLatency: 0.1})
			f.checkRoutes("after", false, true)
		})
	}
}

// Admission levels of as many routes as there may be find room in the channel, also for hundreds of sidecars of a
// subset.
func TestAdmissionLevelsReachManySidecars(t *testing.T) {
	f := newSidecarFleet(t, xds.MaxRoutes, 640)
	f.run(1, nodeLoad{succeeded: 20, meanLatency: 0.1})
	f.run(9, nodeLoad{succeeded: 10, failed: 10, meanLatency: 1.5})
	f.checkRoutes("under", true, false)
}
