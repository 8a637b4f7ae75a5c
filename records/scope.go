package records

import "slices"

// Scope is the part of the records that a controller needs: those of its services, and those without a service.
type Scope struct {
	All      bool // everything
	Services []string
	Zones    []string // overrides of other zones are left out
}

// Normalized gives the scope with its names sorted and without repeats.
func (s Scope) Normalized() Scope {
	s.Services = sortedNames(s.Services)
	s.Zones = sortedNames(s.Zones)
	return s
}

func sortedNames(names []string) []string {
	names = slices.Clone(names)
	slices.Sort(names)
	return slices.Compact(names)
}

// Contains reports whether a record belongs to the scope, which has to be normalized. Nil belongs to none.
func (s Scope) Contains(r *Record) bool {
	if r == nil {
		return false
	}
	if s.All {
		return true
	}
	return matchesName(s.Services, r.Service) && matchesName(s.Zones, r.Zone)
}

// Touches reports whether an update changes what the scope contains. The scope has to be normalized.
func (s Scope) Touches(u Update) bool { return s.Contains(u.Before) || s.Contains(u.After) }

// matchesName reports whether a sorted list has a name; the empty name concerns all.
func matchesName(sorted []string, name string) bool {
	if name == "" {
		return true
	}
	_, found := slices.BinarySearch(sorted, name)
	return found
}

// withUnnamed adds the empty name, which concerns all, to the names of a normalized scope.
func withUnnamed(names []string) []string {
	if len(names) > 0 && names[0] == "" {
		return names
	}
	return append([]string{""}, names...)
}
