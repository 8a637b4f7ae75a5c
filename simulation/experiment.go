package simulation

import (
	"io"
	"os"
	"path/filepath"

	"harehook.dev/harehook/simulation/parallel"
)

// Experiment plays one setup with many seeds, and again for each value of the figures that it sweeps.
type Experiment struct {
	Name   string
	Seeds  int // each point is played with the seeds from 0 to Seeds-1
	Base   Setup
	Sweeps []Sweep // maxSweeps at most
}

// Sweep is a figure of a setup that takes several values in turn.
type Sweep struct {
	Figure string // a key of the experiment's KDL, such as "members"
	Values []float64
}

// maxSweeps is how many figures an experiment can sweep: one is the abscissa of the charts, one tells their lines apart.
const maxSweeps = 2

// point is one combination of values of the swept figures; a figure that is not swept has the value 0.
type point struct{ x, y float64 }

// points lists the points of the experiment. The first swept figure varies fastest.
func (e *Experiment) points() (points []point) {
	for _, y := range e.sweep(1).Values {
		for _, x := range e.sweep(0).Values {
			points = append(points, point{x: x, y: y})
		}
	}
	return points
}

// sweep returns one of the sweeps, or one without a figure and with a single value.
func (e *Experiment) sweep(index int) Sweep {
	if index < len(e.Sweeps) {
		return e.Sweeps[index]
	}
	return Sweep{Values: []float64{0}}
}

// setup is what one run is played with.
func (e *Experiment) setup(at point, seed uint64) Setup {
	setup := e.Base
	setup.Seed = seed
	setFigure(&setup, e.sweep(0).Figure, at.x)
	setFigure(&setup, e.sweep(1).Figure, at.y)
	return setup
}

// Run plays all runs of the experiment, as many at once as there are cores. The order of the rows does not depend on
// that: by the second figure, the first figure, the seed.
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
// (NAME-METRIC.png) into a folder, which it creates. The rows are valid also where an error says that some of this could
// not be written.
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
