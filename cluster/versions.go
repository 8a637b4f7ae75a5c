package cluster

import "slices"

const (
	// maxVersions is the number of versions that are retained for rollback. Each takes at most about 1.3 KB. They cover
	// three hours at the expected 7,800 changes per day. The history of records may contain older changes.
	maxVersions = 1024
	// maxFullTextVersions is the number of versions that the first release retained, with their full texts. Members of a
	// group that began with full texts convert them at different log indexes, so until CommandSetFormat these are the
	// only versions that all members have.
	maxFullTextVersions = 64
)

// Latest returns the version in effect without its text. Its number is 0 if there is no version.
func (s *State) Latest() Version {
	if len(s.Versions) == 0 {
		return Version{}
	}
	return s.Versions[len(s.Versions)-1]
}

// Current returns the version in effect with its text. The cost is proportional to the size of the configuration.
func (s *State) Current() Version {
	version := s.Latest()
	version.Text, _ = s.TextOf(version.Number)
	return version
}

// Find returns a version without its text, and whether it is still retained.
func (s *State) Find(number uint64) (version Version, retained bool) {
	index := slices.IndexFunc(s.Versions, func(v Version) bool { return v.Number == number })
	if index < 0 {
		return Version{}, false
	}
	return s.Versions[index], true
}

// addVersion adds the version in effect and drops the oldest versions beyond the limit.
func (s *State) addVersion(version Version) {
	s.Versions = append(s.Versions, version)
	limit := maxVersions
	if s.FullTexts {
		limit = maxFullTextVersions
	}
	for len(s.Versions) > limit {
		s.Versions[0] = Version{} // release its strings: the slice keeps the array
		s.Versions = s.Versions[1:]
	}
}
