package simulation

import "slices"

// Metric is what tables and charts show of runs.
type Metric struct {
	Name   string                // in tables and in the names of charts
	Values func(row Row) []int64 // what one run adds to the metric
}

// Metrics are all metrics, in the order of the tables. All but the entries of the log are ticks.
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

// spreads returns the spread of a metric at each point, in the order in which the rows name the points first.
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

// Spread says how values are distributed.
type Spread struct {
	Count      int
	Percentile Percentiles // zero if there are no values
	Max        float64
}

// Percentiles are those that tables and charts show.
type Percentiles struct{ P10, P50, P90 float64 }

// newSpread returns the spread of values, which it sorts.
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
