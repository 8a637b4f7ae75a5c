package records

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
)

// maxRoutingServices bounds the number of services for which a routing revision is retained, including removed
// services. It is more than a hundred times the expected 570, and amounts to about 2 MB of a snapshot.
const maxRoutingServices = 1 << 16

// routingRevisions holds, for each service, the revision at which one of its routes was last created, changed, removed
// or moved to or from another service. Routes without a service count under the empty name.
//
// It ensures that the revision of a set of routes never decreases: sidecars reject routes with a lower revision than
// the one they have. The highest revision of the current routes would not do, because it decreases when the newest
// route is removed.
//
// Overrides do not count: they are not part of the routes that sidecars receive, and they belong to zones, so that
// controllers in different zones would number the same routes differently.
type routingRevisions struct {
	byService       map[string]uint64 // all greater than defaultRevision
	defaultRevision uint64            // revision of all services that are not in byService
	highest         uint64            // maximum of defaultRevision and byService

	maxServices int // bound on the size of byService
}

func newRoutingRevisions() routingRevisions {
	return routingRevisions{byService: map[string]uint64{}, maxServices: maxRoutingServices}
}

// inScope returns the routing revision of a scope.
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

// recordChange updates the revisions for an applied change.
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

// raiseService raises the revision of a service to at least the given one.
func (r *routingRevisions) raiseService(service string, revision uint64) {
	if revision > max(r.defaultRevision, r.byService[service]) {
		r.byService[service] = revision
	}
	r.highest = max(r.highest, revision)
}

// raiseAll raises the revisions of all services to at least the given one.
func (r *routingRevisions) raiseAll(atLeast uint64) {
	r.defaultRevision = max(r.defaultRevision, atLeast)
	r.highest = max(r.highest, atLeast)
	maps.DeleteFunc(r.byService, func(_ string, revision uint64) bool { return revision <= r.defaultRevision })
}

// limitServices bounds the size of byService. If it is exceeded, the default revision is raised to the median revision,
// which removes the older half of the services. No revision decreases, and about half of the capacity is free again.
func (r *routingRevisions) limitServices() {
	if len(r.byService) <= r.maxServices {
		return
	}
	revisions := slices.Sorted(maps.Values(r.byService))
	r.raiseAll(revisions[len(revisions)/2])
}

// derive computes the revisions of a state whose snapshot has none from its routes and its retained changes. They are
// exact except for routes that were removed or moved before the retained changes.
func (r *routingRevisions) derive(routes map[string]*Record, changes []Change) {
	for _, route := range routes {
		r.raiseService(route.Service, route.Revision)
	}
	for _, change := range changes {
		r.recordChange(change.Revision, change.Updates)
	}
	r.limitServices()
}

// check returns an error if the revisions are inconsistent with a state's revision and routes.
func (r *routingRevisions) check(revision uint64, routes map[string]*Record) error {
	if r.highest > revision {
		return fmt.Errorf("routing revision must be at most the last revision, %d, got %d", revision, r.highest)
	}
	for _, route := range routes {
		if route.Revision > max(r.defaultRevision, r.byService[route.Service]) {
			return fmt.Errorf("revision %d of %s is greater than the routing revision of its service", route.Revision, route.Key)
		}
	}
	return nil
}

// appendTo encodes the default revision, and the services with their revisions ordered by name.
func (r *routingRevisions) appendTo(out []byte) []byte {
	out = binary.AppendUvarint(out, r.defaultRevision)
	out = binary.AppendUvarint(out, uint64(len(r.byService)))
	for _, service := range slices.Sorted(maps.Keys(r.byService)) {
		out = appendBytes(out, service)
		out = binary.AppendUvarint(out, r.byService[service])
	}
	return out
}

// decode decodes revisions that appendTo encoded.
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
