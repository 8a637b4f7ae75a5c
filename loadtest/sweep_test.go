package loadtest

import (
	"path/filepath"
	"reflect"
	"testing"

	"github.com/parquet-go/parquet-go"
)

// syntheticSweep returns a sweep in which the traffic of the controller grows linearly and its memory quadratically.
func syntheticSweep(sizes ...int) *Sweep {
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

func TestSlopesOfKnownGrowth(t *testing.T) {
	t.Parallel()
	found := map[string]Slope{}
	for _, slope := range syntheticSweep(10, 100, 1000, 3000).Slopes {
		found[slope.Metric] = slope
	}
	wire, memory := found["conductor-wire"], found["conductor-memory"]
	if wire.PerUnit < 1.999 || wire.PerUnit > 2.001 || wire.Intercept < 4.99 || wire.Intercept > 5.01 || wire.R2 < 0.999 {
		t.Errorf("got slope %+v for linear growth, want intercept 5, 2 per unit and R2 of 1", wire)
	}
	if memory.Exponent < 1.999 || memory.Exponent > 2.001 {
		t.Errorf("got slope %+v for quadratic growth, want exponent 2", memory)
	}
	if few := syntheticSweep(10, 100, 1000).Slopes; len(few) != 0 {
		t.Errorf("got slopes %+v for three sizes, want none", few)
	}
}

func TestSweepIsSavedAndReadBack(t *testing.T) {
	t.Parallel()
	sweep := syntheticSweep(10, 20, 40, 80)
	sweep.Reports[1].Broken = []string{"a bound"}
	folder := t.TempDir()
	if err := sweep.Save(folder); err != nil {
		t.Fatal(err)
	}
	rows, err := parquet.ReadFile[Row](filepath.Join(folder, "synthetic.parquet"))
	if err != nil || !reflect.DeepEqual(rows, sweep.Rows()) {
		t.Errorf("got rows %+v from the Parquet file, want %+v: %v", rows, sweep.Rows(), err)
	}
	charts, err := filepath.Glob(filepath.Join(folder, "synthetic-*.png"))
	if err != nil || len(charts) != len(metrics) {
		t.Errorf("got %d charts, want %d: %v", len(charts), len(metrics), err)
	}
	if broken := sweep.BrokenBounds(); len(broken) != 1 || broken[0] != "conductors 20: a bound" {
		t.Errorf("got broken bounds %q, want only \"conductors 20: a bound\"", broken)
	}
}
