package simulation

import "slices"

// Metric is a measurement of runs that tables and charts show.
type Metric struct {
	Name   string                // in tables and in the file names of charts
	Values func(row Row) []int64 // returns the values of one run
}

// Metrics lists all metrics, in the order of the tables. All values are in ticks, except those of "entries", which
// count log entries.
var Metrics = []Metric{
	{Name: "commit", Values: func(r Row) []int64 { return r.Commit }},
	{Name: "gap", Values: func(r Row) []int64 { return r.Gap }},
	{Name: "held", Values: func(r Row) []int64 { return r.Converged }},
	{Name: "settled", Values: func(r Row) []int64 { return []int64{r.Settled} }},
	{Name: "entries", Values: func(r Row) []int64 { return []int64{r.Entries} }},
}

// pointSpread is the spread of a metric over all runs at a point.
type pointSpread struct {
	point  point
	spread Spread
}

// spreads returns the spread of a metric at each point, in the order in which the points first appear in the rows.
func (m Metric) spreads(rows []Row) (spreads []pointSpread) {
	values := map[point][]int64{}
	var points []point
	for _, row := range rows {
		at := row.point()
		if _, seen := values[at]; !seen {
			points = append(points, at)
		}
		values[at] = append(values[at], m.Values(row)...)
	}
	for _, at := range points {
		spreads = append(spreads, pointSpread{point: at, spread: newSpread(values[at])})
	}
	return spreads
}

// Spread describes the distribution of values.
type Spread struct {
	Count      int
	Percentile Percentiles // zero if there are no values
	Max        float64
}

// Percentiles holds the percentiles that tables and charts show.
type Percentiles struct{ P10, P50, P90 float64 }

// newSpread returns the spread of values. It sorts values in place.
func newSpread(values []int64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	slices.Sort(values)
	quantile := func(fraction float64) float64 {
		nearest := int(fraction*float64(len(values)-1) + 0.5)
		return float64(values[nearest])
	}
	return Spread{
		Count:      len(values),
		Percentile: Percentiles{P10: quantile(0.1), P50: quantile(0.5), P90: quantile(0.9)},
		Max:        quantile(1),
	}
}
