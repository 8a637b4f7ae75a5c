package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
)

const typicalSettings = `{"zones":["north","south"],"machine-types":["small"],"tick-ns":4000000,"peers-total":2,"discovery":"automatic",
"report":{"names":["outstanding","utilization","backlog"],"source":"inline"},
"categories":[{"name":"quote","promise-ns":750000000,"gain":2},{"name":"issue","promise-ns":750000000,"gain":3}],
"extra":{"backlog":1800,"push-rate":1200,"head":4,"proxy-count":8,"reloads-max":30,"level-kind":"fraction","local-first":false,
"home-only":[false,true],"shards":0,"counted-over-ns":10000000000,"interval-ns":500000000},
"rules":{"ramp-time-ns":18000000000,"fall-multiple":4,"ask-within-ns":10000000000,
"drain-grace-ns":2500000000}}`

// settingsWith returns the typical settings with the value at path replaced, or with its key removed if value is nil.
func settingsWith(t *testing.T, path []string, value any) []byte {
	t.Helper()
	document := decodeTypical(t)
	setPath(document, path, value)
	text, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func decodeTypical(t *testing.T) map[string]any {
	t.Helper()
	var document map[string]any
	if err := json.Unmarshal([]byte(typicalSettings), &document); err != nil {
		t.Fatal(err)
	}
	return document
}

// setPath sets the value at a path. In each list along the path it descends into the first element.
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

// keyPaths returns the paths of all keys in a document. Of each list it visits only the first element.
func keyPaths(in any, prefix []string) (paths [][]string) {
	switch in := in.(type) {
	case []any:
		if _, isObject := in[0].(map[string]any); isObject {
			return keyPaths(in[0], prefix)
		}
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(in)) {
			path := append(slices.Clone(prefix), key)
			paths = append(paths, path)
			paths = append(paths, keyPaths(in[key], path)...)
		}
	}
	return paths
}

// Without the grace period for drains, the planner would send all removals before the binds of proxies that joined. It
// must be passed to the planner in seconds.
func TestDrainGraceIsPassedToPlanner(t *testing.T) {
	deployment, err := Decode([]byte(typicalSettings))
	if err != nil || deployment.Planner.DrainGrace != 2.5 {
		t.Errorf("got drain grace %v s, error %v, want 2.5 s", deployment.Planner.DrainGrace, err)
	}
}

// Each key is tested absent, zero, at its limits and with values of other types. A planner must run without a fault
// with settings that are accepted; all others must be rejected with a one-line error that names the key.
func TestEachKeyIsAcceptedOrRejectedByName(t *testing.T) {
	values := []any{nil, 0, -1, 1, 2, 3.5, 1e18, 1e300, "", "7", true, []any{}, map[string]any{}, []any{"a", "a"}, []any{7}}
	rejected := 0
	for _, path := range keyPaths(decodeTypical(t), nil) {
		t.Run(strings.Join(path, "."), func(t *testing.T) {
			for _, value := range values {
				deployment, err := Decode(settingsWith(t, path, value))
				if err == nil {
					if fault := runPlanner(deployment); fault != "" {
						t.Errorf("value %v is accepted, but the planner fails: %s", value, fault)
					}
					continue
				}
				rejected++
				if !strings.Contains(err.Error(), path[len(path)-1]) || strings.Contains(err.Error(), "\n") {
					t.Errorf("value %v: got error %v, want one line that names the key", value, err)
				}
			}
		})
	}
	if rejected == 0 {
		t.Error("got no rejected value, want at least 1")
	}
}

// Settings that other deployments may have must be accepted, and a planner must run with them without a fault.
func TestOtherDeploymentsAreAcceptedOrRejected(t *testing.T) {
	routes := func(n int) (list []any) {
		for k := range n {
			list = append(list, map[string]any{
				"name":       fmt.Sprintf("Überfahrt %d", k),
				"promise-ns": 1e9 * math.Pow(10, float64(k%5-2)),
				"gain":       k % 3,
			})
		}
		return list
	}
	route := func(name string) map[string]any { return map[string]any{"name": name, "promise-ns": 1e9} }
	cases := []struct {
		name      string
		path      string
		value     any
		wantError string // part of the error text; "" if the settings are accepted
	}{
		{"one route", "categories", routes(1), ""},
		{"sixteen routes", "categories", routes(16), ""},
		{"seventeen routes", "categories", routes(17), "categories: must have at most 16 elements, got 17"},
		{"duplicate route", "categories", []any{route("a"), map[string]any{"name": "a"}}, "categories[1]"},
		{"route without a name", "categories", []any{map[string]any{"promise-ns": 1e9}}, "categories[0]"},
		{"identical machine types", "machine-types", []any{"a", "a", ""}, ""},
		{"comma in a route name", "categories", []any{route("a,b")}, "categories[0]"},
		{"route named *", "categories", []any{route("*")}, "categories[0]"},
		{"many zones", "zones", []any{"Ñuñoa", "z 1", "7", "A", "b", "c", "d"}, ""},
		{"zone named *", "zones", []any{"*"}, ""},
		{"numbers with fractions", "extra", map[string]any{"backlog": 900.5, "reloads-max": 30.0, "counted-over-ns": 1.0e10, "proxy-count": 8.0}, ""},
		{"no limits", "extra", map[string]any{}, ""},
		{"smallest channel", "extra", map[string]any{"backlog": 18, "head": 4, "push-rate": 1200}, ""},
		{"channel too small", "extra", map[string]any{"backlog": 17, "head": 4, "push-rate": 1200}, "extra.backlog"},
		{"slow channel, few messages", "extra", map[string]any{"backlog": 60, "push-rate": 10, "reloads-max": 2, "counted-over-ns": 1e10}, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			deployment, err := Decode(settingsWith(t, []string{test.path}, test.value))
			if test.wantError != "" {
				if err == nil || !strings.Contains(err.Error(), test.wantError) {
					t.Errorf("got error %v, want %s", err, test.wantError)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if fault := runPlanner(deployment); fault != "" {
				t.Error(fault)
			}
		})
	}
}
