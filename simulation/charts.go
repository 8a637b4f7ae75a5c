package simulation

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	chartWidth  = 14 * vg.Centimeter
	chartHeight = 9 * vg.Centimeter
)

// Charts writes a chart of each metric to NAME-METRIC.png in a folder. A chart plots the median against the first swept
// figure, with one line for each value of the second and error bars from the 10th to the 90th percentile. Charts draws
// nothing if no figure is swept. There must be at least one row.
func Charts(folder string, rows []Row) error {
	if rows[0].X == "" {
		return nil
	}
	for _, metric := range Metrics {
		if err := drawChart(folder, metric, rows); err != nil {
			return fmt.Errorf("draw chart of metric %q: %w", metric.Name, err)
		}
	}
	return nil
}

// drawChart draws the chart of a metric, unless no run has a value for it.
func drawChart(folder string, metric Metric, rows []Row) error {
	lines := chartLines(metric.spreads(rows))
	if len(lines) == 0 {
		return nil
	}
	chart := plot.New()
	chart.Title.Text = rows[0].Experiment + " (simulated)"
	chart.X.Label.Text = rows[0].X
	chart.Y.Label.Text = metric.Name + ", ticks"
	chart.Y.Min = 0
	for index, line := range lines {
		if err := line.addTo(chart, index, rows[0].Y); err != nil {
			return err
		}
	}
	chart.Legend.Top = true
	chart.Legend.Left = true
	chart.Add(plotter.NewGrid())
	file := rows[0].Experiment + "-" + metric.Name + ".png"
	return chart.Save(chartWidth, chartHeight, filepath.Join(folder, file))
}

// chartLine is the line for one value of the second swept figure. It implements the interfaces of
// plotter.NewYErrorBars.
type chartLine struct {
	plotter.XYs
	plotter.YErrors
	y float64
}

// chartLines builds the lines from the points that have values, in the order of their first points.
func chartLines(spreads []pointSpread) (lines []*chartLine) {
	lineByY := map[float64]*chartLine{}
	for _, entry := range spreads {
		if entry.spread.Count == 0 {
			continue
		}
		line := lineByY[entry.point.y]
		if line == nil {
			line = &chartLine{y: entry.point.y}
			lineByY[entry.point.y] = line
			lines = append(lines, line)
		}
		line.addPoint(entry.point.x, entry.spread.Percentile)
	}
	return lines
}

// addPoint adds a median with its error bar.
func (l *chartLine) addPoint(x float64, percentile Percentiles) {
	bar := struct{ Low, High float64 }{
		Low:  percentile.P50 - percentile.P10,
		High: percentile.P90 - percentile.P50,
	}
	l.XYs = append(l.XYs, plotter.XY{X: x, Y: percentile.P50})
	l.YErrors = append(l.YErrors, bar)
}

// addTo adds the line to a chart in the color of its index, with a legend entry if a second figure is swept.
func (l *chartLine) addTo(chart *plot.Plot, index int, figure string) error {
	line, err := plotter.NewLine(l.XYs)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(index)
	line.Width = vg.Points(1.5)
	bars, err := plotter.NewYErrorBars(l)
	if err != nil {
		return err
	}
	bars.Color = plotutil.Color(index)
	chart.Add(line, bars)
	if figure != "" {
		chart.Legend.Add(fmt.Sprintf("%s %v", figure, l.y), line)
	}
	return nil
}
