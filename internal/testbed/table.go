package testbed

import (
	"errors"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/simulation"
)

// errNoRuns says that a file of results is empty.
var errNoRuns = errors.New("no runs are in it")

// tableCommand prints the table of an experiment that was run before.
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
