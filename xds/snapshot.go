package xds

// Snapshot holds all resources for the sidecars of one routing table. It is immutable.
type Snapshot struct {
	Sets [NumResourceTypes]ResourceSet
	// sequence counts the changes of each type. It is local to this controller.
	sequence [NumResourceTypes]uint64
}

// next returns the successor of s with the given sets, or s itself if no set has changed. For the first snapshot s is
// nil.
func (s *Snapshot) next(sets [NumResourceTypes]ResourceSet) *Snapshot {
	if s == nil {
		first := &Snapshot{Sets: sets}
		for t := range sets {
			first.sequence[t] = 1
		}
		return first
	}
	changed := false
	successor := &Snapshot{Sets: sets, sequence: s.sequence}
	for t := range sets {
		if !sets[t].Equal(s.Sets[t]) {
			successor.sequence[t]++
			changed = true
		}
	}
	if !changed {
		return s
	}
	return successor
}
