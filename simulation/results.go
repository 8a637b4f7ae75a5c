package simulation

import "github.com/parquet-go/parquet-go"

// Row is the stored result of one run of an experiment. The columns of the Parquet file keep the names of the first
// release. Times are in ticks.
type Row struct {
	Experiment  string  `parquet:"experiment,dict"`
	X           string  `parquet:"x,dict"` // the first swept figure, or empty
	XValue      float64 `parquet:"x_value"`
	Y           string  `parquet:"y,dict"` // the second swept figure, or empty
	YValue      float64 `parquet:"y_value"`
	Seed        uint64  `parquet:"seed"`
	Fingerprint uint64  `parquet:"print"`
	Violations  string  `parquet:"violations"` // one per line
	Agreed      int64   `parquet:"agreed"`
	Rejected    int64   `parquet:"refused"`
	Unknown     int64   `parquet:"unknown"`
	Commit      []int64 `parquet:"commit_ticks"`
	Gap         []int64 `parquet:"gap_ticks"`
	Converged   []int64 `parquet:"held_ticks"`
	Settled     int64   `parquet:"settled_ticks"`
	Entries     int64   `parquet:"entries"`
}

// newRow returns the row of a run, without its outcome.
func (e *Experiment) newRow(at point, seed uint64) Row {
	return Row{
		Experiment: e.Name,
		X:          e.sweep(0).Figure,
		XValue:     at.x,
		Y:          e.sweep(1).Figure,
		YValue:     at.y,
		Seed:       seed,
	}
}

// setOutcome copies the outcome of the run to the row.
func (r *Row) setOutcome(outcome Outcome) {
	r.Fingerprint = outcome.Fingerprint
	r.Agreed = int64(outcome.Agreed)
	r.Rejected = int64(outcome.Rejected)
	r.Unknown = int64(outcome.Unknown)
	r.Commit = toInt64s(outcome.Commit)
	r.Gap = toInt64s(outcome.Gap)
	r.Converged = toInt64s(outcome.Converged)
	r.Settled = int64(outcome.Settled)
	r.Entries = int64(outcome.Entries)
	for _, violation := range outcome.Violations {
		r.Violations += violation.String() + "\n"
	}
}

func toInt64s(values []int) (converted []int64) {
	for _, value := range values {
		converted = append(converted, int64(value))
	}
	return converted
}

// point returns the point of the experiment that the run belongs to.
func (r Row) point() point { return point{x: r.XValue, y: r.YValue} }

// Save writes rows to a Parquet file.
func Save(path string, rows []Row) error { return parquet.WriteFile(path, rows) }

// Load reads rows that Save has written.
func Load(path string) ([]Row, error) { return parquet.ReadFile[Row](path) }
