package config

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/records"
	"harehook.dev/harehook/xds"
)

// readControllerWithLines reads the configuration of a controller that has the given lines after five common lines.
func readControllerWithLines(t *testing.T, lines string) (*Controller, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "c.kdl")
	text := "conductor \"c\" {\nlisten \"127.0.0.1:1\"; nodes \"n\"\nzone \"north\"; zone \"south\"\nroute \"a\" { prefix \"/a\"; limit-ms 1000; }\n" +
		"route \"b\" { prefix \"/b\"; limit-ms 1000; mutating; }\n" + lines + "\n}\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return ReadController(path)
}

// The settings of a follower must be read, with defaults for those that are not stated, and faults must state their
// lines.
func TestReadFollowerSettings(t *testing.T) {
	c, err := readControllerWithLines(t, `follow { member "127.0.0.1:2"; member "127.0.0.1:3"; service "quotes"; service "issues"; zone "north"; lease-ms 1500; }`)
	if err != nil {
		t.Fatal(err)
	}
	f := c.Follower
	if !slices.Equal(f.Members, []string{"127.0.0.1:2", "127.0.0.1:3"}) || !slices.Equal(f.Scope.Services, []string{"quotes", "issues"}) ||
		!slices.Equal(f.Scope.Zones, []string{"north"}) || f.Scope.All || f.Lease != 1500*time.Millisecond {
		t.Errorf("got %+v, want the settings of the file", f)
	}
	if c, err = readControllerWithLines(t, `follow { member "127.0.0.1:2"; }`); err != nil || c.Follower.Lease != 3*time.Second ||
		!slices.Equal(c.Follower.Scope.Zones, []string{"north", "south"}) {
		t.Errorf("without settings: got %+v and error %v, want a lease of 3s and the zones of the controller", c.Follower, err)
	}
	if c, err = readControllerWithLines(t, `follow { member "127.0.0.1:2"; everything; }`); err != nil || !c.Follower.Scope.All || len(c.Follower.Scope.Zones) > 0 {
		t.Errorf("with everything: got %+v and error %v, want the full scope without zones", c.Follower, err)
	}
	for lines, want := range map[string]string{
		`follow { service "quotes"; }`:                                   `line 6: "follow" requires "member"`,
		`follow { member "127.0.0.1"; }`:                                 `line 6: value in "member" must be an address of the form host:port`,
		`follow { member; }`:                                             `line 6: number of arguments of "member" must be 1`,
		"follow {\nmember \"127.0.0.1:2\"\nmember \"127.0.0.1:2\"\n}":    `line 8: duplicate member "127.0.0.1:2"`,
		"follow {\nmember \"127.0.0.1:2\"\nspeed 9\n}":                   `line 8: unknown key "speed" in "follow"`,
		"follow {\nmember \"127.0.0.1:2\"\nlease-ms 3001\n}":             `line 8: value in "lease-ms" must be a number from 300 to 3000, got 3001`,
		`follow { member "127.0.0.1:2"; everything; zone "north"; }`:     `line 6: "follow" must have either "everything" or services and zones`,
		"follow { member \"127.0.0.1:2\"; }\nfollow { member \"x:2\"; }": `line 7: duplicate key "follow"`,
		"group { id 1; listen \"127.0.0.1:3\"; data \"d\"; member 1 \"127.0.0.1:3\"; }\nfollow { member \"127.0.0.1:2\"; }": `line 7: a controller must be either a member of a group`,
	} {
		if _, err := readControllerWithLines(t, lines); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want %q", lines, err, want)
		}
	}
}

// revisions holds the revisions of records by name. Other records have revision 0.
var revisions = map[string]uint64{"a": 3, "a-one": 9, "tenant": 50, "n-1": 60}

// newRecords returns a record for each spec, by key.
func newRecords(t *testing.T, specs map[records.Key]any) map[records.Key]*records.Record {
	t.Helper()
	recordsByKey := map[records.Key]*records.Record{}
	for key, spec := range specs {
		record, err := records.New(key, spec)
		if err != nil {
			t.Fatal(err)
		}
		record.Revision = revisions[key.Name]
		recordsByKey[key] = record
	}
	return recordsByKey
}

func routeKey(name string) records.Key    { return records.Key{Kind: records.KindRoute, Name: name} }
func overrideKey(name string) records.Key { return records.Key{Kind: records.KindOverride, Name: name} }

// Records must be converted into routes and overrides, and an unreachable route must be rejected.
func TestAgreedFromFollower(t *testing.T) {
	agreed, err := AgreedFromFollower(newRecords(t, map[records.Key]any{
		routeKey("all"):   records.RouteSpec{Prefix: "/", TimeLimitMS: 100},
		routeKey("a"):     records.RouteSpec{Prefix: "/a", TimeLimitMS: 1500, MaxAdmitted: 0.5},
		routeKey("a-one"): records.RouteSpec{Prefix: "/a/one", TimeLimitMS: 100, Mutating: true},
		routeKey("b"):     records.RouteSpec{Prefix: "/b", TimeLimitMS: 100},
		{Kind: records.KindTenant, Name: "tenant"}: records.TenantSpec{Service: "s", Share: 0.1},
		overrideKey("n-1"):                         records.OverrideSpec{State: records.StateDraining},
		overrideKey("n-2"):                         records.OverrideSpec{State: records.StateGone},
	}))
	if err != nil {
		t.Fatal(err)
	}
	want := []xds.Route{{Name: "a-one", Prefix: "/a/one", Mutating: true, TimeLimit: 100 * time.Millisecond},
		{Name: "a", Prefix: "/a", TimeLimit: 1500 * time.Millisecond, MaxAdmitted: 0.5}, {Name: "b", Prefix: "/b", TimeLimit: 100 * time.Millisecond},
		{Name: "all", Prefix: "/", TimeLimit: 100 * time.Millisecond}}
	if !slices.Equal(agreed.Routes, want) {
		t.Errorf("got routes %+v, want %+v", agreed.Routes, want)
	}
	if len(agreed.Overrides) != 2 || agreed.Overrides["n-1"] != planner.Draining || agreed.Overrides["n-2"] != planner.Removed {
		t.Errorf("got overrides %v, want n-1 draining and n-2 removed", agreed.Overrides)
	}
	_, err = AgreedFromFollower(newRecords(t, map[records.Key]any{
		routeKey("a"): records.RouteSpec{Prefix: "/a", TimeLimitMS: 100},
		routeKey("b"): records.RouteSpec{Prefix: "/a", TimeLimitMS: 100},
	}))
	if want := `route "b" is unreachable: route "a" has the same prefix "/a"`; err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("two routes with the same prefix: got error %v, want %q", err, want)
	}
}

// A follower must reject agreed records that contradict its configuration or leave no ready node.
func TestValidateUpdate(t *testing.T) {
	c, err := readControllerWithLines(t, `follow { member "127.0.0.1:2"; }`)
	if err != nil {
		t.Fatal(err)
	}
	nodes := []Node{{Endpoint: controller.Endpoint{Node: "n-1", State: planner.Ready}}, {Endpoint: controller.Endpoint{Node: "n-2", State: planner.Draining}}}
	a, b := records.RouteSpec{Prefix: "/a", TimeLimitMS: 100}, records.RouteSpec{Prefix: "/b", TimeLimitMS: 100, Mutating: true}
	unprotected := records.RouteSpec{Prefix: "/b", TimeLimitMS: 100}
	gone := records.OverrideSpec{State: records.StateGone}
	configured := map[records.Key]any{routeKey("a"): a, routeKey("b"): b}
	with := func(key records.Key, spec any) map[records.Key]any {
		return map[records.Key]any{routeKey("a"): a, routeKey("b"): b, key: spec}
	}
	for name, test := range map[string]struct {
		specs, previous map[records.Key]any
		nodes           []Node
		want            string
	}{
		"as configured":             {specs: configured, nodes: nodes},
		"no routes agreed on yet":   {nodes: nodes},
		"all routes removed":        {previous: configured, nodes: nodes, want: `route "a" is missing: its calls would match no route; route "b" is missing`},
		"route missing":             {specs: map[records.Key]any{routeKey("a"): a}, nodes: nodes, want: `route "b" is missing`},
		"unknown route":             {specs: with(routeKey("c"), records.RouteSpec{Prefix: "/c", TimeLimitMS: 100}), nodes: nodes, want: `route "c" is not configured at conductor "c"`},
		"route no longer mutating":  {specs: with(routeKey("b"), unprotected), nodes: nodes, want: `route "b" is configured as mutating`},
		"no ready node":             {specs: with(overrideKey("n-1"), gone), nodes: nodes, want: "no ready node would remain"},
		"list not received yet":     {specs: with(overrideKey("n-1"), gone)},
		"override of unlisted node": {specs: with(overrideKey("n-9"), gone), nodes: nodes},
		"override of draining node": {specs: with(overrideKey("n-2"), gone), nodes: nodes},
	} {
		t.Run(name, func(t *testing.T) {
			agreed, err := AgreedFromFollower(newRecords(t, test.specs))
			if err != nil {
				t.Fatal(err)
			}
			previous, err := AgreedFromFollower(newRecords(t, test.previous))
			if err != nil {
				t.Fatal(err)
			}
			err = c.ValidateUpdate(agreed, previous, test.nodes)
			checkFault(t, name, err, test.want)
			var unusable *UnusableError
			if err != nil && !errors.As(err, &unusable) {
				t.Errorf("%s: got error of type %T, want *UnusableError", name, err)
			}
		})
	}
}

// The cost of a follower's configuration must depend only on its routes and overrides: ten times the tenants must not
// cause more allocations.
func TestAgreedFromFollowerSkipsTenants(t *testing.T) {
	allocations := func(tenants int) float64 {
		specs := map[records.Key]any{routeKey("a"): records.RouteSpec{Prefix: "/a", TimeLimitMS: 100}}
		for index := range tenants {
			specs[records.Key{Kind: records.KindTenant, Name: strconv.Itoa(index)}] = records.TenantSpec{Service: "s", Share: 0.1}
		}
		all := newRecords(t, specs)
		return testing.AllocsPerRun(10, func() { AgreedFromFollower(all) })
	}
	if few, many := allocations(100), allocations(1000); many > few {
		t.Errorf("got %v allocations with 1,000 tenants, want at most %v, the number with 100", many, few)
	}
}
