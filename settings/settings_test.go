package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"

	"harehook.dev/harehook/planner"
)

const typicalSettings = `{"zones":["north","south"],"machine-types":["small"],"tick-ns":4000000,"peers-total":2,"discovery":"automatic",
"report":{"names":["outstanding","utilization","backlog"],"source":"inline"},
"categories":[{"name":"quote","promise-ns":750000000,"gain":2},{"name":"issue","promise-ns":750000000,"gain":3}],
"extra":{"backlog":1800,"push-rate":1200,"head":4,"proxy-count":8,"reloads-max":30,"level-kind":"fraction","local-first":false,
"home-only":[false,true],"shards":0,"counted-over-ns":10000000000,"interval-ns":500000000},
"rules":{"ramp-time-ns":18000000000,"fall-multiple":4,"ask-within-ns":10000000000}}`

// settingsWith is the usual settings with something else at a path, nil: left out.
func settingsWith(t *testing.T, path []string, value any) []byte {
	t.Helper()
	var whole map[string]any
	if err := json.Unmarshal([]byte(typicalSettings), &whole); err != nil {
		t.Fatal(err)
	}
	setPath(whole, path, value)
	text, err := json.Marshal(whole)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func setPath(in any, path []string, value any) {
	switch in := in.(type) {
	case []any:
		setPath(in[0], path, value)
	case map[string]any:
		switch {
		case len(path) > 1:
			setPath(in[path[0]], path[1:], value)
		case value == nil:
			delete(in, path[0])
		default:
			in[path[0]] = value
		}
	}
}

// keyPaths lists all keys of the usual settings, those of the first route for all.
func keyPaths(in any, before []string) (all [][]string) {
	switch in := in.(type) {
	case []any:
		if _, deeper := in[0].(map[string]any); deeper {
			return keyPaths(in[0], before)
		}
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(in)) {
			path := append(slices.Clone(before), key)
			all = append(append(all, path), keyPaths(in[key], path)...)
		}
	}
	return all
}

// recordingHost notes what a conductor orders.
type recordingHost struct {
	stepAt    float64
	lastNonce int
	bound     int
	weights   map[int]map[uint32]float64
	fault     string
}

func (h *recordingHost) BindProxy(int, int) { h.bound++ }
func (h *recordingHost) SetWeight(table int, node uint32, weight float64) {
	if h.weights[table] == nil {
		h.weights[table] = map[uint32]float64{}
	}
	h.weights[table][node] = weight
	if !(weight >= 0 && weight < math.MaxFloat32) {
		h.fault = fmt.Sprint("weight ", weight)
	}
}
func (h *recordingHost) SetAdmission(_ int, _ planner.RouteID, level float64, _ planner.RetryPolicy) {
	if !(level >= 0 && level <= math.MaxFloat32) {
		h.fault = fmt.Sprint("level ", level)
	}
}
func (h *recordingHost) RequestAck(nonce int) { h.lastNonce = nonce }
func (h *recordingHost) Wake(at float64)      { h.stepAt = at }
func (h *recordingHost) Subscribe()           {}
func (h *recordingHost) Log(string)           {}

// faultOf plays a minute of a small fleet by some settings and tells what went wrong: two nodes, one of which drains
// half-way, two proxies, and sums of a fleet that is full for a while.
func faultOf(d Deployment) string {
	h := &recordingHost{weights: map[int]map[uint32]float64{}}
	c := planner.New(h, d.Planner, 100)
	rows := []planner.Endpoint{{Node: 1, State: planner.Ready}, {Node: 2, Zone: len(d.Zones) - 1, State: planner.Ready, StartTime: 99}}
	c.ReplaceEndpoints(100, rows)
	for p := range 2 {
		c.ProxyJoined(100, p, p%len(d.Zones), 20)
	}
	for now := 100.0; now < 160; now = max(h.stepAt, now+0.1) {
		mean := 0.1
		if now > 110 && now < 130 {
			mean = 5
		}
		for node := range 2 {
			c.AddLoadReport(now, planner.LoadReport{Node: uint32(node + 1), Completed: 20, Interval: 0.5, MeanLatency: mean, Values: make([]float64, len(d.ReportValues))})
			c.AddDemandReport(now, planner.DemandReport{Proxy: node, Route: planner.RouteID(len(d.Routes) - 1), Requests: 20, Interval: 0.5})
		}
		if now > 130 {
			c.UpdateEndpoints(now, []planner.Endpoint{{Node: 2, Zone: len(d.Zones) - 1, State: planner.Draining}})
		}
		c.Step(now)
		if c.CommandsAccepted(now, h.lastNonce); h.lastNonce > 0 {
			for p := range 2 {
				c.Acknowledged(now, p, h.lastNonce)
			}
		}
	}
	if d.Planner.Sharded {
		return h.fault // a store hands its tables out
	}
	for table, lines := range h.weights {
		if lines[2] > 0 {
			return fmt.Sprintf("table %d keeps a node that drains", table)
		}
	}
	if h.bound < 2 || len(h.weights) == 0 {
		return fmt.Sprintf("%d proxies bound, %d tables", h.bound, len(h.weights))
	}
	return h.fault
}

// Each key absent, zero, at its limits and as another type: settings that are taken serve, all others are refused by
// one line that names the key.
func TestEachKeyIsAcceptedAndServesOrIsRefusedByName(t *testing.T) {
	var whole map[string]any
	if err := json.Unmarshal([]byte(typicalSettings), &whole); err != nil {
		t.Fatal(err)
	}
	refused := 0
	for _, path := range keyPaths(whole, nil) {
		for _, value := range []any{nil, 0, -1, 1, 2, 3.5, 1e18, 1e300, "", "7", true, []any{}, map[string]any{}, []any{"a", "a"}, []any{7}} {
			d, err := Decode(settingsWith(t, path, value))
			if err == nil {
				if wrong := faultOf(d); wrong != "" {
					t.Errorf("%v = %v is taken: %s", path, value, wrong)
				}
				continue
			}
			refused++
			if !strings.Contains(err.Error(), path[len(path)-1]) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v = %v: %v", path, value, err)
			}
		}
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
}

// What another customer's settings may hold is taken as it is.
func TestOtherDeploymentsServeOrAreRefused(t *testing.T) {
	routes := func(n int) (list []any) {
		for k := range n {
			list = append(list, map[string]any{"name": fmt.Sprintf("Überfahrt %d", k), "promise-ns": 1e9 * math.Pow(10, float64(k%5-2)), "gain": k % 3})
		}
		return list
	}
	for name, c := range map[string]struct {
		path  string
		value any
		want  string
	}{
		"one route": {"categories", routes(1), ""}, "sixteen": {"categories", routes(16), ""},
		"seventeen":  {"categories", routes(17), "categories: 17"},
		"twice":      {"categories", []any{map[string]any{"name": "a", "promise-ns": 1e9}, map[string]any{"name": "a"}}, "categories[1]"},
		"no name":    {"categories", []any{map[string]any{"promise-ns": 1e9}}, "categories[0]"},
		"two alike":  {"machine-types", []any{"a", "a", ""}, ""},
		"a comma":    {"categories", []any{map[string]any{"name": "a,b", "promise-ns": 1e9}}, "categories[0]"},
		"a star":     {"categories", []any{map[string]any{"name": "*", "promise-ns": 1e9}}, "categories[0]"},
		"many zones": {"zones", []any{"Ñuñoa", "z 1", "7", "A", "b", "c", "d"}, ""},
		"one zone":   {"zones", []any{"*"}, ""},
		"fractions":  {"extra", map[string]any{"backlog": 900.5, "reloads-max": 30.0, "counted-over-ns": 1.0e10, "proxy-count": 8.0}, ""},
		"no limits":  {"extra", map[string]any{}, ""},
		"least":      {"extra", map[string]any{"backlog": 18, "head": 4, "push-rate": 1200}, ""},
		"too few":    {"extra", map[string]any{"backlog": 17, "head": 4, "push-rate": 1200}, "extra.backlog"},
		"few lines":  {"extra", map[string]any{"backlog": 60, "push-rate": 10, "reloads-max": 2, "counted-over-ns": 1e10}, ""},
	} {
		d, err := Decode(settingsWith(t, []string{c.path}, c.value))
		switch {
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)):
			t.Errorf("%s: %v", name, err)
		case c.want == "" && err != nil:
			t.Errorf("%s: %v", name, err)
		case c.want == "":
			if wrong := faultOf(d); wrong != "" {
				t.Errorf("%s: %s", name, wrong)
			}
		}
	}
}
