package records

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
)

// maxRoutingServices bounds the services that a routing revision is retained for, of which some may be removed: over a
// hundred times the expected 570, and some 2 MB of a snapshot.
const maxRoutingServices = 1 << 16

// routingRevisions has, for each service, the revision at which one of its routes was last created, changed, removed or
// moved to or from another service. Routes without a service count under the empty name.
//
// It guards against a number that goes down. Sidecars reject routes with a lower number than they have, and the highest
// revision of the routes that are held goes down when the newest route is removed.
//
// Overrides do not count: they are no part of the routes that sidecars get, and they are of zones, so that controllers of
// different zones would number the same routes differently.
type routingRevisions struct {
	byService       map[string]uint64 // each over defaultRevision
	defaultRevision uint64            // that of all services that are not in the map
	highest         uint64            // the highest of all

	maxServices int
}

func newRoutingRevisions() routingRevisions {
	return routingRevisions{byService: map[string]uint64{}, maxServices: maxRoutingServices}
}

// inScope is the revision of the last change of a route in a scope.
func (r *routingRevisions) inScope(scope Scope) uint64 {
	if scope.All {
		return r.highest
	}
	highest := max(r.defaultRevision, r.byService[""])
	for _, service := range scope.Services {
		highest = max(highest, r.byService[service])
	}
	return highest
}

// recordChange notes an applied change.
func (r *routingRevisions) recordChange(revision uint64, updates []Update) {
	for _, update := range updates {
		if update.Key().Kind != KindRoute {
			continue
		}
		for _, record := range []*Record{update.Before, update.After} {
			if record != nil {
				r.raiseService(record.Service, revision)
			}
		}
	}
	r.limitServices()
}

// raiseService raises the revision of a service.
func (r *routingRevisions) raiseService(service string, revision uint64) {
	if revision > max(r.defaultRevision, r.byService[service]) {
		r.byService[service] = revision
	}
	r.highest = max(r.highest, revision)
}

// raiseAll gives all services at least a revision.
func (r *routingRevisions) raiseAll(atLeast uint64) {
	r.defaultRevision = max(r.defaultRevision, atLeast)
	r.highest = max(r.highest, atLeast)
	maps.DeleteFunc(r.byService, func(_ string, revision uint64) bool { return revision <= r.defaultRevision })
}

// limitServices raises the default revision to the revisions of the older half of the services where there are too many of them: no
// revision goes down, and it is long until there are too many again.
func (r *routingRevisions) limitServices() {
	if len(r.byService) <= r.maxServices {
		return
	}
	revisions := slices.Sorted(maps.Values(r.byService))
	r.raiseAll(revisions[len(revisions)/2])
}

// derive makes the revisions of a state whose snapshot has none: from the routes that are held and the changes that are
// known. They are exact but for removals of before the known changes.
func (r *routingRevisions) derive(routes map[string]*Record, changes []Change) {
	for _, route := range routes {
		r.raiseService(route.Service, route.Revision)
	}
	for _, change := range changes {
		r.recordChange(change.Revision, change.Updates)
	}
	r.limitServices()
}

// check says why the revisions can't be those of a state.
func (r *routingRevisions) check(revision uint64, routes map[string]*Record) error {
	if r.highest > revision {
		return fmt.Errorf("its routes changed at revision %d, over the last one, %d", r.highest, revision)
	}
	for _, route := range routes {
		if route.Revision > max(r.defaultRevision, r.byService[route.Service]) {
			return fmt.Errorf("%s has revision %d, over that of its service's routes", route.Key, route.Revision)
		}
	}
	return nil
}

// appendTo encodes the default revision and the services by name.
func (r *routingRevisions) appendTo(out []byte) []byte {
	out = binary.AppendUvarint(out, r.defaultRevision)
	out = binary.AppendUvarint(out, uint64(len(r.byService)))
	for _, service := range slices.Sorted(maps.Keys(r.byService)) {
		out = appendBytes(out, service)
		out = binary.AppendUvarint(out, r.byService[service])
	}
	return out
}

// decode reads what appendTo encoded.
func (r *routingRevisions) decode(in *decoder) error {
	r.raiseAll(in.number())
	previous := ""
	for i := range in.number() {
		service := string(in.bytes())
		revision := in.number()
		if in.err != nil {
			return in.err
		}
		inOrder := i == 0 || service > previous
		if !inOrder || revision <= r.defaultRevision {
			return errRoutingOrder
		}
		r.raiseService(service, revision)
		previous = service
	}
	return in.err
}
