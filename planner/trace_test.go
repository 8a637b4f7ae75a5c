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

// trace is a Host that prints a planner's commands in the format of the traces under testdata. It also contains the
// clock of a test and the reports of its endpoints and proxies.
type trace struct {
	strings.Builder
	t            *testing.T
	planner      *Planner
	now          float64
	wakeAt       float64
	withholdAcks bool                  // whether proxies send no acknowledgements
	nonce        int                   // last nonce that the planner requested
	reports      map[uint32]LoadReport // by node, for each report interval
	requests     [][]int               // by proxy and route, for each report interval
}

// logf prints a line with the current time.
func (tr *trace) logf(format string, args ...any) {
	fmt.Fprintf(tr, "%6.1f  "+format+"\n", append([]any{tr.now}, args...)...)
}

func (tr *trace) BindProxy(proxy, table int) { tr.logf("bind proxy %d to table %d", proxy, table) }

func (tr *trace) SetWeight(table int, node uint32, weight float64) {
	tr.logf("table %d node %d weight %.2f", table, node, weight)
}

func (tr *trace) SetAdmission(table int, route RouteID, level float64, retry RetryPolicy) {
	tr.logf("table %d level routes %b %.2f tries %d", table, 1<<route, level, retry)
}

func (tr *trace) RequestAck(nonce int) { tr.nonce = nonce }
func (tr *trace) Wake(at float64)      { tr.wakeAt = at }
func (tr *trace) Subscribe()           { tr.logf("subscribe") }

// EndpointHealthChanged prints the health in the simulator's wire names, which the traces contain.
func (tr *trace) EndpointHealthChanged(node uint32, health Health) {
	tr.logf("log node %d %s", node, [...]string{Healthy: "well", Ejected: "out", Probation: "on trial"}[health])
}

func (tr *trace) ThrottlingChanged(active bool) { tr.logf("log throttling: %t", active) }

// testConfig returns the Config of a small deployment with two zones and two routes.
func testConfig() Config {
	return Config{
		Seed:               1,
		Zones:              2,
		MachineTypes:       1,
		Controllers:        1,
		Proxies:            2,
		SubscribeTimeout:   10,
		UtilizationIndex:   -1,
		QueueLengthIndex:   -1,
		Admission:          AdmissionFraction,
		EntriesPerSecond:   1000,
		MaxInFlightEntries: 2000,
		MessageOverhead:    5,
		MessageWindow:      10,
		ReportInterval:     0.5,
		SlowStartWindow:    16,
		OverloadMultiple:   3,
		Routes: []Route{
			{LatencyObjective: 1, PriorityWeight: 1},
			{LatencyObjective: 1, PriorityWeight: 3},
		},
	}
}

// endpointList returns endpoints 1 to n, which alternate between the two zones of testConfig.
func endpointList(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{Node: uint32(i + 1), Zone: i % 2, State: Ready})
	}
	return list
}

// newTrace returns a trace of a planner with n endpoints and one proxy in each zone. All endpoints answer quickly.
func newTrace(t *testing.T, config Config, n int) *trace {
	t.Helper()
	tr := &trace{t: t, now: 100, reports: map[uint32]LoadReport{}, requests: [][]int{{10, 10}, {10, 10}}}
	tr.planner = New(tr, config, tr.now)
	tr.planner.ReplaceEndpoints(tr.now, endpointList(n))
	for proxy := range tr.requests {
		tr.planner.ProxyJoined(tr.now, proxy, proxy, 40)
	}
	for i := range n {
		tr.reports[uint32(i+1)] = LoadReport{Completed: 10, MeanLatency: 0.2}
	}
	return tr
}

// setReports sets the same report for all endpoints.
func (tr *trace) setReports(report LoadReport) {
	for node := range tr.reports {
		tr.reports[node] = report
	}
}

// run advances the clock by seconds. It calls Step whenever the planner asked for it, adds reports at their interval,
// and acknowledges nonces.
func (tr *trace) run(seconds float64) {
	nextReport := tr.now + tr.planner.config.ReportInterval
	for end := tr.now + seconds; tr.now < end; {
		tr.planner.CommandsAccepted(tr.now, tr.nonce)
		tr.now = tr.wakeAt
		if tr.now >= nextReport {
			nextReport += tr.planner.config.ReportInterval
			tr.report()
		}
		tr.planner.Step(tr.now)
		if !tr.withholdAcks && tr.nonce > 0 {
			for proxy := range tr.planner.proxies.all {
				tr.planner.Acknowledged(tr.now, proxy, tr.nonce)
			}
		}
	}
}

// report adds the load and demand reports of one interval.
func (tr *trace) report() {
	for node := uint32(1); int(node) <= len(tr.planner.endpoints.all); node++ {
		report := tr.reports[node]
		report.Node = node
		if report.Completed > 0 {
			tr.planner.AddLoadReport(tr.now, report)
		}
	}
	interval := tr.planner.config.ReportInterval
	for proxy, routes := range tr.requests {
		for route, requests := range routes {
			tr.planner.AddDemandReport(tr.now, DemandReport{
				Proxy:    proxy,
				Route:    RouteID(route),
				Requests: requests,
				Interval: interval,
			})
		}
	}
}

// check compares the printed trace with the test's trace under testdata.
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
		tr.t.Errorf("trace differs from %s (-want +got):\n%s", file, diff)
	}
}

// snakeCase converts a name from camel case to snake case.
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
