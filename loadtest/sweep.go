package loadtest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/parquet-go/parquet-go"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Sweep is the results of an experiment whose figure took several values.
type Sweep struct {
	Name    string    `json:"name"`
	Figure  string    `json:"figure"`
	Reports []*Report `json:"runs"`
	Slopes  []Slope   `json:"slopes"`
}

// Row is one run as Parquet keeps it.
type Row struct {
	Experiment         string  `parquet:"experiment,dict"`
	Figure             string  `parquet:"figure,dict"`
	Value              float64 `parquet:"value"`
	Seed               uint64  `parquet:"seed"`
	Controllers        int64   `parquet:"conductors"`
	Records            int64   `parquet:"records"`
	Changes            int64   `parquet:"changes"`
	ConvergenceMS      float64 `parquet:"in_force_median_ms"`
	ConvergenceWorstMS float64 `parquet:"in_force_worst_ms"`
	StartP90MS         float64 `parquet:"start_nine_in_ten_ms"`
	ChangeBytes        float64 `parquet:"change_bytes"`
	OverheadWorstBytes float64 `parquet:"beside_record_worst_bytes"`
	FullScopeBytes     float64 `parquet:"whole_bytes"`
	MemberCPU          float64 `parquet:"member_cpu"`
	MemberMB           float64 `parquet:"member_mb"`
	ControllerCPU      float64 `parquet:"conductor_cpu"`
	ControllerMB       float64 `parquet:"conductor_mb"`
	ControllerKBS      float64 `parquet:"conductor_kbs"`
	Broken             string  `parquet:"broken"`
}

// metric is a column that charts and slopes show over the swept figure.
type metric struct {
	name, unit string
	value      func(r *Row) float64
}

var metrics = []metric{
	{"in-force", "ms, median", func(r *Row) float64 { return r.ConvergenceMS }},
	{"in-force-worst", "ms", func(r *Row) float64 { return r.ConvergenceWorstMS }},
	{"start", "ms, nine in ten", func(r *Row) float64 { return r.StartP90MS }},
	{"change", "bytes, median", func(r *Row) float64 { return r.ChangeBytes }},
	{"whole", "bytes, median", func(r *Row) float64 { return r.FullScopeBytes }},
	{"member-cpu", "of a core, mean of members", func(r *Row) float64 { return r.MemberCPU }},
	{"member-memory", "MB, mean of members", func(r *Row) float64 { return r.MemberMB }},
	{"conductor-cpu", "of a core, busiest 10 s", func(r *Row) float64 { return r.ControllerCPU }},
	{"conductor-memory", "MB", func(r *Row) float64 { return r.ControllerMB }},
	{"conductor-wire", "KB/s, busiest 10 s", func(r *Row) float64 { return r.ControllerKBS }},
}

// Sweep plays the plan once for each value of the figure, one after the other.
func (e *Experiment) Sweep(ctx context.Context, options Options) (*Sweep, error) {
	s := &Sweep{Name: e.Name, Figure: e.Figure}
	for at, plan := range e.plans() {
		fmt.Fprintf(options.Progress, "fleet: %s %v\n", e.Figure, e.Values[at])
		report, err := Play(ctx, plan, options)
		if err != nil {
			return nil, fmt.Errorf("%s %v: %w", e.Figure, e.Values[at], err)
		}
		s.Reports = append(s.Reports, report)
	}
	s.Slopes = slopes(s.Rows())
	return s, nil
}

// Rows gives a row for each run.
func (s *Sweep) Rows() (rows []Row) {
	setting, _ := findSetting(s.Figure)
	for _, report := range s.Reports {
		rows = append(rows, row(s, setting.Get(&report.Plan), report))
	}
	return rows
}

func row(s *Sweep, value float64, report *Report) Row {
	m := report.Measured
	r := Row{
		Experiment: s.Name, Figure: s.Figure, Value: value, Seed: report.Plan.Seed,
		Controllers: int64(report.Plan.Controllers), Records: int64(m.Records), Changes: int64(m.Changes),
		ConvergenceMS: m.Convergence.MedianMS, ConvergenceWorstMS: m.Convergence.WorstMS, StartP90MS: m.Start.P90MS,
		ChangeBytes: float64(m.Messages.Change.Median), OverheadWorstBytes: float64(m.Messages.RecordOverhead.Worst),
		FullScopeBytes: float64(m.Messages.FullScope.Median),
	}
	for _, member := range m.Members {
		r.MemberCPU += member.CPU / float64(len(m.Members))
		r.MemberMB += member.WorstMB / float64(len(m.Members))
	}
	if c := m.Controller; c != nil {
		r.ControllerCPU, r.ControllerMB, r.ControllerKBS = c.BusiestCPU, c.WorstMB, c.BusiestKBS
	}
	for _, line := range report.Broken {
		r.Broken += line + "\n"
	}
	return r
}

// minSizes is the number of sizes that a slope is fitted to at least.
const minSizes = 4

// Slope is how a metric grows with the swept figure: linearly, and as a power of it.
type Slope struct {
	Metric    string  `json:"metric"`
	Unit      string  `json:"unit"`
	Intercept float64 `json:"intercept"`
	PerUnit   float64 `json:"per_unit"`
	R2        float64 `json:"r2"`       // of the linear fit
	Exponent  float64 `json:"exponent"` // of the fit to logarithms; 1 is linear
	Sizes     int     `json:"sizes"`
}

func slopes(rows []Row) (found []Slope) {
	for _, one := range metrics {
		var x, y, logX, logY []float64
		for k := range rows {
			value := one.value(&rows[k])
			if value <= 0 || rows[k].Value <= 0 {
				continue
			}
			x, y = append(x, rows[k].Value), append(y, value)
			logX, logY = append(logX, math.Log(rows[k].Value)), append(logY, math.Log(value))
		}
		if len(x) < minSizes {
			continue
		}
		slope := Slope{Metric: one.name, Unit: one.unit, Sizes: len(x)}
		slope.Intercept, slope.PerUnit = stat.LinearRegression(x, y, nil, false)
		slope.R2 = stat.RSquared(x, y, nil, slope.Intercept, slope.PerUnit)
		_, slope.Exponent = stat.LinearRegression(logX, logY, nil, false)
		found = append(found, slope)
	}
	return found
}

// BrokenBounds names the bounds that broke, each with the value at which it did.
func (s *Sweep) BrokenBounds() (lines []string) {
	setting, _ := findSetting(s.Figure)
	for _, report := range s.Reports {
		for _, line := range report.Broken {
			lines = append(lines, fmt.Sprintf("%s %g: %s", s.Figure, setting.Get(&report.Plan), line))
		}
	}
	return lines
}

// Save writes the rows as Parquet and a chart for each metric.
func (s *Sweep) Save(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	rows := s.Rows()
	if err := parquet.WriteFile(filepath.Join(folder, s.Name+".parquet"), rows); err != nil {
		return err
	}
	for _, one := range metrics {
		if err := s.chart(folder, one, rows); err != nil {
			return err
		}
	}
	return nil
}

func (s *Sweep) chart(folder string, one metric, rows []Row) error {
	var points plotter.XYs
	for k := range rows {
		points = append(points, plotter.XY{X: rows[k].Value, Y: one.value(&rows[k])})
	}
	p := plot.New()
	p.Title.Text = s.Name + " (one machine, hollow conductors)"
	p.X.Label.Text, p.Y.Label.Text = s.Figure, one.name+", "+one.unit
	p.Y.Min = 0
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	p.Add(line, marks, plotter.NewGrid())
	return p.Save(14*vg.Centimeter, 9*vg.Centimeter, filepath.Join(folder, s.Name+"-"+one.name+".png"))
}

// WriteJSON writes the sweep as one object.
func (s *Sweep) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(s)
}

// WriteTable writes a line for each value and the slopes.
func (s *Sweep) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\t", s.Figure)
	for _, one := range metrics {
		fmt.Fprintf(w, "%s\t", one.name)
	}
	fmt.Fprintln(w)
	rows := s.Rows()
	for k := range rows {
		fmt.Fprintf(w, "%g\t", rows[k].Value)
		for _, one := range metrics {
			fmt.Fprintf(w, "%.4g\t", one.value(&rows[k]))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w)
	fmt.Fprint(w, "SLOPE\tUNIT\tAT 0\tPER UNIT\tR2\tEXPONENT\tSIZES\t\n")
	for _, slope := range s.Slopes {
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%.4g\t%.3f\t%.2f\t%d\t\n", slope.Metric, slope.Unit, slope.Intercept, slope.PerUnit, slope.R2, slope.Exponent, slope.Sizes)
	}
	return w.Flush()
}
