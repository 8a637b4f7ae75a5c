package cluster

import "slices"

const (
	// maxVersions is how many versions are retained to roll back to, at most some 1.3 KB each: three hours of the
	// expected 7,800 changes a day. Older changes may still be in the history of records.
	maxVersions = 1024
	// maxFullTextVersions is how many were retained with their full texts. Members of a group that began with those
	// convert them at different indexes of the log, and have no more versions than these in common until
	// CommandSetFormat.
	maxFullTextVersions = 64
)

// Latest is the version in effect without its text; its number is 0 if there is none.
func (s *State) Latest() Version {
	if len(s.Versions) == 0 {
		return Version{}
	}
	return s.Versions[len(s.Versions)-1]
}

// Current is the version in effect with its text, which costs by the whole configuration.
func (s *State) Current() Version {
	version := s.Latest()
	version.Text, _ = s.TextOf(version.Number)
	return version
}

// Find gives a version that is still retained, without its text.
func (s *State) Find(number uint64) (version Version, retained bool) {
	at := slices.IndexFunc(s.Versions, func(v Version) bool { return v.Number == number })
	if at < 0 {
		return Version{}, false
	}
	return s.Versions[at], true
}

// addVersion puts a version into effect and drops the oldest ones over the bound.
func (s *State) addVersion(version Version) {
	s.Versions = append(s.Versions, version)
	limit := maxVersions
	if s.FullTexts {
		limit = maxFullTextVersions
	}
	for len(s.Versions) > limit {
		s.Versions[0] = Version{} // lets its strings go before the slice moves
		s.Versions = s.Versions[1:]
	}
}
