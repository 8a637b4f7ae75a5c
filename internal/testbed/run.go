package testbed

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/simulation"
)

// runCommand returns the command that runs an experiment.
func runCommand() *cobra.Command {
	folder := ""
	command := &cobra.Command{
		Use:   "run EXPERIMENT.kdl",
		Short: "Run an experiment of a simulated group, and write Parquet, a table and charts",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return runExperiment(command.OutOrStdout(), arguments[0], folder)
		},
	}
	command.Flags().StringVar(&folder, "out", defaultFolder, "folder for the results")
	return command
}

// runExperiment runs an experiment and writes the results. A violation takes precedence over a write error.
func runExperiment(out io.Writer, path, folder string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	experiment, err := simulation.ReadExperiment(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	rows, err := experiment.Write(folder, out)
	for _, row := range rows {
		if row.Violations != "" {
			return fmt.Errorf("%s %v, %s %v, seed %d: %s", row.X, row.XValue, row.Y, row.YValue, row.Seed, row.Violations)
		}
	}
	return err
}
