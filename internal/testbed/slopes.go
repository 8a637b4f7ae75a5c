package testbed

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/scaling"
)

// slopes measures how the cost of a part grows with its size, as docs/CAPACITY.md states it.
func slopes() *cobra.Command {
	var sizes []int
	c := &cobra.Command{Use: "slopes [NAME]", Short: "Measure how the cost of each part grows with its size (docs/CAPACITY.md)",
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				return listSlopes(c.OutOrStdout())
			}
			found, err := scaling.Find(args[0])
			if err != nil {
				return err
			}
			for _, slope := range found {
				samples, err := slope.Take(scaling.Full, sizes...)
				if err != nil {
					return err
				}
				if err := printSlope(c.OutOrStdout(), slope, samples); err != nil {
					return err
				}
			}
			return nil
		}}
	c.Flags().IntSliceVar(&sizes, "sizes", nil, "sizes in place of the slope's own")
	return c
}

func listSlopes(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, s := range scaling.All() {
		fmt.Fprintf(w, "%s\t%s\tby %s\t%v\n", s.Name, s.Operation, s.Size, s.Sizes)
	}
	fmt.Fprintf(w, "agreed text\tholds %d routes of 95 bytes at most\n", scaling.MaxAgreedRoutes())
	return w.Flush()
}

// printSlope writes the samples of a slope and its fits.
func printSlope(out io.Writer, slope scaling.Slope, samples []scaling.Sample) error {
	fmt.Fprintf(out, "%s: %s (%s)\n", slope.Name, slope.Operation, slope.Method)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fits := scaling.Fits(samples)
	fmt.Fprintf(w, "%s\t", slope.Size)
	for _, f := range fits {
		fmt.Fprintf(w, "%s\t", f.Quantity)
	}
	fmt.Fprintln(w)
	for _, s := range samples {
		fmt.Fprintf(w, "%d\t", s.Size)
		for _, f := range fits {
			fmt.Fprintf(w, "%s\t", figure(s.Values[f.Quantity]))
		}
		fmt.Fprintln(w, s.Note)
	}
	row := func(name string, of func(scaling.Fit) float64) {
		fmt.Fprintf(w, "%s\t", name)
		for _, f := range fits {
			fmt.Fprintf(w, "%s\t", figure(of(f)))
		}
		fmt.Fprintln(w)
	}
	row("exponent", func(f scaling.Fit) float64 { return f.Exponent })
	row("exponent, upper half", func(f scaling.Fit) float64 { return f.Tail })
	row("line: base", func(f scaling.Fit) float64 { return f.Base })
	row("line: for each", func(f scaling.Fit) float64 { return f.PerUnit })
	row("line: R2", func(f scaling.Fit) float64 { return f.R2 })
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out)
	return err
}

// figure writes a figure with three digits that count.
func figure(v float64) string {
	switch {
	case math.IsNaN(v):
		return "-"
	case math.Abs(v) >= 1000:
		return fmt.Sprintf("%.0f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}
