package planner

import "fmt"

// The lines of Host.Log are on the simulator's wire, in words of the platform's pages. They are made here only.

// healthText is the line for an endpoint whose health has changed.
func healthText(node uint32, h health) string {
	word := "well"
	switch h {
	case ejected:
		word = "out"
	case probation:
		word = "on trial"
	case healthy:
	}
	return fmt.Sprintf("node %d %s", node, word)
}

// throttlingText is the line for throttling that has begun or ended.
func throttlingText(active bool) string { return fmt.Sprintf("throttling: %t", active) }
