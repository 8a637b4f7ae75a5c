package simulation

import (
	"cmp"
	"fmt"
	"io"
	"text/tabwriter"
)

// Table prints the spread of each metric at each point of an experiment. There must be at least one row.
func Table(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "METRIC\t%s\t%s\tN\t10%%\tMEDIAN\t90%%\tMOST\n", cmp.Or(rows[0].X, "-"), cmp.Or(rows[0].Y, "-"))
	for _, metric := range Metrics {
		for _, entry := range metric.spreads(rows) {
			percentile := entry.spread.Percentile
			fmt.Fprintf(w, "%s\t%v\t%v\t%d\t%.0f\t%.0f\t%.0f\t%.0f\n", metric.Name, entry.point.x, entry.point.y,
				entry.spread.Count, percentile.P10, percentile.P50, percentile.P90, entry.spread.Max)
		}
	}
	violating := 0
	for _, row := range rows {
		if row.Violations != "" {
			violating++
		}
	}
	fmt.Fprintf(w, "runs %d, with a violation %d\n", len(rows), violating)
	return w.Flush()
}
