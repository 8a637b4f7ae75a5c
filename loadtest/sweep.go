package loadtest

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/parquet-go/parquet-go"
)

// Sweep holds the results of an experiment whose figure takes several values.
type Sweep struct {
	Name    string    `json:"name"`
	Figure  string    `json:"figure"`
	Reports []*Report `json:"runs"`
	Slopes  []Slope   `json:"slopes"`
}

// Sweep executes the plan once for each value of the figure, one run after the other. It stops at the first run that
// cannot be completed.
func (e *Experiment) Sweep(ctx context.Context, options Options) (*Sweep, error) {
	options = options.withDefaults()
	s := &Sweep{Name: e.Name, Figure: e.Figure}
	for index, plan := range e.plans() {
		fmt.Fprintf(options.Progress, "fleet: %s %v\n", e.Figure, e.Values[index])
		report, err := Play(ctx, plan, options)
		if err != nil {
			return nil, fmt.Errorf("%s %v: %w", e.Figure, e.Values[index], err)
		}
		s.Reports = append(s.Reports, report)
	}
	s.Slopes = fitSlopes(s.Rows())
	return s, nil
}

// value returns the value of the swept figure in a run.
func (s *Sweep) value(report *Report) float64 {
	setting, _ := findSetting(s.Figure)
	return setting.Get(&report.Plan)
}

// BrokenBounds returns a line for each broken bound, with the value of the swept figure.
func (s *Sweep) BrokenBounds() (lines []string) {
	for _, report := range s.Reports {
		for _, line := range report.Broken {
			lines = append(lines, fmt.Sprintf("%s %g: %s", s.Figure, s.value(report), line))
		}
	}
	return lines
}

// Save writes the rows as Parquet (NAME.parquet) and a chart for each metric (NAME-METRIC.png) to a folder, which it
// creates if necessary.
func (s *Sweep) Save(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	rows := s.Rows()
	if err := parquet.WriteFile(filepath.Join(folder, s.Name+".parquet"), rows); err != nil {
		return err
	}
	for _, m := range metrics {
		if err := s.drawChart(folder, m, rows); err != nil {
			return fmt.Errorf("draw the chart of %q: %w", m.name, err)
		}
	}
	return nil
}

// WriteJSON writes the sweep as one JSON object.
func (s *Sweep) WriteJSON(out io.Writer) error { return writeJSON(out, s) }
