package followers_test

import (
	"fmt"

	"harehook.dev/harehook/simulation/followers"
)

// A run of moderate size, with faults, in which all followers come in step again.
func ExamplePlay() {
	outcome := followers.Play(followers.DefaultSetup(1))
	fmt.Println("violations:", len(outcome.Violations))
	fmt.Println("faults were played:", outcome.Faults > 0)
	fmt.Println("changes were received:", outcome.Changes > 0)
	// Output:
	// violations: 0
	// faults were played: true
	// changes were received: true
}
