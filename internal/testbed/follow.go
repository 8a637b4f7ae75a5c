package testbed

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/simulation/followers"
)

// errBroken says that a run has broken a property. Which one has been printed.
var errBroken = errors.New("a violation")

// followCommand plays followers of a group over many seeds, or one seed again.
func followCommand() *cobra.Command {
	setup := followers.DefaultSetup(0)
	from, seeds := uint64(0), uint64(200)
	command := &cobra.Command{Use: "follow", Short: "Play followers of a group: crashes, cuts, lags, refusals, crowds", Args: cobra.NoArgs}
	flags := command.Flags()
	flags.Uint64Var(&from, "from", from, "first seed")
	flags.Uint64Var(&seeds, "seeds", seeds, "how many; with 1 the first seed is played again")
	flags.IntVar(&setup.Members, "members", setup.Members, "members of the group")
	flags.IntVar(&setup.Followers, "followers", setup.Followers, "followers")
	flags.DurationVar(&setup.Active, "active", setup.Active, "time with commits and faults")
	flags.DurationVar(&setup.FaultFree, "calm", setup.FaultFree, "time without, by the end of which all have to be in step")
	flags.DurationVar(&setup.CommitEvery, "commit-every", setup.CommitEvery, "mean time between two commits")
	flags.DurationVar(&setup.FaultEvery, "fault-every", setup.FaultEvery, "mean time between two faults")
	flags.StringVar((*string)(&setup.Planted), "planted", "", "a fault in the program itself, to see that it is found")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if setup.Members < 1 || setup.Followers < 1 || setup.CommitEvery <= 0 || setup.FaultEvery <= 0 || seeds < 1 {
			return errors.New("members, followers, seeds and both mean times have to be over 0")
		}
		began := time.Now()
		outcomes := followers.PlayAll(setup, from, seeds)
		var sum followers.Outcome
		broken := 0
		for n, outcome := range outcomes {
			if len(outcome.Violations) > 0 {
				broken++
				fmt.Fprintf(command.OutOrStdout(), "seed %d: %s\n", from+uint64(n), outcome.Violations[0])
			}
			sum = sum.Add(outcome)
		}
		fmt.Fprintf(command.OutOrStdout(), "simulated: %d seeds, %d with a violation, in %v\n", seeds, broken, time.Since(began).Round(time.Millisecond))
		if seeds == 1 {
			fmt.Fprintf(command.OutOrStdout(), "print %x\n", outcomes[0].Fingerprint)
		}
		return printOutcome(command, sum, broken)
	}
	return command
}

func printOutcome(command *cobra.Command, sum followers.Outcome, broken int) error {
	out := command.OutOrStdout()
	fmt.Fprintf(out, "commits %d, faults %d, accepted %d, refused %d\n", sum.Commits, sum.Faults, sum.Accepted, sum.Rejected)
	fmt.Fprintf(out, "messages: %d whole scopes, %d changes, %d of progress only\n", sum.FullScopes, sum.Changes, sum.Progress)
	fmt.Fprintf(out, "in force: %d claims compared with %d live followers; %d times a follower was stale\n", sum.Claims, sum.LiveAtClaims, sum.Stale)
	fmt.Fprintf(out, "in step: %d changes checked for delay, %d of them beside a crowd\n", sum.InStepChecked, sum.InStepBesideCrowd)
	fmt.Fprintf(out, "all in step within %v of calm at the latest\n", sum.Settled)
	if broken > 0 {
		return errBroken
	}
	return nil
}
