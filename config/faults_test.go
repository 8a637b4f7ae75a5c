package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"harehook.dev/harehook/xds"
)

// Each invalid configuration of a controller must be rejected with a fault that states its line.
func TestInvalidControllerConfigurationsStateLines(t *testing.T) {
	conductor := func(lines ...string) string { return "conductor \"c\" {\n" + strings.Join(lines, "\n") + "\n}\n" }
	valid := []string{`listen "127.0.0.1:1"`, `nodes "n"`, `zone "north"`, `route "a" { prefix "/a"; limit-ms 1000; slo-ms 900; }`}
	with := func(line string) string { return conductor(append(append([]string(nil), valid...), line)...) }
	for text, want := range map[string]string{
		conductor(valid...):          "",
		"":                           `line 1: node "conductor" is missing`,
		"sidecar \"x\" {\n}":         `line 1: node "conductor" is missing`,
		conductor(valid[:3]...):      `line 1: "conductor" requires "route"`,
		with(`speed 9`):              `line 6: unknown key "speed" in "conductor"`,
		with(`listen "127.0.0.1:2"`): `line 6: duplicate key "listen", first in line 2`,
		with(`sidecars 0`):           `line 6: value in "sidecars" must be a number from 1 to 65000, got 0`,
		with(`sidecars "many"`):      `line 6: value in "sidecars" must be a number from 1 to 65000, got many`,
		with(`route "a" { prefix "/b"; limit-ms 1000; }`):                               `line 6: duplicate route "a"`,
		with(`route "b" { prefix "/ab"; limit-ms 1000; }`):                              `line 6: route "b" is unreachable: route "a" before it matches all of "/ab"`,
		with(`route "b" { prefix "b"; limit-ms 1000; }`):                                `line 6: prefix of route "b" must begin with "/", got "b"`,
		with(`route "b" { prefix "/b"; }`):                                              `line 6: route "b" has no time limit`,
		with(`channel speed=1`):                                                         `line 6: "channel" has no property "speed"`,
		with(`keys certificate="c" key="k"`):                                            `line 6: "keys" requires "roots"`,
		with("group {\n id 1\n}"):                                                       `line 6: "group" requires "data"`,
		with(`group { id 4; listen "127.0.0.1:3"; data "d"; member 1 "127.0.0.1:3"; }`): `line 6: member 4 must be in the list of members`,
		with(`group { id 1; listen "127.0.0.1:3"; data "d"; member 1 "127.0.0.1:3"; member 1 "127.0.0.1:4"; }`): `line 6: duplicate member 1`,
		with(`nodes-from "127.0.0.1:9" cluster="x"`):                                                            `requires "exactly one of nodes and nodes-from"`,
		with(`nodes-from "127.0.0.1:9"`):                                                                        `line 6: "nodes-from" requires "cluster"`,
		with(`zone "`):                                                                                          "line 6",
	} {
		path := filepath.Join(t.TempDir(), "c.kdl")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadController(path)
		checkFault(t, text, err, want)
	}
}

// Each invalid agreed configuration must be rejected with a fault that states its line.
func TestInvalidAgreedConfigurationsStateLines(t *testing.T) {
	for text, want := range map[string]string{
		`agreed { route "a" { prefix "/a"; limit-ms 9; mutating; most 0.5; }; override "n" state="draining"; }`: "",
		`agreed { }`: "line 1: at least one route is required",
		"agreed {\n route \"a\" { prefix \"/a\"; limit-ms 9; most 2; }\n}":                                     `line 2: value in "most" must be a number from 0.0001 to 1, got 2`,
		"agreed {\n route \"a\" { prefix \"/a\"; limit-ms 9; retry \"5xx\"; }\n}":                              `line 2: unknown key "retry" in "route"`,
		"agreed {\n route \"a\" { prefix \"/a\"; limit-ms 9; }\n override \"n\" state=\"fast\"\n}":             `line 3: state of an override must be "draining" or "gone", got fast`,
		"agreed {\n route \"a\" { prefix \"/\"; limit-ms 9; }\n route \"b\" { prefix \"/b\"; limit-ms 9; }\n}": `line 3: route "b" is unreachable`,
	} {
		checkFault(t, text, ValidateAgreed(text), want)
	}
}

// A configuration can have at most as many routes as a sidecar accepts. With more, the configuration must be rejected
// with a single fault, at the first excess route. The same holds for an agreed configuration.
func TestTooManyRoutesCauseSingleFault(t *testing.T) {
	routes := func(count int, settings string) (lines string) {
		for r := range count {
			lines += fmt.Sprintf("route \"r-%04d\" { prefix \"/%04d\"; limit-ms 1000; %s}\n", r, r, settings)
		}
		return lines
	}
	for count, want := range map[int]string{
		xds.MaxRoutes:       "",
		xds.MaxRoutes + 1:   "line 1029: route \"r-1024\" exceeds the limit: a sidecar accepts at most 1024 routes",
		2*xds.MaxRoutes + 1: "line 1029: route \"r-1024\" exceeds the limit",
	} {
		path := filepath.Join(t.TempDir(), "c.kdl")
		text := "conductor \"c\" {\nlisten \"127.0.0.1:1\"\nnodes \"n\"\nzone \"north\"\n" + routes(count, "slo-ms 900;") + "}\n"
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadController(path)
		checkFault(t, fmt.Sprintf("%d routes", count), err, want)
		if err != nil && strings.Count(err.Error(), "exceeds the limit") != 1 {
			t.Errorf("%d routes: got error %v, want a single fault", count, err)
		}
	}
	checkFault(t, "agreed, maximum number of routes", ValidateAgreed("agreed {\n"+routes(xds.MaxRoutes, "")+"}\n"), "")
	checkFault(t, "agreed, one route more", ValidateAgreed("agreed {\n"+routes(xds.MaxRoutes+1, "")+"}\n"),
		"line 1026: route \"r-1024\" exceeds the limit: a sidecar accepts at most 1024 routes")
}

// checkFault checks that err contains the wanted text, or is nil if want is empty.
func checkFault(t *testing.T, input string, err error, want string) {
	t.Helper()
	if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
		t.Errorf("%s: got error %v, want %q", input, err, want)
	}
}

// Faults of a list of nodes must state the line and the reason.
func TestNodeListFaults(t *testing.T) {
	folder := t.TempDir()
	c := &Controller{NodesFile: filepath.Join(folder, "nodes.kdl"), Zones: map[string]bool{"north": true}, MachineTypes: map[string]bool{"small": true}}
	c.Deployment.MachineTypes = []string{"small"}
	for text, want := range map[string]string{
		`node "a" zone="north" address="127.0.0.1:1" weight=2 state="draining"`:                "",
		"node \"a\" zone=\"south\" address=\"127.0.0.1:1\"":                                    `line 1: unknown zone "south" of node "a"`,
		"node \"a\" zone=\"north\"":                                                            `line 1: node "a" has no address`,
		"node \"a\" zone=\"north\" address=\"x\"":                                              "value in \"node\" must be an address of the form host:port with a port of at most 65535, got \"x\"",
		"node \"a\" zone=\"north\" address=\"h:1\"\nnode \"a\" zone=\"north\" address=\"h:2\"": `line 2: duplicate node "a", first in line 1`,
		"node \"a\" zone=\"north\" address=\"h:1\"\nnode \"b\" zone=\"north\" address=\"h:1\"": "line 2: duplicate address h:1, first in line 1",
		"node \"a\" zone=\"north\" address=\"h:1\" state=\"odd\"":                              `state of node "a" must be "ready" or "draining", got odd`,
		"machine \"a\"": `line 1: unexpected node "machine", want "node"`,
	} {
		if err := os.WriteFile(c.NodesFile, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := c.ReadNodes()
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%s: got error %v, want %q", text, err, want)
		}
	}
}
