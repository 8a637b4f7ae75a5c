package simulation_test

import (
	"fmt"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/simulation"
)

// A group of three members agrees on changes while one of them crashes.
func ExamplePlay() {
	setup := simulation.Setup{
		Members:        3,
		Ticks:          1000,
		FaultFreeTicks: 500,
		Timing:         cluster.Timing{ElectionTicks: 20, HeartbeatTicks: 4, CompactAfterEntries: 30},
		MaxDelay:       4,
		ProposeEvery:   30,
		Sidecars:       2,
		Faults:         []simulation.Fault{{At: 200, For: 100, Kind: simulation.Crash, Member: 1}},
	}
	outcome := simulation.Play(setup)
	fmt.Println("violations:", len(outcome.Violations))
	fmt.Println("changes were agreed:", outcome.Agreed > 0)
	fmt.Println("recovered:", outcome.Settled >= 0)
	// Output:
	// violations: 0
	// changes were agreed: true
	// recovered: true
}

func ExampleReadExperiment() {
	experiment, err := simulation.ReadExperiment(`experiment "delay" { seeds 20; members 5; delay 2 4 8; }`)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(experiment.Name, experiment.Seeds, experiment.Base.Members, experiment.Sweeps)
	// Output: delay 20 5 [{delay [2 4 8]}]
}
