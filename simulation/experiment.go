package simulation

import (
	"io"
	"os"
	"path/filepath"

	"harehook.dev/harehook/simulation/parallel"
)

// Experiment describes runs of one setup: at each combination of values of the swept figures, one run for each seed.
type Experiment struct {
	Name   string
	Seeds  int // runs at each point, with the seeds from 0 to Seeds-1
	Base   Setup
	Sweeps []Sweep // at most maxSweeps
}

// Sweep lists the values of a swept figure of the setup.
type Sweep struct {
	Figure string // key in the experiment's KDL, such as "members"
	Values []float64
}

// maxSweeps is the maximum number of swept figures: the first is the x axis of the charts, the second has a line for
// each value.
const maxSweeps = 2

// point is one combination of values of the swept figures. With fewer than two of them, the missing values are 0.
type point struct{ x, y float64 }

// points returns the points of the experiment. The first swept figure varies fastest.
func (e *Experiment) points() (points []point) {
	for _, y := range e.sweep(1).Values {
		for _, x := range e.sweep(0).Values {
			points = append(points, point{x: x, y: y})
		}
	}
	return points
}

// sweep returns the sweep at an index, or a sweep with an empty figure and the single value 0 if there is none.
func (e *Experiment) sweep(index int) Sweep {
	if index < len(e.Sweeps) {
		return e.Sweeps[index]
	}
	return Sweep{Values: []float64{0}}
}

// setup returns the setup of one run.
func (e *Experiment) setup(at point, seed uint64) Setup {
	setup := e.Base
	setup.Seed = seed
	setFigure(&setup, e.sweep(0).Figure, at.x)
	setFigure(&setup, e.sweep(1).Figure, at.y)
	return setup
}

// Run executes all runs of the experiment, on all cores in parallel. The order of the rows is always the same: by the
// second figure, the first figure and the seed.
func (e *Experiment) Run() []Row {
	var setups []Setup
	var rows []Row
	for _, at := range e.points() {
		for seed := range uint64(e.Seeds) {
			setups = append(setups, e.setup(at, seed))
			rows = append(rows, e.newRow(at, seed))
		}
	}
	for index, outcome := range parallel.Map(setups, Play) {
		rows[index].setOutcome(outcome)
	}
	return rows
}

// Write runs the experiment, prints its table to out and writes its results (NAME.parquet) and charts
// (NAME-METRIC.png) to a folder, which it creates. If it fails after the runs, it returns the rows together with the
// error.
func (e *Experiment) Write(folder string, out io.Writer) ([]Row, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	rows := e.Run()
	if err := Save(filepath.Join(folder, e.Name+".parquet"), rows); err != nil {
		return rows, err
	}
	if err := Table(out, rows); err != nil {
		return rows, err
	}
	return rows, Charts(folder, rows)
}
