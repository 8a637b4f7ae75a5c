package loadtest

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func TestExampleExperimentsCanBeRead(t *testing.T) {
	t.Parallel()
	paths, err := filepath.Glob("../example/experiments/fleet*.kdl")
	if err != nil || len(paths) < 4 {
		t.Fatalf("got %d examples, want at least 4: %v", len(paths), err)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		experiment, err := ReadExperiment(string(text))
		if err != nil {
			t.Errorf("%s: %v", path, err)
			continue
		}
		if filepath.Base(path) != "fleet.kdl" {
			continue
		}
		want := OperatorsPlan()
		got := experiment.Plan
		got.Seconds, got.Faults = want.Seconds, want.Faults
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got plan %+v, want the operators' plan %+v", path, got, want)
		}
	}
}

func TestFigureWithSeveralValuesIsSwept(t *testing.T) {
	t.Parallel()
	text := `experiment "x" {
		conductors 10 20 30 40
		members 3
		bound-in-force-s 2.5
		faults "reconnect" "region-cut"
	}`
	experiment, err := ReadExperiment(text)
	if err != nil {
		t.Fatal(err)
	}
	plans := experiment.plans()
	if len(plans) != 4 || plans[2].Controllers != 30 || plans[2].Members != 3 || plans[2].Bounds.ConvergenceS != 2.5 {
		t.Errorf("got plans %+v, want 4, the third with 30 controllers, 3 members and a convergence bound of 2.5 s", plans)
	}
	if !reflect.DeepEqual(plans[0].Faults, []Fault{FaultReconnect, FaultRegionCut}) {
		t.Errorf("got faults %v, want reconnect and region-cut", plans[0].Faults)
	}
}

func TestExperimentErrorsNameTheirLine(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]string{
		"fleet":                                                          "one \"experiment\"",
		"experiment \"x\" {\n  cats 3\n}":                                "line 2: unknown setting \"cats\"",
		"experiment \"x\" {\n  members \"a\"\n}":                         "line 2",
		"experiment \"x\" {\n  members -1\n}":                            "line 2",
		"experiment \"x\" {\n  members\n}":                               "line 2: \"members\" has no value",
		"experiment \"x\" {\n  faults \"fire\"\n}":                       "line 2: unknown fault \"fire\"",
		"experiment \"x\" {\n  members 1 3\n  zones 20 30\n}":            "line 3: at most one figure",
		"experiment \"x\" {\n  members 1\n  faults \"member-killed\"\n}": "needs at least 3 members",
		"experiment \"x\" {\n  conductors 10 100000\n}":                  "conductors must be",
	} {
		t.Run(want, func(t *testing.T) {
			_, err := ReadExperiment(text)
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%q: got error %v, want one with %q", text, err, want)
			}
		})
	}
}
