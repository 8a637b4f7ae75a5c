package testbed

import (
	"github.com/spf13/cobra"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/simulation"
)

// setupFlags defines the flags of a simulated run, and returns the setup that holds their values.
func setupFlags(command *cobra.Command) *simulation.Setup {
	setup := &simulation.Setup{Timing: cluster.Timing{HeartbeatTicks: 4}}
	flags := command.Flags()
	flags.IntVar(&setup.Members, "members", 5, "number of members of the group")
	flags.IntVar(&setup.Ticks, "ticks", 3000, "length of a run in ticks")
	flags.IntVar(&setup.FaultFreeTicks, "calm", 600, "ticks without faults at the end of a run")
	flags.IntVar(&setup.Timing.ElectionTicks, "election", 20, "ticks without a leader before an election")
	flags.Uint64Var(&setup.Timing.CompactAfterEntries, "compact", 30, "number of entries after which a log is compacted")
	flags.IntVar(&setup.MaxDelay, "delay", 6, "maximum delay of a message in ticks")
	flags.Float64Var(&setup.Loss, "loss", 0.03, "fraction of messages that are lost")
	flags.Float64Var(&setup.Duplication, "double", 0.03, "fraction of messages that are delivered twice")
	flags.IntVar(&setup.MaxSyncDelay, "sync", 1, "maximum duration of a sync to disk in ticks")
	flags.IntVar(&setup.FaultEvery, "fault-every", 60, "mean number of ticks between faults")
	flags.IntVar(&setup.ProposeEvery, "propose-every", 30, "ticks between proposals")
	flags.IntVar(&setup.Sidecars, "sidecars", 6, "number of sidecars that poll the members")
	flags.StringVar((*string)(&setup.Planted), "planted", "", "fault to plant in the program: \"vote not synced\", \"published before commit\" or \"stale read told as fresh\"")
	return setup
}
