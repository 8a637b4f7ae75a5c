package loadtest

import (
	"fmt"
	"io"
	"path/filepath"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	chartWidth  = 14 * vg.Centimeter
	chartHeight = 9 * vg.Centimeter
)

// drawChart writes a chart of a metric as a function of the swept figure to a folder.
func (s *Sweep) drawChart(folder string, m metric, rows []Row) error {
	var points plotter.XYs
	for index := range rows {
		points = append(points, plotter.XY{X: rows[index].Value, Y: m.value(&rows[index])})
	}
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	chart := plot.New()
	chart.Title.Text = s.Name + " (one machine, simulated controllers)"
	chart.X.Label.Text = s.Figure
	chart.Y.Label.Text = m.name + ", " + m.unit
	chart.Y.Min = 0
	chart.Add(line, marks, plotter.NewGrid())
	return chart.Save(chartWidth, chartHeight, filepath.Join(folder, s.Name+"-"+m.name+".png"))
}

// WriteTable writes a table of the metrics, with a row for each value of the swept figure, and a table of the slopes.
func (s *Sweep) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	s.writeRows(w)
	fmt.Fprintln(w)
	fmt.Fprint(w, "SLOPE\tUNIT\tAT 0\tPER UNIT\tR2\tEXPONENT\tSIZES\t\n")
	for _, slope := range s.Slopes {
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%.4g\t%.3f\t%.2f\t%d\t\n",
			slope.Metric, slope.Unit, slope.Intercept, slope.PerUnit, slope.R2, slope.Exponent, slope.Sizes)
	}
	return w.Flush()
}

// writeRows writes a row for each value of the swept figure.
func (s *Sweep) writeRows(w io.Writer) {
	fmt.Fprintf(w, "%s\t", s.Figure)
	for _, m := range metrics {
		fmt.Fprintf(w, "%s\t", m.name)
	}
	fmt.Fprintln(w)
	rows := s.Rows()
	for index := range rows {
		fmt.Fprintf(w, "%g\t", rows[index].Value)
		for _, m := range metrics {
			fmt.Fprintf(w, "%.4g\t", m.value(&rows[index]))
		}
		fmt.Fprintln(w)
	}
}
