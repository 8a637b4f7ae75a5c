package records

import "slices"

// Scope selects the records that a controller needs: those of its services, and those without a service.
type Scope struct {
	All      bool // all records; the other fields are ignored
	Services []string
	Zones    []string // overrides of other zones are excluded
}

// Normalized returns the scope with its names sorted and without duplicates.
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

// Contains reports whether a record belongs to the scope, which must be normalized. A nil record belongs to no scope.
func (s Scope) Contains(r *Record) bool {
	if r == nil {
		return false
	}
	if s.All {
		return true
	}
	return matchesName(s.Services, r.Service) && matchesName(s.Zones, r.Zone)
}

// Touches reports whether an update affects a record that the scope contains before or after it. The scope must be
// normalized.
func (s Scope) Touches(u Update) bool { return s.Contains(u.Before) || s.Contains(u.After) }

// matchesName reports whether a sorted list contains a name. The empty name matches every list.
func matchesName(sorted []string, name string) bool {
	if name == "" {
		return true
	}
	_, found := slices.BinarySearch(sorted, name)
	return found
}

// withEmptyName adds the empty name, which stands for all, to the names of a normalized scope.
func withEmptyName(names []string) []string {
	if len(names) > 0 && names[0] == "" {
		return names
	}
	return append([]string{""}, names...)
}
