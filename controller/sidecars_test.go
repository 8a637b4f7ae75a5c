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
	loadedProxies      = 2   // number of proxies that receive all requests
	eventsPerIteration = 256 // below the capacity of the controller's event queue
)

// sidecarFleet is a controller that was created from a configuration file, with nodes and sidecars in two zones.
type sidecarFleet struct {
	t          *testing.T
	controller *controller.Controller
	compiler   *xds.Compiler
	routes     []string
	sidecars   int

	now               float64 // s since the start
	requestedNonce    int     // the last one that the controller requested
	acknowledgedNonce int     // the last one that the sidecars acknowledged
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

// writeConfiguration writes a controller's configuration file with the given number of routes and returns its path.
func writeConfiguration(t *testing.T, routes int) string {
	t.Helper()
	var content strings.Builder
	content.WriteString("conductor \"c\" {\nlisten \"127.0.0.1:1\"\nnodes \"nodes.kdl\"\nzone \"north\"\nzone \"south\"\n")
	for r := range routes {
		fmt.Fprintf(&content, "route \"route-%04d\" { prefix \"/%04d\"; limit-ms 2000; slo-ms 1000; }\n", r+1, r+1)
	}
	content.WriteString("}\n")
	path := filepath.Join(t.TempDir(), "conductor.kdl")
	if err := os.WriteFile(path, []byte(content.String()), 0o600); err != nil {
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
		f.iteratePeriodically(proxy, f.now)
		f.controller.ProxyJoined(proxy, zones[proxy%2], 100)
	}
	return f
}

// nodeLoad describes the attempts at each node in each report interval.
type nodeLoad struct {
	succeeded, failed int     // attempts
	meanLatency       float64 // s
}

// run advances the time by the given seconds, with the given load on each node.
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
				f.iteratePeriodically(r, f.now)
				f.controller.AddDemandReport(proxy, route, 10, reportInterval)
			}
		}
		for elapsed := 0.0; elapsed < reportInterval; elapsed += iterationInterval {
			f.controller.IterateAt(f.now + elapsed)
			f.acknowledge(f.now + elapsed)
		}
	}
}

// acknowledge lets all sidecars acknowledge the last requested nonce, unless they already have.
func (f *sidecarFleet) acknowledge(at float64) {
	if f.acknowledgedNonce == f.requestedNonce {
		return
	}
	f.acknowledgedNonce = f.requestedNonce
	f.controller.CommandsAccepted(f.acknowledgedNonce)
	for proxy := range f.sidecars {
		f.iteratePeriodically(proxy, at)
		f.controller.Acknowledged(proxy, f.acknowledgedNonce)
	}
}

// iteratePeriodically runs an iteration before every eventsPerIteration-th event, so that the event queue does not fill
// up.
func (f *sidecarFleet) iteratePeriodically(eventIndex int, at float64) {
	if eventIndex%eventsPerIteration == 0 {
		f.controller.IterateAt(at)
	}
}

// acceptedTable returns the part of a routing table that a sidecar accepts.
func (f *sidecarFleet) acceptedTable(number int) *sidecar.RoutingTable {
	f.t.Helper()
	snapshot, err := f.compiler.Snapshot(number)
	if err != nil {
		f.t.Fatal(err)
	}
	cache := &sidecar.ResourceCache{ID: "s", Zone: "north", Delta: true}
	for resourceType := range xds.NumResourceTypes {
		response := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: resourceType.TypeURL(), Nonce: "n"}
		for _, resource := range snapshot.Sets[resourceType] {
			response.Resources = append(response.Resources,
				&discoveryv3.Resource{Name: resource.Name, Version: resource.Version, Resource: resource.Body})
		}
		requests, err := cache.HandleDelta(response)
		if err != nil {
			f.t.Fatal(err)
		}
		if rejection := requests[0].GetErrorDetail().GetMessage(); rejection != "" {
			f.t.Fatalf("table %d with %d routes rejected: %s", number, len(f.routes), rejection)
		}
	}
	return cache.Table()
}

// checkRoutes checks for all routes of all tables whether they are throttled and whether they are retried.
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
			f.t.Errorf("table %d %s overload: got %d wrong routes, from %s to %s, want throttled %t, retried %t",
				number, when, len(wrong), wrong[0], wrong[len(wrong)-1], wantThrottled, wantRetried)
		}
	}
}

// Routes after the first sixteen were neither throttled nor retried. Every route of a configuration must be throttled
// under overload and get its retries when the fleet is no longer saturated, including the seventeenth, the sixty-fourth
// and the last route that a table may have.
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

// The channel must have room for the admission levels of the maximum number of routes, even with hundreds of sidecars
// per subset.
func TestAdmissionLevelsReachManySidecars(t *testing.T) {
	f := newSidecarFleet(t, xds.MaxRoutes, 640)
	f.run(1, nodeLoad{succeeded: 20, meanLatency: 0.1})
	f.run(9, nodeLoad{succeeded: 10, failed: 10, meanLatency: 1.5})
	f.checkRoutes("under", true, false)
}
