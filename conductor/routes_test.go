package conductor_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"go.uber.org/zap"

	"harehook.dev/harehook/brain"
	"harehook.dev/harehook/conductor"
	"harehook.dev/harehook/install"
	"harehook.dev/harehook/sidecar"
	"harehook.dev/harehook/xds"
)

// fleet is a conductor started from a configuration file, and one sidecar for each of its two zones.
type fleet struct {
	t        *testing.T
	core     *conductor.Core
	compiler *xds.Compiler
	routes   []string
	now      float64
	mark     int // the last that was ordered
}

const (
	fleetNodes    = 4
	fleetSidecars = 2
	usageBatch    = 256 // reports of usage between two turns: a core's inbox has room for these
)

// Carry implements conductor.Carrier.
func (f *fleet) Carry(batch []conductor.Order) {
	f.compiler.Take(batch)
	for _, order := range batch {
		if order.Kind == conductor.Mark {
			f.mark = order.Number
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

func startFleet(t *testing.T, routes int) *fleet {
	t.Helper()
	configuration, err := install.ReadConductor(writeConfiguration(t, routes))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, compiler: xds.NewCompiler(configuration.Routes, configuration.Connect),
		routes: configuration.Deployment.Routes}
	var list []conductor.Entry
	for n := range fleetNodes {
		node, zone := fmt.Sprint("node-", n), configuration.Deployment.Zones[n%2]
		f.compiler.Place(node, zone, xds.Address{Host: "127.0.0.1", Port: uint32(9000 + n)})
		list = append(list, conductor.Entry{Node: node, Zone: zone, Kind: "node", Condition: brain.Ready})
	}
	f.core = conductor.New(configuration.Deployment, list, f, zap.NewNop())
	for proxy := range fleetSidecars {
		f.core.ProxyJoined(proxy, configuration.Deployment.Zones[proxy%2], 100)
	}
	return f
}

// play lets seconds pass in which the nodes answer good and lose lost tries a half second, each good one in mean.
func (f *fleet) play(seconds float64, good, lost int, mean float64) {
	const period = 0.5
	for end := f.now + seconds; f.now < end; f.now += period {
		for n := range fleetNodes {
			f.core.NodeSums(conductor.Sums{Node: fmt.Sprint("node-", n), Ended: good + lost, Lost: lost, Mean: mean, Span: period})
		}
		for proxy := range fleetSidecars {
			for r, route := range f.routes {
				if r%usageBatch == 0 {
					f.core.TurnAt(f.now)
				}
				f.core.RouteUsage(proxy, route, 10, period)
			}
		}
		for step := 0.0; step < period; step += 0.1 {
			f.core.TurnAt(f.now + step)
			f.core.OrdersTaken(f.mark)
			for proxy := range fleetSidecars {
				f.core.MarkConfirmed(proxy, f.mark)
			}
		}
	}
}

// table is what a sidecar on a table accepts of it.
func (f *fleet) table(number int) *sidecar.Table {
	f.t.Helper()
	snapshot, err := f.compiler.Snapshot(number)
	if err != nil {
		f.t.Fatal(err)
	}
	holder := &sidecar.Holder{ID: "s", Zone: "north", Delta: true}
	for kind := range xds.Kinds {
		response := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: kind.URL(), Nonce: "n"}
		for _, one := range snapshot.Sets[kind] {
			response.Resources = append(response.Resources,
				&discoveryv3.Resource{Name: one.Name, Version: one.Version, Resource: one.Body})
		}
		requests, err := holder.Deltas(response)
		if err != nil {
			f.t.Fatal(err)
		}
		if why := requests[0].GetErrorDetail().GetMessage(); why != "" {
			f.t.Fatalf("table %d with %d routes: %s", number, len(f.routes), why)
		}
	}
	return holder.Table()
}

// state counts a table's routes that are throttled and those with a further try.
func (f *fleet) state(number int) (throttled, retried map[string]bool) {
	f.t.Helper()
	throttled, retried = map[string]bool{}, map[string]bool{}
	for _, entry := range f.table(number).Routes {
		throttled[entry.Name] = throttled[entry.Name] || entry.Status != 0
		retried[entry.Name] = retried[entry.Name] || entry.Tries > 0
	}
	return throttled, retried
}

// Every route of a configuration is throttled under overload and gets its further try once the fleet is no longer
// full: also the seventeenth, the sixty-fourth and the last one that a table may have.
func TestEveryRouteIsThrottled(t *testing.T) {
	for _, count := range []int{16, 17, 64, xds.MaxRoutes} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			f := startFleet(t, count)
			f.play(10, 20, 0, 0.1)
			f.play(20, 10, 10, 1.5)
			for table := range 2 {
				throttled, retried := f.state(table)
				for _, name := range f.routes {
					if !throttled[name] || retried[name] {
						t.Errorf("table %d, %s under overload: throttled %t, further tries %t", table, name, throttled[name], retried[name])
					}
				}
			}
			f.play(120, 40, 0, 0.1)
			for table := range 2 {
				throttled, retried := f.state(table)
				for _, name := range f.routes {
					if throttled[name] || !retried[name] {
						t.Errorf("table %d, %s after overload: throttled %t, further tries %t", table, name, throttled[name], retried[name])
					}
				}
			}
		})
	}
}
