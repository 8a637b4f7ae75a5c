package testbed

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/simulation"
)

// replayCommand returns the command that simulates a single seed.
func replayCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "replay",
		Short: "Simulate one seed of a group, and print its faults and outcome",
		Args:  cobra.NoArgs,
	}
	setup := setupFlags(command)
	command.Flags().Uint64Var(&setup.Seed, "seed", 0, "seed to simulate")
	command.RunE = func(command *cobra.Command, _ []string) error {
		return replay(command.OutOrStdout(), *setup)
	}
	return command
}

// replay simulates a run and prints its faults and outcome.
func replay(out io.Writer, setup simulation.Setup) error {
	for _, fault := range simulation.Draw(setup) {
		fmt.Fprintf(out, "%+v\n", fault)
	}
	outcome := simulation.Play(setup)
	fmt.Fprintf(out, "fingerprint %x, agreed %d, rejected %d, unknown %d, settled %d (in ticks of fault-free time; -1: never)\n",
		outcome.Fingerprint, outcome.Agreed, outcome.Rejected, outcome.Unknown, outcome.Settled)
	for _, violation := range outcome.Violations {
		fmt.Fprintln(out, violation)
	}
	if len(outcome.Violations) > 0 {
		return errViolation
	}
	return nil
}
