package followers_test

import (
	"fmt"

	"harehook.dev/harehook/simulation/followers"
)

// This example simulates a run of moderate size with faults, after which all followers are in step again.
func ExamplePlay() {
	outcome := followers.Play(followers.DefaultSetup(1))
	fmt.Println("violations:", len(outcome.Violations))
	fmt.Println("faults were injected:", outcome.Faults > 0)
	fmt.Println("changes were received:", outcome.Changes > 0)
	// Output:
	// violations: 0
	// faults were injected: true
	// changes were received: true
}
