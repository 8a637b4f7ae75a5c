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

// dualHost is a planner whose commands go both ways: as calls to a relay, which applies them, and as versions to sidecars.
type dualHost struct {
	t       *testing.T
	planner *planner.Planner
	now     float64
	wakeAt  float64
	batch   []controller.Command

	calls                wire.CommandQueue // to the relay
	tables               map[int]map[string]float64
	bound                map[int]int
	admission            map[string]string
	throttledComparisons int // in which a route was not fully admitted
	comparedEntries      int

	server   *xds.Server // for the sidecars
	sidecars map[uint64]*sidecar.ResourceCache
	inbox    []func()
}

func (w *dualHost) BindProxy(proxy, table int) {
	w.batch = append(w.batch, controller.Command{Kind: controller.BindProxy, Proxy: proxy, Table: table})
}
func (w *dualHost) SetWeight(table int, node uint32, weight float64) {
	w.batch = append(w.batch, controller.Command{Kind: controller.SetWeight, Table: table, Node: fmt.Sprint("s-", node), Value: weight})
}
func (w *dualHost) SetAdmission(table int, route planner.RouteID, level float64, tries planner.RetryPolicy) {
	w.batch = append(w.batch, controller.Command{Kind: controller.SetAdmission, Table: table, Route: []string{"quote", "issue"}[route],
		Value: level, Retry: tries})
}
func (w *dualHost) RequestAck(nonce int) {
	w.batch = append(w.batch, controller.Command{Kind: controller.RequestAck, Nonce: nonce})
}
func (w *dualHost) Wake(at float64) { w.wakeAt = at }
func (w *dualHost) Subscribe()      {}
func (w *dualHost) Log(string)      {}

func (w *dualHost) Send(stream uint64, r *discoveryv3.DiscoveryResponse) {
	w.inbox = append(w.inbox, func() {
		out, err := w.sidecars[stream].HandleStateOfTheWorld(r)
		if err != nil {
			w.t.Fatal(err)
		}
		for _, answer := range out {
			if why := answer.GetErrorDetail().GetMessage(); why != "" {
				w.t.Fatal(why)
			}
			w.server.HandleStateOfTheWorld(w.now, stream, answer)
		}
	})
}

func (w *dualHost) SendDelta(stream uint64, r *discoveryv3.DeltaDiscoveryResponse) {
	w.inbox = append(w.inbox, func() {
		out, err := w.sidecars[stream].HandleDelta(r)
		if err != nil {
			w.t.Fatal(err)
		}
		for _, answer := range out {
			if why := answer.GetErrorDetail().GetMessage(); why != "" {
				w.t.Fatal(why)
			}
			w.server.HandleDelta(w.now, stream, answer)
		}
	})
}
func (w *dualHost) CloseStream(uint64, string)                {}
func (w *dualHost) Joined(int, string)                        {}
func (w *dualHost) Left(int)                                  {}
func (w *dualHost) Rejected(string, xds.ResourceType, string) {}
func (w *dualHost) Acknowledged(proxy, mark int)              { w.planner.Acknowledged(w.now, proxy, mark) }

// deliverCommands passes the commands of an iteration on, both ways, until no message is in flight.
func (w *dualHost) deliverCommands() {
	for len(w.batch)+len(w.inbox) > 0 {
		if batch := w.batch; len(batch) > 0 {
			w.batch = nil
			if err := w.server.ApplyCommands(w.now, batch); err != nil {
				w.t.Fatal(err)
			}
			w.calls.Add(batch)
			for call := w.calls.Next(); call != nil; call = w.calls.Next() {
				w.calls.HandleResponse(fmt.Appendf(nil, "OK %d", w.applyRelayCall(string(call))))
			}
			if mark, ok := w.calls.TakeAccepted(); ok {
				w.planner.CommandsAccepted(w.now, mark)
			}
		}
		for len(w.inbox) > 0 {
			do := w.inbox[0]
			w.inbox = w.inbox[1:]
			do()
		}
	}
}

// applyRelayCall applies a call as the relay does, and returns how many of its commands were accepted.
func (w *dualHost) applyRelayCall(text string) (taken int) {
	for _, o := range strings.Split(strings.TrimSpace(strings.TrimPrefix(text, "txn ")), ";") {
		part := strings.Split(o, ",")
		number, _ := strconv.Atoi(part[1])
		switch part[0] {
		case "put":
			if w.tables[number] == nil {
				w.tables[number] = map[string]float64{}
			}
			weight, _ := strconv.ParseFloat(part[3], 64)
			if w.tables[number][part[2]] = weight; weight == 0 {
				delete(w.tables[number], part[2])
			}
		case "attach":
			w.bound[number], _ = strconv.Atoi(part[2])
		case "gate":
			w.admission[part[2]] = part[3] + " " + part[4]
		}
		taken++
	}
	return taken
}

// compare checks that each sidecar routes as the proxy with its number does.
func (w *dualHost) compare(seed uint64) {
	for id, h := range w.sidecars {
		table, proxy := h.Table(), int(id-1)
		lines := w.tables[w.bound[proxy]]
		whole := 0.0
		for _, weight := range lines {
			whole += weight
		}
		got, sum := table.Clusters[fmt.Sprint("pool-", w.bound[proxy])], 0.0
		for _, l := range got {
			sum += l.Weight
		}
		if len(got) != len(lines) {
			w.t.Fatalf("seed %d, %.1f s: %s has %d lines, the proxy %d", seed, w.now, h.ID, len(got), len(lines))
		}
		w.comparedEntries += len(got)
		for _, l := range got {
			if want := lines[l.Node] / whole; math.Abs(l.Weight/sum-want) > 1e-4 {
				w.t.Fatalf("seed %d, %.1f s: %s gives %s %.5f, the proxy %.5f", seed, w.now, h.ID, l.Node, l.Weight/sum, want)
			}
		}
		let := map[string]string{}
		for _, e := range table.Routes {
			if e.Status == 0 {
				let[e.Name] = fmt.Sprintf("%.4f %d", e.Fraction, e.MaxRetries)
			}
		}
		for route, level := range w.admission {
			part := strings.Fields(level)
			figure, _ := strconv.ParseFloat(part[0], 64)
			if figure < 1 {
				w.throttledComparisons++
			}
			if want := fmt.Sprintf("%.4f %s", math.Round(figure*1e6)/1e6, part[1]); let[route] != want {
				w.t.Fatalf("seed %d, %.1f s: %s lets in %q of %s, the proxy %q", seed, w.now, h.ID, let[route], route, want)
			}
		}
	}
}

// The same decisions reach the platform's proxies and sidecars alike: the same nodes in the same proportions, the same
// admission levels and retries, whatever the endpoint list, the nodes and the demand do.
func TestSidecarsAndRelayGetSameTables(t *testing.T) {
	const proxies, nodes = 12, 24
	for seed := range uint64(4) {
		chance := rand.New(rand.NewPCG(seed, 21))
		w := &dualHost{t: t, tables: map[int]map[string]float64{}, bound: map[int]int{}, admission: map[string]string{}, sidecars: map[uint64]*sidecar.ResourceCache{}}
		compiler := xds.NewCompiler([]xds.Route{{Name: "quote", Prefix: "/quote", TimeLimit: time.Second},
			{Name: "issue", Prefix: "/issue", Mutating: true, TimeLimit: time.Second}}, time.Second)
		w.server = xds.NewServer(compiler, w, proxies)
		var rows []planner.Endpoint
		for n := range uint32(nodes) {
			zone := []string{"north", "south"}[n%2]
			compiler.SetAddress(fmt.Sprint("s-", n), zone, xds.Address{Host: "127.0.0.1", Port: 1000 + n})
			rows = append(rows, planner.Endpoint{Node: n, Zone: int(n % 2), State: planner.Ready})
		}
		w.planner = planner.New(w, planner.Config{Seed: seed, Zones: 2, MachineTypes: 1, Controllers: 1, Proxies: proxies, SubscribeTimeout: 10, UtilizationIndex: -1,
			QueueLengthIndex: -1, Admission: planner.AdmissionFraction, EntriesPerSecond: 1e5, MaxInFlightEntries: 1e6, MessageOverhead: 1, MessageWindow: 10, ReportInterval: 0.5, SlowStartWindow: 8, OverloadMultiple: 4,
			Routes: []planner.Route{{LatencyObjective: 1, PriorityWeight: 1}, {LatencyObjective: 1, PriorityWeight: 3}}}, 0)
		w.planner.ReplaceEndpoints(0, rows)
		w.deliverCommands()
		for p := range proxies {
			stream := uint64(p + 1)
			h := &sidecar.ResourceCache{ID: fmt.Sprint("till-", p), Zone: []string{"north", "south"}[p%2], Delta: p%3 == 0}
			w.sidecars[stream] = h
			if err := w.server.Open(0, stream, h.Delta, h.ID, h.Zone); err != nil {
				t.Fatal(err)
			}
			if h.Delta {
				for _, r := range h.BeginDelta() {
					w.server.HandleDelta(0, stream, r)
				}
			} else {
				for _, r := range h.BeginStateOfTheWorld() {
					w.server.HandleStateOfTheWorld(0, stream, r)
				}
			}
			w.planner.ProxyJoined(0, p, p%2, 5)
			w.deliverCommands()
		}
		for step := 1; step < 400; step++ {
			w.now = float64(step) * 0.1
			if chance.IntN(25) == 0 {
				k := chance.IntN(nodes)
				rows[k].State = planner.EndpointState(chance.IntN(3))
				if rows[k].State == planner.Ready {
					rows[k].StartTime = w.now
				}
				w.planner.UpdateEndpoints(w.now, rows[k:k+1])
			}
			if step%5 == 0 {
				jam := step/150%2 == 1
				for n := range uint32(nodes) {
					s := planner.LoadReport{Node: n, Completed: 10, MeanLatency: 0.2, Interval: 0.5}
					if jam {
						s.Failed, s.MeanLatency = 6, 1.2
					}
					w.planner.AddLoadReport(w.now, s)
				}
				for p := range proxies {
					w.planner.AddDemandReport(w.now, planner.DemandReport{Proxy: p, Route: planner.RouteID(chance.IntN(2)), Requests: 10 + chance.IntN(40), Interval: 0.5})
				}
			}
			if w.now >= w.wakeAt {
				w.planner.Step(w.now)
			}
			w.deliverCommands()
			w.compare(seed)
		}
		if w.comparedEntries < 10000 || w.throttledComparisons < 100 {
			t.Errorf("seed %d: %d lines and %d throttled routes were compared", seed, w.comparedEntries, w.throttledComparisons)
		}
	}
}
