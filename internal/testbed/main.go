// Package testbed is the program harehook-testbed: experiments, searches for failing seeds and repeated runs in
// simulation, the load test of followers, and scaling measurements.
package testbed

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/simulation"
)

// Main runs the program under a name.
func Main(name string) {
	root := &cobra.Command{Use: name, Short: "Plays the project's machines on a clock of its own", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(run(), table(), hunt(), replay(), followCommand(), fleetCommand(), fleetWorker(), slopes())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(1)
	}
}

func run() *cobra.Command {
	folder := ""
	c := &cobra.Command{Use: "run EXPERIMENT.kdl", Short: "Run an experiment: Parquet, a table and charts", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			e, err := simulation.ReadExperiment(string(text))
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			rows, err := e.Write(folder, c.OutOrStdout())
			for _, r := range rows {
				if r.Violations != "" {
					return fmt.Errorf("%s %v, %s %v, seed %d: %s", r.X, r.XValue, r.Y, r.YValue, r.Seed, r.Violations)
				}
			}
			return err
		}}
	c.Flags().StringVar(&folder, "out", "found/lab", "folder for the results")
	return c
}

func table() *cobra.Command {
	return &cobra.Command{Use: "table RESULTS.parquet", Short: "Print the table of kept results", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			rows, err := simulation.Load(args[0])
			if err != nil {
				return err
			}
			if len(rows) == 0 {
				return errors.New("no runs are in it")
			}
			return simulation.Table(c.OutOrStdout(), rows)
		}}
}

// setup takes the figures of a run from flags.
func setup(c *cobra.Command) *simulation.Setup {
	s := &simulation.Setup{Timing: cluster.Timing{HeartbeatTicks: 4}}
	f := c.Flags()
	f.IntVar(&s.Members, "members", 5, "members of the group")
	f.IntVar(&s.Ticks, "ticks", 3000, "length of a run")
	f.IntVar(&s.FaultFreeTicks, "calm", 600, "ticks at the end without faults")
	f.IntVar(&s.Timing.ElectionTicks, "election", 20, "ticks without a leader until one is elected")
	f.Uint64Var(&s.Timing.CompactAfterEntries, "compact", 30, "entries after which a log is cut")
	f.IntVar(&s.MaxDelay, "delay", 6, "most ticks that a message takes")
	f.Float64Var(&s.Loss, "loss", 0.03, "part of messages lost")
	f.Float64Var(&s.Duplication, "double", 0.03, "part of messages that come twice")
	f.IntVar(&s.MaxSyncDelay, "sync", 1, "most ticks that a save takes")
	f.IntVar(&s.FaultEvery, "fault-every", 60, "ticks between two faults")
	f.IntVar(&s.ProposeEvery, "propose-every", 30, "ticks between two proposals")
	f.IntVar(&s.Sidecars, "sidecars", 6, "sidecars that look on")
	f.StringVar((*string)(&s.Planted), "planted", "", "a fault in the program itself: vote not synced, published before commit, stale read told as fresh")
	return s
}

func hunt() *cobra.Command {
	from, seeds := uint64(0), uint64(1000)
	c := &cobra.Command{Use: "hunt", Short: "Look for a seed that breaks something, and for the faults that it takes", Args: cobra.NoArgs}
	s := setup(c)
	c.Flags().Uint64Var(&from, "from", 0, "first seed")
	c.Flags().Uint64Var(&seeds, "seeds", seeds, "how many")
	c.RunE = func(c *cobra.Command, _ []string) error {
		late := 0
		for s.Seed = from; s.Seed < from+seeds; s.Seed++ {
			out := simulation.Play(*s)
			if len(out.Violations) > 0 {
				fmt.Fprintf(c.OutOrStdout(), "seed %d: %s\nleast faults:\n", s.Seed, out.Violations[0])
				for _, f := range simulation.Shrink(*s) {
					fmt.Fprintf(c.OutOrStdout(), "  %+v\n", f)
				}
				return errors.New("a violation")
			}
			late = max(late, out.Settled)
		}
		fmt.Fprintf(c.OutOrStdout(), "%d seeds without a violation; settled within %d ticks of calm\n", seeds, late)
		return nil
	}
	return c
}

func replay() *cobra.Command {
	c := &cobra.Command{Use: "replay", Short: "Play one seed and print what it showed", Args: cobra.NoArgs}
	s := setup(c)
	c.Flags().Uint64Var(&s.Seed, "seed", 0, "the seed")
	c.RunE = func(c *cobra.Command, _ []string) error {
		for _, f := range simulation.Draw(*s) {
			fmt.Fprintf(c.OutOrStdout(), "%+v\n", f)
		}
		out := simulation.Play(*s)
		fmt.Fprintf(c.OutOrStdout(), "print %x, agreed %d, refused %d, unknown %d, settled %d\n", out.Fingerprint, out.Agreed, out.Rejected, out.Unknown, out.Settled)
		for _, v := range out.Violations {
			fmt.Fprintln(c.OutOrStdout(), v)
		}
		if len(out.Violations) > 0 {
			return errors.New("a violation")
		}
		return nil
	}
	return c
}
