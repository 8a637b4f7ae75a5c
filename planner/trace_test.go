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
	c     *Conductor
	now   float64
	wake  float64
	mute  bool // print marks and wakes no more
	order int
	meets map[uint32]Sums // what each node's sums say every period
	calls [][]int         // calls of each proxy by route, every period
}

func (tr *trace) say(format string, args ...any) {
	fmt.Fprintf(tr, "%6.1f  "+format+"\n", append([]any{tr.now}, args...)...)
}

func (tr *trace) Bind(proxy, table int) { tr.say("bind proxy %d to table %d", proxy, table) }
func (tr *trace) SetLine(table int, node uint32, weight float64) {
	tr.say("table %d node %d weight %.2f", table, node, weight)
}
func (tr *trace) SetLevel(table int, route RouteID, level float64, tries Tries) {
	tr.say("table %d level routes %b %.2f tries %d", table, 1<<route, level, tries)
}
func (tr *trace) RequestAck(nonce int) { tr.order = nonce }
func (tr *trace) Wake(at float64)      { tr.wake = at }
func (tr *trace) Subscribe()           { tr.say("subscribe") }
func (tr *trace) Log(line string)      { tr.say("log %s", line) }

// testSite is a small deployment with two zones and two routes.
func testSite() Site {
	return Site{Seed: 1, Zones: 2, Kinds: 1, Conductors: 1, Proxies: 2, AskWithin: 10, Utilization: -1,
		Backlog: -1, Levels: LevelFraction, Pace: 1000, Queue: 2000, Head: 5, MessageSpan: 10, Period: 0.5,
		Ramp: 16, FallTimes: 3, Routes: []Route{{SLOTime: 1, Importance: 1}, {SLOTime: 1, Importance: 3}}}
}

// rows lists n nodes, in turn in the site's two zones.
func rows(n int) (list []Row) {
	for i := range n {
		list = append(list, Row{Node: uint32(i + 1), Zone: i % 2, Condition: Ready})
	}
	return list
}

// scene starts a conductor with n nodes and a proxy in each zone, all of them content.
func scene(t *testing.T, site Site, n int) *trace {
	tr := &trace{t: t, now: 100, meets: map[uint32]Sums{}, calls: [][]int{{10, 10}, {10, 10}}}
	tr.c = New(tr, site, tr.now)
	tr.c.ListWhole(tr.now, rows(n))
	for p := range tr.calls {
		tr.c.ProxyJoined(tr.now, p, p, 40)
	}
	for i := range n {
		tr.meets[uint32(i+1)] = Sums{Ended: 10, Mean: 0.2}
	}
	return tr
}

// meet sets what every node's sums say.
func (tr *trace) meet(s Sums) {
	for node := range tr.meets {
		tr.meets[node] = s
	}
}

// run lets time pass; every period brings the scene's sums and each mark is confirmed.
func (tr *trace) run(seconds float64) {
	next := tr.now + tr.c.site.Period
	for end := tr.now + seconds; tr.now < end; {
		tr.c.OrdersTaken(tr.now, tr.order)
		tr.now = tr.wake
		if tr.now >= next {
			next += tr.c.site.Period
			for node := uint32(1); int(node) <= len(tr.c.node); node++ {
				s := tr.meets[node]
				s.Node = node
				if s.Ended > 0 {
					tr.c.NodeSums(tr.now, s)
				}
			}
			for p, routes := range tr.calls {
				for r, calls := range routes {
					tr.c.RouteUsage(tr.now, Usage{Proxy: p, Route: RouteID(r), Calls: calls, Span: tr.c.site.Period})
				}
			}
		}
		tr.c.Tick(tr.now)
		if !tr.mute && tr.order > 0 {
			for p := range tr.c.joined {
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
