package testbed

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/scaling"
)

// slopesCommand measures how the cost of a part grows with its size, as docs/CAPACITY.md states it.
func slopesCommand() *cobra.Command {
	var sizes []int
	command := &cobra.Command{
		Use:   "slopes [NAME]",
		Short: "Measure how the cost of each part grows with its size (docs/CAPACITY.md); without a name: list the parts",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			if len(arguments) == 0 {
				return listSlopes(command.OutOrStdout())
			}
			return measureSlopes(command.OutOrStdout(), arguments[0], sizes)
		},
	}
	command.Flags().IntSliceVar(&sizes, "sizes", nil, "sizes in place of the slope's own")
	return command
}

// listSlopes prints what can be measured.
func listSlopes(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, slope := range scaling.All() {
		fmt.Fprintf(w, "%s\t%s\tby %s\t%v\n", slope.Name, slope.Operation, slope.Size, slope.Sizes)
	}
	fmt.Fprintf(w, "agreed text\tholds %d routes of 95 bytes at most\n", scaling.MaxAgreedRoutes())
	return w.Flush()
}

// measureSlopes measures and prints all slopes of a name.
func measureSlopes(out io.Writer, name string, sizes []int) error {
	slopes, err := scaling.Find(name)
	if err != nil {
		return err
	}
	for _, slope := range slopes {
		samples, err := slope.Take(scaling.Full, sizes...)
		if err != nil {
			return err
		}
		if err := printSlope(out, slope, samples); err != nil {
			return err
		}
	}
	return nil
}

// printSlope writes the samples of a slope and its fits.
func printSlope(out io.Writer, slope scaling.Slope, samples []scaling.Sample) error {
	fmt.Fprintf(out, "%s: %s (%s)\n", slope.Name, slope.Operation, slope.Method)
	fits := scaling.Fits(samples)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	printSamples(w, slope, samples, fits)
	printFits(w, fits)
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out)
	return err
}

// printSamples writes a line for each size, a column for each quantity that has a fit.
func printSamples(w io.Writer, slope scaling.Slope, samples []scaling.Sample, fits []scaling.Fit) {
	fmt.Fprintf(w, "%s\t", slope.Size)
	for _, fit := range fits {
		fmt.Fprintf(w, "%s\t", fit.Quantity)
	}
	fmt.Fprintln(w)
	for _, sample := range samples {
		fmt.Fprintf(w, "%d\t", sample.Size)
		for _, fit := range fits {
			fmt.Fprintf(w, "%s\t", formatFigure(sample.Values[fit.Quantity]))
		}
		fmt.Fprintln(w, sample.Note)
	}
}

// printFits writes a line for each part of the fits.
func printFits(w io.Writer, fits []scaling.Fit) {
	for _, row := range []struct {
		name  string
		value func(scaling.Fit) float64
	}{
		{"exponent", func(f scaling.Fit) float64 { return f.Exponent }},
		{"exponent, upper half", func(f scaling.Fit) float64 { return f.Tail }},
		{"line: base", func(f scaling.Fit) float64 { return f.Base }},
		{"line: for each", func(f scaling.Fit) float64 { return f.PerUnit }},
		{"line: R2", func(f scaling.Fit) float64 { return f.R2 }},
	} {
		fmt.Fprintf(w, "%s\t", row.name)
		for _, fit := range fits {
			fmt.Fprintf(w, "%s\t", formatFigure(row.value(fit)))
		}
		fmt.Fprintln(w)
	}
}

// formatFigure writes three significant digits, or all of an integral part that has more.
func formatFigure(v float64) string {
	switch {
	case math.IsNaN(v):
		return "-"
	case math.Abs(v) >= 1000:
		return fmt.Sprintf("%.0f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}
