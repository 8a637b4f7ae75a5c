package simulation

import "slices"

// Shrink drops faults from a run that fails as long as it still does; it gives those that are left.
func Shrink(set Setup) []Fault {
	faults := set.Faults
	if faults == nil {
		faults = Draw(set)
	}
	fails := func(faults []Fault) bool {
		set.Faults = faults
		return len(Play(set).Violations) > 0
	}
	for part := max(len(faults)/2, 1); part >= 1; part /= 2 {
		for at := 0; at < len(faults); {
			fewer := slices.Delete(slices.Clone(faults), at, min(at+part, len(faults)))
			if fails(fewer) {
				faults = fewer
			} else {
				at += part
			}
		}
	}
	return faults
}
