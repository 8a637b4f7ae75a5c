package testbed

import (
	"os"
	"os/signal"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/loadtest"
)

// workerCommandName is the name of the hidden command that runs members or controllers of a load test.
const workerCommandName = "fleet-worker"

// fleetWorkerCommand returns the command of a worker process, which fleetCommand starts.
func fleetWorkerCommand() *cobra.Command {
	return &cobra.Command{
		Use:    workerCommandName + " ROLE",
		Hidden: true,
		Args:   cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			// The terminal sends an interrupt to the parent process too, and the parent stops its workers.
			signal.Ignore(os.Interrupt)
			return loadtest.Work(command.Context(), arguments[0], os.Stdin, os.Stdout)
		},
	}
}
