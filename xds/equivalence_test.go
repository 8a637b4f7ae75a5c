package xds_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/platform/wire"
	"harehook.dev/harehook/sidecar"
	"harehook.dev/harehook/xds"
)

// dualHost delivers the commands of a planner on two paths: as calls to a simulated relay, which applies them for
// proxies, and as xDS resources to sidecars.
type dualHost struct {
	t       *testing.T
	planner *planner.Planner
	now     float64
	wakeAt  float64
	batch   []controller.Command

	calls                wire.CommandQueue // sent to the relay
	tables               map[int]map[string]float64
	bound                map[int]int
	admission            map[string]string
	throttledComparisons int // comparisons of a route that was not fully admitted
	comparedEntries      int

	server   *xds.Server
	sidecars map[uint64]*sidecar.ResourceCache
	inbox    []func()
}

func (host *dualHost) BindProxy(proxy, table int) {
	host.batch = append(host.batch, controller.Command{Kind: controller.BindProxy, Proxy: proxy, Table: table})
}
func (host *dualHost) SetWeight(table int, node uint32, weight float64) {
	host.batch = append(host.batch, controller.Command{Kind: controller.SetWeight, Table: table, Node: fmt.Sprint("s-", node), Value: weight})
}
func (host *dualHost) SetAdmission(table int, route planner.RouteID, level float64, retries planner.RetryPolicy) {
	host.batch = append(host.batch, controller.Command{Kind: controller.SetAdmission, Table: table, Route: []string{"quote", "issue"}[route],
		Value: level, Retry: retries})
}
func (host *dualHost) RequestAck(nonce int) {
	host.batch = append(host.batch, controller.Command{Kind: controller.RequestAck, Nonce: nonce})
}
func (host *dualHost) Wake(at float64)                              { host.wakeAt = at }
func (host *dualHost) Subscribe()                                   {}
func (host *dualHost) EndpointHealthChanged(uint32, planner.Health) {}
func (host *dualHost) ThrottlingChanged(bool)                       {}

func (host *dualHost) Send(stream uint64, r *discoveryv3.DiscoveryResponse) {
	host.inbox = append(host.inbox, func() {
		answers, err := host.sidecars[stream].HandleStateOfTheWorld(r)
		if err != nil {
			host.t.Fatal(err)
		}
		for _, answer := range answers {
			if reason := answer.GetErrorDetail().GetMessage(); reason != "" {
				host.t.Fatal(reason)
			}
			host.server.HandleStateOfTheWorld(host.now, stream, answer)
		}
	})
}

func (host *dualHost) SendDelta(stream uint64, r *discoveryv3.DeltaDiscoveryResponse) {
	host.inbox = append(host.inbox, func() {
		answers, err := host.sidecars[stream].HandleDelta(r)
		if err != nil {
			host.t.Fatal(err)
		}
		for _, answer := range answers {
			if reason := answer.GetErrorDetail().GetMessage(); reason != "" {
				host.t.Fatal(reason)
			}
			host.server.HandleDelta(host.now, stream, answer)
		}
	})
}
func (host *dualHost) CloseStream(uint64, string)                {}
func (host *dualHost) Joined(int, string)                        {}
func (host *dualHost) Left(int)                                  {}
func (host *dualHost) Rejected(string, xds.ResourceType, string) {}
func (host *dualHost) Acknowledged(proxy, nonce int) {
	host.planner.Acknowledged(host.now, proxy, nonce)
}

// deliverCommands delivers the commands of an iteration on both paths until no message is in flight.
func (host *dualHost) deliverCommands() {
	for len(host.batch)+len(host.inbox) > 0 {
		if batch := host.batch; len(batch) > 0 {
			host.batch = nil
			if err := host.server.ApplyCommands(host.now, batch); err != nil {
				host.t.Fatal(err)
			}
			host.calls.Add(batch)
			for call := host.calls.Next(); call != nil; call = host.calls.Next() {
				host.calls.HandleResponse(fmt.Appendf(nil, "OK %d", host.applyRelayCall(string(call))))
			}
			if nonce, ok := host.calls.TakeAccepted(); ok {
				host.planner.CommandsAccepted(host.now, nonce)
			}
		}
		for len(host.inbox) > 0 {
			deliverMessage := host.inbox[0]
			host.inbox = host.inbox[1:]
			deliverMessage()
		}
	}
}

// applyRelayCall applies a call as the relay does, and returns the number of accepted commands.
func (host *dualHost) applyRelayCall(text string) (accepted int) {
	for _, operation := range strings.Split(strings.TrimSpace(strings.TrimPrefix(text, "txn ")), ";") {
		fields := strings.Split(operation, ",")
		number, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "put":
			if host.tables[number] == nil {
				host.tables[number] = map[string]float64{}
			}
			weight, _ := strconv.ParseFloat(fields[3], 64)
			if host.tables[number][fields[2]] = weight; weight == 0 {
				delete(host.tables[number], fields[2])
			}
		case "attach":
			host.bound[number], _ = strconv.Atoi(fields[2])
		case "gate":
			host.admission[fields[2]] = fields[3] + " " + fields[4]
		}
		accepted++
	}
	return accepted
}

// compare checks that each sidecar routes in the same way as the proxy with the same number.
func (host *dualHost) compare(seed uint64) {
	for id, client := range host.sidecars {
		table, proxy := client.Table(), int(id-1)
		weights := host.tables[host.bound[proxy]]
		weightSum := 0.0
		for _, weight := range weights {
			weightSum += weight
		}
		got, sum := table.Clusters[fmt.Sprint("pool-", host.bound[proxy])], 0.0
		for _, endpoint := range got {
			sum += endpoint.Weight
		}
		if len(got) != len(weights) {
			host.t.Fatalf("seed %d, %.1f s: %s: got %d endpoints, want %d as at the proxy", seed, host.now, client.ID, len(got), len(weights))
		}
		host.comparedEntries += len(got)
		for _, endpoint := range got {
			if want := weights[endpoint.Node] / weightSum; math.Abs(endpoint.Weight/sum-want) > 1e-4 {
				host.t.Fatalf("seed %d, %.1f s: %s: got share of %s %.5f, want %.5f as at the proxy", seed, host.now, client.ID, endpoint.Node, endpoint.Weight/sum, want)
			}
		}
		admitted := map[string]string{}
		for _, entry := range table.Routes {
			if entry.Status == 0 {
				admitted[entry.Name] = fmt.Sprintf("%.4f %d", entry.Fraction, entry.MaxRetries)
			}
		}
		for route, level := range host.admission {
			fields := strings.Fields(level)
			fraction, _ := strconv.ParseFloat(fields[0], 64)
			if fraction < 1 {
				host.throttledComparisons++
			}
			if want := fmt.Sprintf("%.4f %s", math.Round(fraction*1e6)/1e6, fields[1]); admitted[route] != want {
				host.t.Fatalf("seed %d, %.1f s: %s: got admitted fraction and retries %q of %s, want %q as at the proxy", seed, host.now, client.ID, admitted[route], route, want)
			}
		}
	}
}

// Guards against differences between the two paths of the planner's commands: proxies behind the relay and sidecars
// must have the same nodes with the same shares, and the same admission levels and retries, while endpoint states, node
// load and demand change.
func TestSidecarsAndRelayGetSameTables(t *testing.T) {
	const proxies, nodes = 12, 24
	for seed := range uint64(4) {
		random := rand.New(rand.NewPCG(seed, 21))
		host := &dualHost{t: t, tables: map[int]map[string]float64{}, bound: map[int]int{}, admission: map[string]string{}, sidecars: map[uint64]*sidecar.ResourceCache{}}
		compiler := xds.NewCompiler([]xds.Route{{Name: "quote", Prefix: "/quote", TimeLimit: time.Second},
			{Name: "issue", Prefix: "/issue", Mutating: true, TimeLimit: time.Second}}, time.Second)
		host.server = xds.NewServer(compiler, host, proxies)
		var endpoints []planner.Endpoint
		for n := range uint32(nodes) {
			zone := []string{"north", "south"}[n%2]
			compiler.SetAddress(fmt.Sprint("s-", n), zone, xds.Address{Host: "127.0.0.1", Port: 1000 + n})
			endpoints = append(endpoints, planner.Endpoint{Node: n, Zone: int(n % 2), State: planner.Ready})
		}
		host.planner = planner.New(host, planner.Config{Seed: seed, Zones: 2, MachineTypes: 1, Controllers: 1, Proxies: proxies, SubscribeTimeout: 10, UtilizationIndex: -1,
			QueueLengthIndex: -1, Admission: planner.AdmissionFraction, EntriesPerSecond: 1e5, MaxInFlightEntries: 1e6, MessageOverhead: 1, MessageWindow: 10, ReportInterval: 0.5, SlowStartWindow: 8, OverloadMultiple: 4,
			Routes: []planner.Route{{LatencyObjective: 1, PriorityWeight: 1}, {LatencyObjective: 1, PriorityWeight: 3}}}, 0)
		host.planner.ReplaceEndpoints(0, endpoints)
		host.deliverCommands()
		for proxy := range proxies {
			stream := uint64(proxy + 1)
			client := &sidecar.ResourceCache{ID: fmt.Sprint("sidecar-", proxy), Zone: []string{"north", "south"}[proxy%2], Delta: proxy%3 == 0}
			host.sidecars[stream] = client
			if err := host.server.Open(0, stream, client.Delta, client.ID, client.Zone); err != nil {
				t.Fatal(err)
			}
			if client.Delta {
				for _, r := range client.BeginDelta() {
					host.server.HandleDelta(0, stream, r)
				}
			} else {
				for _, r := range client.BeginStateOfTheWorld() {
					host.server.HandleStateOfTheWorld(0, stream, r)
				}
			}
			host.planner.ProxyJoined(0, proxy, proxy%2, 5)
			host.deliverCommands()
		}
		for step := 1; step < 400; step++ {
			host.now = float64(step) * 0.1
			if random.IntN(25) == 0 {
				index := random.IntN(nodes)
				endpoints[index].State = planner.EndpointState(random.IntN(3))
				if endpoints[index].State == planner.Ready {
					endpoints[index].StartTime = host.now
				}
				host.planner.UpdateEndpoints(host.now, endpoints[index:index+1])
			}
			if step%5 == 0 {
				overloaded := step/150%2 == 1
				for n := range uint32(nodes) {
					report := planner.LoadReport{Node: n, Completed: 10, MeanLatency: 0.2, Interval: 0.5}
					if overloaded {
						report.Failed, report.MeanLatency = 6, 1.2
					}
					host.planner.AddLoadReport(host.now, report)
				}
				for proxy := range proxies {
					host.planner.AddDemandReport(host.now, planner.DemandReport{Proxy: proxy, Route: planner.RouteID(random.IntN(2)), Requests: 10 + random.IntN(40), Interval: 0.5})
				}
			}
			if host.now >= host.wakeAt {
				host.planner.Step(host.now)
			}
			host.deliverCommands()
			host.compare(seed)
		}
		if host.comparedEntries < 10000 || host.throttledComparisons < 100 {
			t.Errorf("seed %d: got %d compared endpoints and %d compared throttled routes, want at least 10000 and 100", seed, host.comparedEntries, host.throttledComparisons)
		}
	}
}
