package testbed

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// errViolation is what a command ends with whose runs broke a property. Which one has been printed.
var errViolation = errors.New("a violation")

// defaultFolder is where commands put results.
const defaultFolder = "found/lab"

// Main runs the program under a name, and exits with 1 where it fails.
func Main(name string) {
	root := &cobra.Command{
		Use:           name,
		Short:         "Simulations, load test and scaling measurements of the project's own machines",
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
