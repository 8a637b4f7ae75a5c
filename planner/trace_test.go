package planner

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the traces to testdata")

// trace is a Host that prints what a conductor decides, and the clock and figures of one scene.
type trace struct {
	strings.Builder
	t            *testing.T
	planner      *Planner
	now          float64
	wakeAt       float64
	withholdAcks bool // print marks and wakes no more
	nonce        int
	reports      map[uint32]LoadReport // what each node's sums say every period
	requests     [][]int               // calls of each proxy by route, every period
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
func (tr *trace) RequestAck(nonce int) { tr.nonce = nonce }
func (tr *trace) Wake(at float64)      { tr.wakeAt = at }
func (tr *trace) Subscribe()           { tr.say("subscribe") }
func (tr *trace) Log(line string)      { tr.say("log %s", line) }

// testConfig is a small deployment with two zones and two routes.
func testConfig() Config {
	return Config{Seed: 1, Zones: 2, MachineTypes: 1, Controllers: 1, Proxies: 2, SubscribeTimeout: 10, UtilizationIndex: -1,
		QueueLengthIndex: -1, Admission: AdmissionFraction, EntriesPerSecond: 1000, MaxInFlightEntries: 2000, MessageOverhead: 5, MessageWindow: 10, ReportInterval: 0.5,
		SlowStartWindow: 16, OverloadMultiple: 3, Routes: []Route{{LatencyObjective: 1, PriorityWeight: 1}, {LatencyObjective: 1, PriorityWeight: 3}}}
}

// endpointList lists n nodes, in turn in the site's two zones.
func endpointList(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{Node: uint32(i + 1), Zone: i % 2, State: Ready})
	}
	return list
}

// newScene starts a conductor with n nodes and a proxy in each zone, all of them content.
func newScene(t *testing.T, config Config, n int) *trace {
	tr := &trace{t: t, now: 100, reports: map[uint32]LoadReport{}, requests: [][]int{{10, 10}, {10, 10}}}
	tr.planner = New(tr, config, tr.now)
	tr.planner.ReplaceEndpoints(tr.now, endpointList(n))
	for p := range tr.requests {
		tr.planner.ProxyJoined(tr.now, p, p, 40)
	}
	for i := range n {
		tr.reports[uint32(i+1)] = LoadReport{Completed: 10, MeanLatency: 0.2}
	}
	return tr
}

// reportAll sets what every node's sums say.
func (tr *trace) reportAll(s LoadReport) {
	for node := range tr.reports {
		tr.reports[node] = s
	}
}

// run lets time pass; every period brings the scene's sums and each mark is confirmed.
func (tr *trace) run(seconds float64) {
	next := tr.now + tr.planner.config.ReportInterval
	for end := tr.now + seconds; tr.now < end; {
		tr.planner.CommandsAccepted(tr.now, tr.nonce)
		tr.now = tr.wakeAt
		if tr.now >= next {
			next += tr.planner.config.ReportInterval
			for node := uint32(1); int(node) <= len(tr.planner.endpoints.all); node++ {
				s := tr.reports[node]
				s.Node = node
				if s.Completed > 0 {
					tr.planner.AddLoadReport(tr.now, s)
				}
			}
			for p, routes := range tr.requests {
				for r, calls := range routes {
					tr.planner.AddDemandReport(tr.now, DemandReport{Proxy: p, Route: RouteID(r), Requests: calls, Interval: tr.planner.config.ReportInterval})
				}
			}
		}
		tr.planner.Step(tr.now)
		if !tr.withholdAcks && tr.nonce > 0 {
			for p := range tr.planner.proxies.all {
				tr.planner.Acknowledged(tr.now, p, tr.nonce)
			}
		}
	}
}

// check compares what was printed with the trace kept under the scene's name.
func (tr *trace) check() {
	tr.t.Helper()
	file := filepath.Join("testdata", snakeCase(strings.TrimPrefix(tr.t.Name(), "Test"))+".txt")
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

// snakeCase turns a name in camel case into one with underscores.
func snakeCase(name string) string {
	var b strings.Builder
	for k, letter := range name {
		if unicode.IsUpper(letter) && k > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(letter))
	}
	return b.String()
}
