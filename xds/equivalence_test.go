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
		out, err := host.sidecars[stream].HandleStateOfTheWorld(r)
		if err != nil {
			host.t.Fatal(err)
		}
		for _, answer := range out {
			if why := answer.GetErrorDetail().GetMessage(); why != "" {
				host.t.Fatal(why)
			}
			host.server.HandleStateOfTheWorld(host.now, stream, answer)
		}
	})
}

func (host *dualHost) SendDelta(stream uint64, r *discoveryv3.DeltaDiscoveryResponse) {
	host.inbox = append(host.inbox, func() {
		out, err := host.sidecars[stream].HandleDelta(r)
		if err != nil {
			host.t.Fatal(err)
		}
		for _, answer := range out {
			if why := answer.GetErrorDetail().GetMessage(); why != "" {
				host.t.Fatal(why)
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
			do := host.inbox[0]
			host.inbox = host.inbox[1:]
			do()
		}
	}
}

// applyRelayCall applies a call as the relay does, and returns the number of accepted commands.
func (host *dualHost) applyRelayCall(text string) (accepted int) {
	for _, o := range strings.Split(strings.TrimSpace(strings.TrimPrefix(text, "txn ")), ";") {
		part := strings.Split(o, ",")
		number, _ := strconv.Atoi(part[1])
		switch part[0] {
		case "put":
			if host.tables[number] == nil {
				host.tables[number] = map[string]float64{}
			}
			weight, _ := strconv.ParseFloat(part[3], 64)
			if host.tables[number][part[2]] = weight; weight == 0 {
				delete(host.tables[number], part[2])
			}
		case "attach":
			host.bound[number], _ = strconv.Atoi(part[2])
		case "gate":
			host.admission[part[2]] = part[3] + " " + part[4]
		}
		accepted++
	}
	return accepted
}

// compare checks that each sidecar routes in the same way as the proxy with the same number.
func (host *dualHost) compare(seed uint64) {
	for id, h := range host.sidecars {
		table, proxy := h.Table(), int(id-1)
		weights := host.tables[host.bound[proxy]]
		weightSum := 0.0
		for _, weight := range weights {
			weightSum += weight
		}
		got, sum := table.Clusters[fmt.Sprint("pool-", host.bound[proxy])], 0.0
		for _, l := range got {
			sum += l.Weight
		}
		if len(got) != len(weights) {
			host.t.Fatalf("seed %d, %.1f s: %s: got %d endpoints, want %d as at the proxy", seed, host.now, h.ID, len(got), len(weights))
		}
		host.comparedEntries += len(got)
		for _, l := range got {
			if want := weights[l.Node] / weightSum; math.Abs(l.Weight/sum-want) > 1e-4 {
				host.t.Fatalf("seed %d, %.1f s: %s: got share of %s %.5f, want %.5f as at the proxy", seed, host.now, h.ID, l.Node, l.Weight/sum, want)
			}
		}
		let := map[string]string{}
		for _, e := range table.Routes {
			if e.Status == 0 {
				let[e.Name] = fmt.Sprintf("%.4f %d", e.Fraction, e.MaxRetries)
			}
		}
		for route, level := range host.admission {
			part := strings.Fields(level)
			figure, _ := strconv.ParseFloat(part[0], 64)
			if figure < 1 {
				host.throttledComparisons++
			}
			if want := fmt.Sprintf("%.4f %s", math.Round(figure*1e6)/1e6, part[1]); let[route] != want {
				host.t.Fatalf("seed %d, %.1f s: %s: got admitted fraction and retries %q of %s, want %q as at the proxy", seed, host.now, h.ID, let[route], route, want)
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
		var rows []planner.Endpoint
		for n := range uint32(nodes) {
			zone := []string{"north", "south"}[n%2]
			compiler.SetAddress(fmt.Sprint("s-", n), zone, xds.Address{Host: "127.0.0.1", Port: 1000 + n})
			rows = append(rows, planner.Endpoint{Node: n, Zone: int(n % 2), State: planner.Ready})
		}
		host.planner = planner.New(host, planner.Config{Seed: seed, Zones: 2, MachineTypes: 1, Controllers: 1, Proxies: proxies, SubscribeTimeout: 10, UtilizationIndex: -1,
			QueueLengthIndex: -1, Admission: planner.AdmissionFraction, EntriesPerSecond: 1e5, MaxInFlightEntries: 1e6, MessageOverhead: 1, MessageWindow: 10, ReportInterval: 0.5, SlowStartWindow: 8, OverloadMultiple: 4,
			Routes: []planner.Route{{LatencyObjective: 1, PriorityWeight: 1}, {LatencyObjective: 1, PriorityWeight: 3}}}, 0)
		host.planner.ReplaceEndpoints(0, rows)
		host.deliverCommands()
		for p := range proxies {
			stream := uint64(p + 1)
			h := &sidecar.ResourceCache{ID: fmt.Sprint("till-", p), Zone: []string{"north", "south"}[p%2], Delta: p%3 == 0}
			host.sidecars[stream] = h
			if err := host.server.Open(0, stream, h.Delta, h.ID, h.Zone); err != nil {
				t.Fatal(err)
			}
			if h.Delta {
				for _, r := range h.BeginDelta() {
					host.server.HandleDelta(0, stream, r)
				}
			} else {
				for _, r := range h.BeginStateOfTheWorld() {
					host.server.HandleStateOfTheWorld(0, stream, r)
				}
			}
			host.planner.ProxyJoined(0, p, p%2, 5)
			host.deliverCommands()
		}
		for step := 1; step < 400; step++ {
			host.now = float64(step) * 0.1
			if random.IntN(25) == 0 {
				k := random.IntN(nodes)
				rows[k].State = planner.EndpointState(random.IntN(3))
				if rows[k].State == planner.Ready {
					rows[k].StartTime = host.now
				}
				host.planner.UpdateEndpoints(host.now, rows[k:k+1])
			}
			if step%5 == 0 {
				jam := step/150%2 == 1
				for n := range uint32(nodes) {
					s := planner.LoadReport{Node: n, Completed: 10, MeanLatency: 0.2, Interval: 0.5}
					if jam {
						s.Failed, s.MeanLatency = 6, 1.2
					}
					host.planner.AddLoadReport(host.now, s)
				}
				for p := range proxies {
					host.planner.AddDemandReport(host.now, planner.DemandReport{Proxy: p, Route: planner.RouteID(random.IntN(2)), Requests: 10 + random.IntN(40), Interval: 0.5})
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
