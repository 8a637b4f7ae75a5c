package planner

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the traces to testdata")

// trace is a Host that prints what a conductor decides, and the clock and figures of one scene.
type trace struct {
	strings.Builder
	t     *testing.T
	c     *Planner
	now   float64
	wake  float64
	mute  bool // print marks and wakes no more
	order int
	meets map[uint32]LoadReport // what each node's sums say every period
	calls [][]int               // calls of each proxy by route, every period
}

func (tr *trace) say(format string, args ...any) {
	fmt.Fprintf(tr, "%6.1f  "+format+"\n", append([]any{tr.now}, args...)...)
}

func (tr *trace) BindProxy(proxy, table int) { tr.say("bind proxy %d to table %d", proxy, table) }
func (tr *trace) SetWeight(table int, node uint32, weight float64) {
	tr.say("table %d node %d weight %.2f", table, node, weight)
}
func (tr *trace) SetAdmission(table int, route RouteID, level float64, tries RetryPolicy) {
	tr.say("table %d level routes %b %.2f tries %d", table, 1<<route, level, tries)
}
func (tr *trace) RequestAck(nonce int) { tr.order = nonce }
func (tr *trace) Wake(at float64)      { tr.wake = at }
func (tr *trace) Subscribe()           { tr.say("subscribe") }
func (tr *trace) Log(line string)      { tr.say("log %s", line) }

// testSite is a small deployment with two zones and two routes.
func testSite() Config {
	return Config{Seed: 1, Zones: 2, MachineTypes: 1, Controllers: 1, Proxies: 2, SubscribeTimeout: 10, UtilizationIndex: -1,
		QueueLengthIndex: -1, Admission: AdmissionFraction, EntriesPerSecond: 1000, MaxInFlightEntries: 2000, MessageOverhead: 5, MessageWindow: 10, ReportInterval: 0.5,
		SlowStartWindow: 16, OverloadMultiple: 3, Routes: []Route{{LatencyObjective: 1, PriorityWeight: 1}, {LatencyObjective: 1, PriorityWeight: 3}}}
}

// rows lists n nodes, in turn in the site's two zones.
func rows(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{Node: uint32(i + 1), Zone: i % 2, State: Ready})
	}
	return list
}

// scene starts a conductor with n nodes and a proxy in each zone, all of them content.
func scene(t *testing.T, site Config, n int) *trace {
	tr := &trace{t: t, now: 100, meets: map[uint32]LoadReport{}, calls: [][]int{{10, 10}, {10, 10}}}
	tr.c = New(tr, site, tr.now)
	tr.c.ReplaceEndpoints(tr.now, rows(n))
	for p := range tr.calls {
		tr.c.ProxyJoined(tr.now, p, p, 40)
	}
	for i := range n {
		tr.meets[uint32(i+1)] = LoadReport{Completed: 10, MeanLatency: 0.2}
	}
	return tr
}

// meet sets what every node's sums say.
func (tr *trace) meet(s LoadReport) {
	for node := range tr.meets {
		tr.meets[node] = s
	}
}

// run lets time pass; every period brings the scene's sums and each mark is confirmed.
func (tr *trace) run(seconds float64) {
	next := tr.now + tr.c.config.ReportInterval
	for end := tr.now + seconds; tr.now < end; {
		tr.c.CommandsAccepted(tr.now, tr.order)
		tr.now = tr.wake
		if tr.now >= next {
			next += tr.c.config.ReportInterval
			for node := uint32(1); int(node) <= len(tr.c.endpoints.all); node++ {
				s := tr.meets[node]
				s.Node = node
				if s.Completed > 0 {
					tr.c.AddLoadReport(tr.now, s)
				}
			}
			for p, routes := range tr.calls {
				for r, calls := range routes {
					tr.c.AddDemandReport(tr.now, DemandReport{Proxy: p, Route: RouteID(r), Requests: calls, Interval: tr.c.config.ReportInterval})
				}
			}
		}
		tr.c.Step(tr.now)
		if !tr.mute && tr.order > 0 {
			for p := range tr.c.proxies.all {
				tr.c.Acknowledged(tr.now, p, tr.order)
			}
		}
	}
}

// check compares what was printed with the trace kept under the scene's name.
func (tr *trace) check() {
	tr.t.Helper()
	file := filepath.Join("testdata", strings.ToLower(strings.TrimPrefix(tr.t.Name(), "Test"))+".txt")
	if *update {
		if err := os.WriteFile(file, []byte(tr.String()), 0o644); err != nil {
			tr.t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		tr.t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(tr.String(), "\n")); diff != "" {
		tr.t.Errorf("decisions (-kept +now):\n%s", diff)
	}
}
