package simulation

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/parquet-go/parquet-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/internal/kdl"
)

// Experiment is a sweep of figures over seeds.
type Experiment struct {
	Name   string
	Seeds  int
	Base   Setup
	Sweeps []Sweep
}

// Sweep is a figure that takes several values in turn.
type Sweep struct {
	Figure string
	Values []float64
}

// figures are what of a setup can be swept or set.
var figures = map[string]func(s *Setup, v float64){
	"members":       func(s *Setup, v float64) { s.Members = int(v) },
	"ticks":         func(s *Setup, v float64) { s.Ticks = int(v) },
	"calm":          func(s *Setup, v float64) { s.FaultFreeTicks = int(v) },
	"election":      func(s *Setup, v float64) { s.Timing.ElectionTicks = int(v); s.Timing.HeartbeatTicks = max(1, int(v)/5) },
	"compact":       func(s *Setup, v float64) { s.Timing.CompactAfterEntries = uint64(v) },
	"delay":         func(s *Setup, v float64) { s.MaxDelay = int(v) },
	"loss":          func(s *Setup, v float64) { s.Loss = v },
	"double":        func(s *Setup, v float64) { s.Duplication = v },
	"sync":          func(s *Setup, v float64) { s.MaxSyncDelay = int(v) },
	"fault-every":   func(s *Setup, v float64) { s.FaultEvery = int(v) },
	"propose-every": func(s *Setup, v float64) { s.ProposeEvery = int(v) },
	"sidecars":      func(s *Setup, v float64) { s.Sidecars = int(v) },
}

// ReadExperiment reads an experiment. A figure with several values is swept; each fault names its line.
func ReadExperiment(text string) (*Experiment, error) {
	nodes, err := kdl.Parse(text)
	if err != nil {
		return nil, err
	}
	var faults kdl.Faults
	e := &Experiment{Seeds: 10, Base: Setup{Members: 3, Ticks: 3000, FaultFreeTicks: 600, Timing: cluster.Timing{ElectionTicks: 20, HeartbeatTicks: 4, CompactAfterEntries: 100},
		MaxDelay: 4, ProposeEvery: 30, Sidecars: 6}}
	if len(nodes) != 1 || nodes[0].Name != "experiment" || len(nodes[0].Arguments) != 1 {
		faults.Add(1, "the document is one \"experiment\" with a name")
		return nil, faults.Err()
	}
	e.Name = fmt.Sprint(nodes[0].Arguments[0].Data)
	for _, n := range nodes[0].Children {
		var values []float64
		for _, a := range n.Arguments {
			v, ok := a.Data.(float64)
			if !ok || v < 0 || v > 1e6 {
				faults.Add(a.Line, "%q takes numbers from 0 to 1000000, not %v", n.Name, a.Data)
			}
			values = append(values, v)
		}
		switch set, known := figures[n.Name]; {
		case len(values) == 0:
			faults.Add(n.Line, "%q has no value", n.Name)
		case n.Name == "seeds":
			e.Seeds = int(values[0])
		case !known:
			faults.Add(n.Line, "%q is no figure of a run", n.Name)
		case len(values) == 1:
			set(&e.Base, values[0])
		default:
			e.Sweeps = append(e.Sweeps, Sweep{n.Name, values})
		}
	}
	if len(e.Sweeps) > 2 {
		faults.Add(nodes[0].Line, "two figures are swept at most, not %d", len(e.Sweeps))
	}
	if e.Base.Members < 1 || e.Base.Members > 9 || e.Base.FaultFreeTicks >= e.Base.Ticks || e.Seeds < 1 {
		faults.Add(nodes[0].Line, "members are 1 to 9, calm is under ticks, seeds are at least 1")
	}
	return e, faults.Err()
}

// Row is one run as the results keep it.
type Row struct {
	Experiment  string  `parquet:"experiment,dict"`
	X           string  `parquet:"x,dict"`
	XValue      float64 `parquet:"x_value"`
	Y           string  `parquet:"y,dict"`
	YValue      float64 `parquet:"y_value"`
	Seed        uint64  `parquet:"seed"`
	Fingerprint uint64  `parquet:"print"`
	Violations  string  `parquet:"violations"`
	Agreed      int64   `parquet:"agreed"`
	Rejected    int64   `parquet:"refused"`
	Unknown     int64   `parquet:"unknown"`
	Commit      []int64 `parquet:"commit_ticks"`
	Gap         []int64 `parquet:"gap_ticks"`
	Converged   []int64 `parquet:"held_ticks"`
	Settled     int64   `parquet:"settled_ticks"`
	Entries     int64   `parquet:"entries"`
}

// Run plays all runs, as many at once as there are cores; their order in the rows does not depend on that.
func (e *Experiment) Run() []Row {
	var sets []Setup
	var rows []Row
	points := func(k int) []float64 {
		if k < len(e.Sweeps) {
			return e.Sweeps[k].Values
		}
		return []float64{0}
	}
	name := func(k int) string {
		if k < len(e.Sweeps) {
			return e.Sweeps[k].Figure
		}
		return ""
	}
	for _, y := range points(1) {
		for _, x := range points(0) {
			for seed := range uint64(e.Seeds) {
				set := e.Base
				set.Seed = seed
				if name(0) != "" {
					figures[name(0)](&set, x)
				}
				if name(1) != "" {
					figures[name(1)](&set, y)
				}
				sets = append(sets, set)
				rows = append(rows, Row{Experiment: e.Name, X: name(0), XValue: x, Y: name(1), YValue: y, Seed: seed})
			}
		}
	}
	next := make(chan int)
	var players sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		players.Go(func() {
			for k := range next {
				rows[k].fill(Play(sets[k]))
			}
		})
	}
	for k := range sets {
		next <- k
	}
	close(next)
	players.Wait()
	return rows
}

func (r *Row) fill(o Outcome) {
	r.Fingerprint, r.Agreed, r.Rejected, r.Unknown = o.Fingerprint, int64(o.Agreed), int64(o.Rejected), int64(o.Unknown)
	r.Settled, r.Entries = int64(o.Settled), int64(o.Entries)
	for _, v := range o.Violations {
		r.Violations += v + "\n"
	}
	wide := func(from []int) (to []int64) {
		for _, v := range from {
			to = append(to, int64(v))
		}
		return to
	}
	r.Commit, r.Gap, r.Converged = wide(o.Commit), wide(o.Gap), wide(o.Converged)
}

// Metrics are what tables and charts show of runs: the ticks of all that came.
var Metrics = []struct {
	Name string
	Of   func(r Row) []int64
}{
	{"commit", func(r Row) []int64 { return r.Commit }},
	{"gap", func(r Row) []int64 { return r.Gap }},
	{"held", func(r Row) []int64 { return r.Converged }},
	{"settled", func(r Row) []int64 { return []int64{r.Settled} }},
	{"entries", func(r Row) []int64 { return []int64{r.Entries} }},
}

// Spread is the median and the spread of some figures.
type Spread struct {
	N                     int
	Low, Median, High, To float64 // tenth, half, nine tenths, and the most
}

func spread(values []int64) (s Spread) {
	if s.N = len(values); s.N == 0 {
		return s
	}
	slices.Sort(values)
	at := func(part float64) float64 { return float64(values[int(part*float64(len(values)-1)+0.5)]) }
	return Spread{s.N, at(0.1), at(0.5), at(0.9), at(1)}
}

// point is a value of each swept figure.
type point struct{ x, y float64 }

func collect(rows []Row, of func(Row) []int64) (points []point, all map[point][]int64) {
	all = map[point][]int64{}
	for _, r := range rows {
		p := point{r.XValue, r.YValue}
		if _, seen := all[p]; !seen {
			points = append(points, p)
		}
		all[p] = append(all[p], of(r)...)
	}
	return points, all
}

// Table prints medians and spread of each metric at each point.
func Table(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "METRIC\t%s\t%s\tN\t10%%\tMEDIAN\t90%%\tMOST\n", cmp.Or(rows[0].X, "-"), cmp.Or(rows[0].Y, "-"))
	for _, m := range Metrics {
		points, all := collect(rows, m.Of)
		for _, p := range points {
			s := spread(all[p])
			fmt.Fprintf(w, "%s\t%v\t%v\t%d\t%.0f\t%.0f\t%.0f\t%.0f\n", m.Name, p.x, p.y, s.N, s.Low, s.Median, s.High, s.To)
		}
	}
	broken := 0
	for _, r := range rows {
		if r.Violations != "" {
			broken++
		}
	}
	fmt.Fprintf(w, "runs %d, with a violation %d\n", len(rows), broken)
	return w.Flush()
}

// Save writes the rows as Parquet.
func Save(path string, rows []Row) error { return parquet.WriteFile(path, rows) }

// Load reads rows.
func Load(path string) ([]Row, error) { return parquet.ReadFile[Row](path) }

// Charts draws a chart for each metric: the median over the first swept figure, a line for each value of the second,
// with bars from a tenth to nine tenths.
func Charts(folder string, rows []Row) error {
	if rows[0].X == "" {
		return nil // nothing to draw over
	}
	for _, m := range Metrics {
		points, all := collect(rows, m.Of)
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.Y.Label.Text = rows[0].Experiment+" (simulated)", rows[0].X, m.Name+", ticks"
		p.Y.Min = 0
		lines := map[float64]*bars{}
		var order []float64
		for _, at := range points {
			s := spread(all[at])
			if s.N == 0 {
				continue
			}
			b := lines[at.y]
			if b == nil {
				b = &bars{}
				lines[at.y], order = b, append(order, at.y)
			}
			b.XYs = append(b.XYs, plotter.XY{X: at.x, Y: s.Median})
			b.YErrors = append(b.YErrors, struct{ Low, High float64 }{s.Median - s.Low, s.High - s.Median})
		}
		if len(order) == 0 {
			continue
		}
		for k, y := range order {
			line, err := plotter.NewLine(lines[y].XYs)
			if err != nil {
				return err
			}
			line.Color, line.Width = plotutil.Color(k), vg.Points(1.5)
			errs, err := plotter.NewYErrorBars(lines[y])
			if err != nil {
				return err
			}
			errs.Color = plotutil.Color(k)
			p.Add(line, errs)
			if rows[0].Y != "" {
				p.Legend.Add(fmt.Sprintf("%s %v", rows[0].Y, y), line)
			}
		}
		p.Legend.Top, p.Legend.Left = true, true
		p.Add(plotter.NewGrid())
		if err := p.Save(14*vg.Centimeter, 9*vg.Centimeter, filepath.Join(folder, rows[0].Experiment+"-"+m.Name+".png")); err != nil {
			return err
		}
	}
	return nil
}

// bars are a line's points and their spread.
type bars struct {
	plotter.XYs
	plotter.YErrors
}

// Write runs an experiment and writes its results, table and charts into a folder.
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
