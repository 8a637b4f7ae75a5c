package simulation

import "slices"

// Shrink removes faults from a run with a violation, as long as the run still has a violation, and returns the
// remaining faults. It starts from the setup's Faults or, if these are nil, from those that Draw returns.
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
