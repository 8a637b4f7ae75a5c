package records

import "fmt"

// checkRules returns an error if the state, to which the updates have been applied, breaks a rule that spans several
// records. It examines only the updated records and the records that refer to them: the others satisfied the rules
// before and still do. The last route must not be removed: routeCountBefore is the number of routes before the updates.
// The error is a *CheckError or a *FullError.
func (s *Store) checkRules(updates []Update, routeCountBefore int) error {
	var violations []Violation
	for _, update := range updates {
		if reason := s.index.brokenRule(update); reason != "" {
			violations = append(violations, Violation{Key: update.Key(), Reason: reason})
		}
	}
	if routeCountBefore > 0 && len(s.index.byKind[KindRoute]) == 0 {
		violations = append(violations, Violation{Key: lastRemovedRoute(updates), Reason: "no route would be left: no call would be carried"})
	}
	if len(violations) > 0 {
		return &CheckError{Violations: violations}
	}
	if s.index.bytes > s.maxBytes {
		return &FullError{Bytes: s.index.bytes, Limit: s.maxBytes}
	}
	return nil
}

// brokenRule returns the reason why an update breaks a rule, or an empty string if it breaks none.
func (x *index) brokenRule(update Update) string {
	after := update.After
	if after == nil {
		return x.ruleBrokenByRemoval(update.Before)
	}
	if after.Kind == KindService {
		return ""
	}
	if after.Service != "" && x.byKind[KindService][after.Service] == nil {
		return fmt.Sprintf("service %q does not exist: add it in the same transaction or before", after.Service)
	}
	switch after.Kind {
	case KindRoute:
		return x.ruleBrokenByRoute(after)
	case KindTenant:
		return x.ruleBrokenByTenant(after)
	}
	return ""
}

// ruleBrokenByRoute returns a reason if another route has the same prefix, otherwise an empty string.
func (x *index) ruleBrokenByRoute(route *Record) string {
	prefix := routePrefix(route)
	for _, other := range x.routesByPrefix[prefix] {
		if other != route {
			return fmt.Sprintf("%s has the same prefix %q", other.Key, prefix)
		}
	}
	return ""
}

// ruleBrokenByTenant returns a reason if the sum of the shares of the service's tenants exceeds 1, otherwise an empty
// string.
func (x *index) ruleBrokenByTenant(tenant *Record) string {
	sum := x.usageByService[tenant.Service].shareSum
	if sum > shareUnit {
		return fmt.Sprintf("the shares of service %q sum to %g, over 1", tenant.Service, float64(sum)/shareUnit)
	}
	return ""
}

// ruleBrokenByRemoval returns a reason if a record names the removed service, otherwise an empty string.
func (x *index) ruleBrokenByRemoval(record *Record) string {
	if record.Kind != KindService {
		return ""
	}
	if references := x.usageByService[record.Name].referenceCount; references > 0 {
		return fmt.Sprintf("%d records refer to this service: remove or move them in the same transaction or before", references)
	}
	return ""
}

// lastRemovedRoute returns the key of the last removed route among updates, or the zero key if no route was removed.
func lastRemovedRoute(updates []Update) Key {
	var key Key
	for _, update := range updates {
		if update.After == nil && update.Before.Kind == KindRoute {
			key = update.Before.Key
		}
	}
	return key
}
