package testbed

import (
	"os"
	"os/signal"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/loadtest"
)

// workerCommandName is the hidden command whose processes are the members and controllers of a load test.
const workerCommandName = "fleet-worker"

// fleetWorkerCommand is the body of a worker, which fleetCommand starts.
func fleetWorkerCommand() *cobra.Command {
	return &cobra.Command{
		Use:    workerCommandName + " ROLE",
		Hidden: true,
		Args:   cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			// An interrupt from the terminal reaches also the process that started this one. That one ends its workers.
			signal.Ignore(os.Interrupt)
			return loadtest.Work(command.Context(), arguments[0], os.Stdin, os.Stdout)
		},
	}
}
