package testbed

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/simulation"
)

// huntCommand returns the command that searches for a seed with a violation.
func huntCommand() *cobra.Command {
	const defaultSeeds = 1000
	first := uint64(0)
	seeds := uint64(0)
	command := &cobra.Command{
		Use:   "hunt",
		Short: "Search for a seed of a simulated group that violates a property, and for the faults that are needed",
		Args:  cobra.NoArgs,
	}
	setup := setupFlags(command)
	command.Flags().Uint64Var(&first, "from", 0, "first seed")
	command.Flags().Uint64Var(&seeds, "seeds", defaultSeeds, "number of seeds")
	command.RunE = func(command *cobra.Command, _ []string) error {
		return hunt(command.OutOrStdout(), *setup, first, seeds)
	}
	return command
}

// hunt simulates seeds in ascending order until one has a violation, and prints the faults that are needed for it.
func hunt(out io.Writer, setup simulation.Setup, first, seeds uint64) error {
	maxSettled := 0
	for setup.Seed = first; setup.Seed < first+seeds; setup.Seed++ {
		outcome := simulation.Play(setup)
		if len(outcome.Violations) > 0 {
			fmt.Fprintf(out, "seed %d: %s\nrequired faults:\n", setup.Seed, outcome.Violations[0])
			for _, fault := range simulation.Shrink(setup) {
				fmt.Fprintf(out, "  %+v\n", fault)
			}
			return errViolation
		}
		maxSettled = max(maxSettled, outcome.Settled)
	}
	fmt.Fprintf(out, "%d seeds without a violation; settled at most %d ticks after the start of the fault-free time\n", seeds, maxSettled)
	return nil
}
