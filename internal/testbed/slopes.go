package testbed

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/scaling"
)

// slopesCommand returns the command that measures how the cost of a part grows with its size, as docs/CAPACITY.md
// states it.
func slopesCommand() *cobra.Command {
	var sizes []int
	command := &cobra.Command{
		Use:   "slopes [NAME]",
		Short: "Measure how the cost of a part grows with its size (docs/CAPACITY.md), or list the parts if no name is given",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			if len(arguments) == 0 {
				return listSlopes(command.OutOrStdout())
			}
			return measureSlopes(command.OutOrStdout(), arguments[0], sizes)
		},
	}
	command.Flags().IntSliceVar(&sizes, "sizes", nil, "sizes to measure instead of the defaults of the part")
	return command
}

// listSlopes lists the slopes that can be measured.
func listSlopes(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, slope := range scaling.All() {
		fmt.Fprintf(w, "%s\t%s\tby %s\t%v\n", slope.Name, slope.Operation, slope.Size, slope.Sizes)
	}
	fmt.Fprintf(w, "agreed text\tholds at most %d routes of 95 bytes\n", scaling.MaxAgreedRoutes())
	return w.Flush()
}

// measureSlopes measures and prints all slopes with the given name.
func measureSlopes(out io.Writer, name string, sizes []int) error {
	slopes, err := scaling.Find(name)
	if err != nil {
		return err
	}
	for _, slope := range slopes {
		samples, err := slope.Measure(scaling.Full, sizes...)
		if err != nil {
			return err
		}
		if err := printSlope(out, slope, samples); err != nil {
			return err
		}
	}
	return nil
}

// printSlope prints the samples and the fits of a slope.
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

// printSamples prints a row for each size, with a column for each quantity that has a fit.
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

// printFits prints a row for each parameter of the fits.
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

// formatFigure formats a value with three significant digits, or as an integer if its integral part has more.
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
