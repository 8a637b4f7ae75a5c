package testbed

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// errViolation is returned when a run violates a property. The command prints the violation before it returns.
var errViolation = errors.New("property violated")

// defaultFolder is the default folder for results.
const defaultFolder = "found/lab"

// Main runs the program under a name. It exits with code 1 if the command fails.
func Main(name string) {
	root := &cobra.Command{
		Use:           name,
		Short:         "Run simulations, the load test and scaling measurements of the project",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		runCommand(),
		tableCommand(),
		huntCommand(),
		replayCommand(),
		followCommand(),
		fleetCommand(),
		fleetWorkerCommand(),
		slopesCommand(),
	)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(1)
	}
}
