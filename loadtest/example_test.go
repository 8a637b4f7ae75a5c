package loadtest_test

import (
	"fmt"

	"harehook.dev/harehook/loadtest"
)

// Settings that an experiment omits have the values of OperatorsPlan. A figure with several values is swept.
func ExampleReadExperiment() {
	experiment, err := loadtest.ReadExperiment(`experiment "small" { conductors 20 40 80; members 3; faults "reconnect"; }`)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(experiment.Name, experiment.Figure, experiment.Values)
	fmt.Println(experiment.Plan.Members, experiment.Plan.Faults, experiment.Plan.Tenants)
	// Output:
	// small conductors [20 40 80]
	// 3 [reconnect] 140000
}
