package simulation

import "slices"

// Shrink drops faults from a run with a violation as long as there still is one, and returns those that are left. The
// setup's own faults are shrunk, or those that Draw draws from its seed.
func Shrink(setup Setup) []Fault {
	faults := setup.plannedFaults()
	violates := func(faults []Fault) bool {
		setup.Faults = faults
		return len(Play(setup).Violations) > 0
	}
	for length := max(len(faults)/2, 1); length >= 1; length /= 2 {
		for from := 0; from < len(faults); {
			fewer := slices.Delete(slices.Clone(faults), from, min(from+length, len(faults)))
			if violates(fewer) {
				faults = fewer
			} else {
				from += length
			}
		}
	}
	return faults
}
