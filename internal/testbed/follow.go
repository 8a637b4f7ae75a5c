package testbed

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/simulation/followers"
)

// followOptions holds the flags of the simulation of followers.
type followOptions struct {
	setup     followers.Setup
	firstSeed uint64
	seeds     uint64
}

// followCommand returns the command that simulates the followers of a group for a range of seeds.
func followCommand() *cobra.Command {
	options := &followOptions{setup: followers.DefaultSetup(0), seeds: 200}
	setup := &options.setup
	command := &cobra.Command{
		Use:   "follow",
		Short: "Simulate followers of a group with crashes, partitions, lag, rejections and many simultaneous restarts",
		Args:  cobra.NoArgs,
	}
	flags := command.Flags()
	flags.Uint64Var(&options.firstSeed, "from", options.firstSeed, "first seed")
	flags.Uint64Var(&options.seeds, "seeds", options.seeds, "number of seeds; 1 replays the first seed and prints its fingerprint")
	flags.IntVar(&setup.Members, "members", setup.Members, "number of members of the group")
	flags.IntVar(&setup.Followers, "followers", setup.Followers, "number of followers")
	flags.DurationVar(&setup.Active, "active", setup.Active, "duration of commits and faults")
	flags.DurationVar(&setup.FaultFree, "calm", setup.FaultFree, "duration without commits and faults, within which all followers must be in step")
	flags.DurationVar(&setup.CommitEvery, "commit-every", setup.CommitEvery, "mean time between commits")
	flags.DurationVar(&setup.FaultEvery, "fault-every", setup.FaultEvery, "mean time between faults")
	flags.StringVar((*string)(&setup.Planted), "planted", "", "fault to plant in the program, to check that the simulation detects it: one of the texts of followers.Planted")
	command.RunE = func(command *cobra.Command, _ []string) error {
		return options.run(command.OutOrStdout())
	}
	return command
}

// errFollowFlags is returned when a flag is out of range.
var errFollowFlags = errors.New("members, followers, seeds, commit-every and fault-every must be greater than 0")

// validate checks the flags beyond their types.
func (o *followOptions) validate() error {
	setup := o.setup
	if setup.Members < 1 || setup.Followers < 1 || setup.CommitEvery <= 0 || setup.FaultEvery <= 0 || o.seeds < 1 {
		return errFollowFlags
	}
	return nil
}

// run simulates the seeds and prints the sum of their outcomes.
func (o *followOptions) run(out io.Writer) error {
	if err := o.validate(); err != nil {
		return err
	}
	start := time.Now()
	outcomes := followers.PlayAll(o.setup, o.firstSeed, o.seeds)
	var sum followers.Outcome
	violating := 0
	for index, outcome := range outcomes {
		if len(outcome.Violations) > 0 {
			violating++
			fmt.Fprintf(out, "seed %d: %s\n", o.firstSeed+uint64(index), outcome.Violations[0])
		}
		sum = sum.Add(outcome)
	}
	elapsed := time.Since(start).Round(time.Millisecond)
	fmt.Fprintf(out, "simulated: %d seeds, %d with a violation, in %v\n", o.seeds, violating, elapsed)
	if o.seeds == 1 {
		fmt.Fprintf(out, "fingerprint %x\n", outcomes[0].Fingerprint)
	}
	printOutcome(out, sum)
	if violating > 0 {
		return errViolation
	}
	return nil
}

// printOutcome prints the counts of a sum of outcomes.
func printOutcome(out io.Writer, sum followers.Outcome) {
	fmt.Fprintf(out, "commits %d, faults %d, accepted revisions %d, rejected %d\n", sum.Commits, sum.Faults, sum.Accepted, sum.Rejected)
	fmt.Fprintf(out, "messages: %d full scopes, %d changes, %d of progress only\n", sum.FullScopes, sum.Changes, sum.Progress)
	fmt.Fprintf(out, "converged revisions: %d claims compared with %d live followers; %d times a follower was stale\n", sum.Claims, sum.LiveAtClaims, sum.Stale)
	fmt.Fprintf(out, "in step: %d changes checked for delay, %d of them while a crowd waited for full scopes\n", sum.InStepChecked, sum.InStepBesideCrowd)
	fmt.Fprintf(out, "all in step at most %v after the start of the fault-free time\n", sum.Settled)
}
