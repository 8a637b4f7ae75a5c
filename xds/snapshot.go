package xds

// Snapshot is all that the sidecars of one routing table are to have. It does not change once it is made.
type Snapshot struct {
	Sets [NumResourceTypes]ResourceSet
	// sequence counts the changes of each type, on this controller only.
	sequence [NumResourceTypes]uint64
}

// next returns the snapshot that follows s, which is nil for the first one: s itself if nothing changed.
func (s *Snapshot) next(sets [NumResourceTypes]ResourceSet) *Snapshot {
	if s == nil {
		first := &Snapshot{Sets: sets}
		for t := range sets {
			first.sequence[t] = 1
		}
		return first
	}
	changed := false
	following := &Snapshot{Sets: sets, sequence: s.sequence}
	for t := range sets {
		if !sets[t].Equal(s.Sets[t]) {
			following.sequence[t]++
			changed = true
		}
	}
	if !changed {
		return s
	}
	return following
}
