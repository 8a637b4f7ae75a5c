package loadtest

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/parquet-go/parquet-go"
)

func TestExampleExperiments(t *testing.T) {
	t.Parallel()
	paths, err := filepath.Glob("../example/experiments/fleet*.kdl")
	if err != nil || len(paths) < 4 {
		t.Fatalf("%d examples: %v", len(paths), err)
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
			t.Errorf("%s is not the operators' size: %+v", path, got)
		}
	}
}

func TestExperimentFigures(t *testing.T) {
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
		t.Errorf("%+v", plans)
	}
	if !reflect.DeepEqual(plans[0].Faults, []Fault{FaultReconnect, FaultRegionCut}) {
		t.Errorf("faults %v", plans[0].Faults)
	}
}

func TestFaultsOfExperimentsNameTheirLines(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]string{
		"fleet":                                                          "one \"experiment\"",
		"experiment \"x\" {\n  cats 3\n}":                                "line 2: \"cats\"",
		"experiment \"x\" {\n  members \"a\"\n}":                         "line 2",
		"experiment \"x\" {\n  members -1\n}":                            "line 2",
		"experiment \"x\" {\n  members\n}":                               "line 2: \"members\" has no value",
		"experiment \"x\" {\n  faults \"fire\"\n}":                       "line 2: fault \"fire\"",
		"experiment \"x\" {\n  members 1 3\n  zones 20 30\n}":            "line 3: one figure",
		"experiment \"x\" {\n  members 1\n  faults \"member-killed\"\n}": "needs three members",
		"experiment \"x\" {\n  conductors 10 100000\n}":                  "conductors have to be",
	} {
		if _, err := ReadExperiment(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

func TestPlansThatCantBePlayed(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(p *Plan){
		"no conductor":      func(p *Plan) { p.Controllers = 0 },
		"no member":         func(p *Plan) { p.Members = 0 },
		"too many members":  func(p *Plan) { p.Members = maxMembers + 1 },
		"no route":          func(p *Plan) { p.Routes = 0 },
		"too many records":  func(p *Plan) { p.Tenants = maxRecords },
		"zones for regions": func(p *Plan) { p.Zones = p.Regions - 1 },
		"no changes":        func(p *Plan) { p.Changes = 0 },
		"no time":           func(p *Plan) { p.Seconds = 0 },
	} {
		plan := OperatorsPlan()
		change(&plan)
		if plan.Validate() == nil {
			t.Errorf("%s: it is taken", name)
		}
	}
	if err := OperatorsPlan().Validate(); err != nil {
		t.Error(err)
	}
	if _, err := ParseFaults("reconnect,fire"); err == nil {
		t.Error("a fault that is not known is taken")
	}
}

// sweepOf makes a sweep whose controller's bytes grow linearly and whose memory grows by the square.
func sweepOf(sizes ...int) *Sweep {
	s := &Sweep{Name: "synthetic", Figure: "conductors"}
	for _, size := range sizes {
		n := float64(size)
		report := &Report{Plan: OperatorsPlan()}
		report.Plan.Controllers = size
		report.Measured.Controller = &ControllerUsage{ProcessUsage: ProcessUsage{WorstMB: n * n}, BusiestKBS: 5 + 2*n}
		s.Reports = append(s.Reports, report)
	}
	s.Slopes = fitSlopes(s.Rows())
	return s
}

func TestSlopes(t *testing.T) {
	t.Parallel()
	found := map[string]Slope{}
	for _, slope := range sweepOf(10, 100, 1000, 3000).Slopes {
		found[slope.Metric] = slope
	}
	wire, memory := found["conductor-wire"], found["conductor-memory"]
	if wire.PerUnit < 1.999 || wire.PerUnit > 2.001 || wire.Intercept < 4.99 || wire.Intercept > 5.01 || wire.R2 < 0.999 {
		t.Errorf("linear growth: %+v", wire)
	}
	if memory.Exponent < 1.999 || memory.Exponent > 2.001 {
		t.Errorf("growth by the square: %+v", memory)
	}
	if few := sweepOf(10, 100, 1000).Slopes; len(few) != 0 {
		t.Errorf("slopes fitted to three sizes: %+v", few)
	}
}

func TestSweepIsKept(t *testing.T) {
	t.Parallel()
	sweep := sweepOf(10, 20, 40, 80)
	sweep.Reports[1].Broken = []string{"a bound"}
	folder := t.TempDir()
	if err := sweep.Save(folder); err != nil {
		t.Fatal(err)
	}
	rows, err := parquet.ReadFile[Row](filepath.Join(folder, "synthetic.parquet"))
	if err != nil || !reflect.DeepEqual(rows, sweep.Rows()) {
		t.Errorf("read back: %v, %+v", err, rows)
	}
	charts, err := filepath.Glob(filepath.Join(folder, "synthetic-*.png"))
	if err != nil || len(charts) != len(metrics) {
		t.Errorf("%d charts, want %d: %v", len(charts), len(metrics), err)
	}
	if broken := sweep.BrokenBounds(); len(broken) != 1 || broken[0] != "conductors 20: a bound" {
		t.Errorf("broken: %q", broken)
	}
}
