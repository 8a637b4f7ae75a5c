package records

import "fmt"

// shareUnit is what a service's whole capacity counts as when its tenants' shares are summed: whole numbers, so that the
// sum does not depend on the order of changes. A share is rounded down, so that six tenants of a sixth each fit.
const shareUnit = 1_000_000_000

// checkRules says which rules over several records the state breaks once the updates are in it. It looks only at what was
// updated and at what refers to that: all else kept the rules before and keeps them now.
func (s *Store) checkRules(updates []Update, routesBefore int) error {
	var violations []Violation
	for _, update := range updates {
		if reason := s.brokenRule(update); reason != "" {
			violations = append(violations, Violation{Key: update.Key(), Reason: reason})
		}
	}
	if routesBefore > 0 && len(s.byKind[KindRoute]) == 0 {
		violations = append(violations, Violation{Key: lastRemovedRoute(updates), Reason: "no route would be left: no call would be carried"})
	}
	if len(violations) > 0 {
		return &CheckError{Violations: violations}
	}
	if s.bytes > s.maxBytes {
		return &FullError{Bytes: s.bytes, Limit: s.maxBytes}
	}
	return nil
}

// brokenRule gives the first rule that one update breaks, empty if none.
func (s *Store) brokenRule(update Update) string {
	after := update.After
	if after == nil {
		return s.ruleBrokenByRemoval(update.Before)
	}
	if after.Kind == KindService {
		return ""
	}
	if after.Service != "" && s.byKind[KindService][after.Service] == nil {
		return fmt.Sprintf("service %q does not exist: add it in the same transaction or before", after.Service)
	}
	switch after.Kind {
	case KindRoute:
		for _, other := range s.routesByPrefix[routePrefix(after)] {
			if other != after {
				return fmt.Sprintf("%s has the same prefix %q", other.Key, routePrefix(after))
			}
		}
	case KindTenant:
		if sum := s.usageByService[after.Service].shareSum; sum > shareUnit {
			return fmt.Sprintf("the shares of service %q sum to %g, over 1", after.Service, float64(sum)/shareUnit)
		}
	}
	return ""
}

func (s *Store) ruleBrokenByRemoval(record *Record) string {
	if record.Kind != KindService {
		return ""
	}
	if references := s.usageByService[record.Name].referenceCount; references > 0 {
		return fmt.Sprintf("%d records refer to this service: remove or move them in the same transaction or before", references)
	}
	return ""
}

func lastRemovedRoute(updates []Update) (key Key) {
	for _, update := range updates {
		if update.After == nil && update.Before.Kind == KindRoute {
			key = update.Before.Key
		}
	}
	return key
}

// routePrefix is a route's prefix. Records are parsed before they are stored, so that their bodies can be read.
func routePrefix(record *Record) string {
	spec, err := record.Route()
	if err != nil {
		return ""
	}
	return spec.Prefix
}
