package testbed

import (
	"errors"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/simulation"
)

// errNoRuns is returned when a results file contains no runs.
var errNoRuns = errors.New("results file contains no runs")

// tableCommand returns the command that prints the table of a completed experiment.
func tableCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "table RESULTS.parquet",
		Short: "Print the table of an experiment's results",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			rows, err := simulation.Load(arguments[0])
			if err != nil {
				return err
			}
			if len(rows) == 0 {
				return errNoRuns
			}
			return simulation.Table(command.OutOrStdout(), rows)
		},
	}
}
