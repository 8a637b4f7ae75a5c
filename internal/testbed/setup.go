package testbed

import (
	"github.com/spf13/cobra"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/simulation"
)

// setupFlags defines the flags of a run, and returns the setup that they fill.
func setupFlags(command *cobra.Command) *simulation.Setup {
	setup := &simulation.Setup{Timing: cluster.Timing{HeartbeatTicks: 4}}
	flags := command.Flags()
	flags.IntVar(&setup.Members, "members", 5, "members of the group")
	flags.IntVar(&setup.Ticks, "ticks", 3000, "length of a run")
	flags.IntVar(&setup.FaultFreeTicks, "calm", 600, "ticks at the end without faults")
	flags.IntVar(&setup.Timing.ElectionTicks, "election", 20, "ticks without a leader until an election")
	flags.Uint64Var(&setup.Timing.CompactAfterEntries, "compact", 30, "entries after which a log is compacted")
	flags.IntVar(&setup.MaxDelay, "delay", 6, "max ticks that a message takes")
	flags.Float64Var(&setup.Loss, "loss", 0.03, "fraction of messages lost")
	flags.Float64Var(&setup.Duplication, "double", 0.03, "fraction of messages that arrive twice")
	flags.IntVar(&setup.MaxSyncDelay, "sync", 1, "max ticks that a save to disk takes")
	flags.IntVar(&setup.FaultEvery, "fault-every", 60, "mean ticks between two faults")
	flags.IntVar(&setup.ProposeEvery, "propose-every", 30, "ticks between two proposals")
	flags.IntVar(&setup.Sidecars, "sidecars", 6, "sidecars that poll the members")
	flags.StringVar((*string)(&setup.Planted), "planted", "", "a fault in the program itself: vote not synced, published before commit, stale read told as fresh")
	return setup
}
