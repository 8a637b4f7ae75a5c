package records

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// maxRoutingServices bounds the services that a routing revision is kept for, of which some may be gone: over a hundred
// times the expected 570, and some 2 MB of a snapshot.
const maxRoutingServices = 1 << 16

// routing keeps, for each service, the revision at which one of its routes was last created, changed, removed or moved to
// or from another service. Unlike the highest revision of the routes that are held, it does not go down when the newest
// one is removed. Routes without a service are kept under the empty name.
//
// Overrides do not count: sidecars are not told of them in their routes, and they are of zones, so that conductors of
// different zones would number the same routes differently.
type routing struct {
	services map[string]uint64 // each over the floor
	floor    uint64            // that of all services that are not in the map
	last     uint64            // the highest of all

	maxServices int
}

func newRouting() routing {
	return routing{services: map[string]uint64{}, maxServices: maxRoutingServices}
}

// of is the revision of the last change of a route in a scope.
func (r *routing) of(scope Scope) uint64 {
	if scope.All {
		return r.last
	}
	highest := max(r.floor, r.services[""])
	for _, service := range scope.Services {
		highest = max(highest, r.services[service])
	}
	return highest
}

// note takes an applied change in.
func (r *routing) note(revision uint64, updates []Update) {
	for _, update := range updates {
		if update.Key().Kind != KindRoute {
			continue
		}
		for _, record := range []*Record{update.Before, update.After} {
			if record != nil {
				r.set(record.Service, revision)
			}
		}
	}
	r.bound()
}

// set raises the revision of a service.
func (r *routing) set(service string, revision uint64) {
	if revision > max(r.floor, r.services[service]) {
		r.services[service] = revision
	}
	r.last = max(r.last, revision)
}

// raise gives all services at least a revision.
func (r *routing) raise(floor uint64) {
	r.floor = max(r.floor, floor)
	r.last = max(r.last, floor)
	maps.DeleteFunc(r.services, func(_ string, revision uint64) bool { return revision <= r.floor })
}

// bound raises the floor to the revisions of the older half of the services where there are too many of them: then no
// revision goes down, and the next bound is far.
func (r *routing) bound() {
	if len(r.services) <= r.maxServices {
		return
	}
	revisions := slices.Sorted(maps.Values(r.services))
	r.raise(revisions[len(revisions)/2])
}

// derive makes the revisions of a state whose snapshot has none: from the routes that are held and the changes that are
// known. They are exact but for removals of before the known changes.
func (r *routing) derive(routes map[string]*Record, changes []Change) {
	for _, route := range routes {
		r.set(route.Service, route.Revision)
	}
	for _, change := range changes {
		r.note(change.Revision, change.Updates)
	}
	r.bound()
}

// check says why the revisions can't be those of a state.
func (r *routing) check(revision uint64, routes map[string]*Record) error {
	if r.last > revision {
		return fmt.Errorf("its routes changed at revision %d, over the last one, %d", r.last, revision)
	}
	for _, route := range routes {
		if route.Revision > max(r.floor, r.services[route.Service]) {
			return fmt.Errorf("%s has revision %d, over that of its service's routes", route.Key, route.Revision)
		}
	}
	return nil
}

// errRoutingOrder says that a snapshot is not the one that its state gives.
var errRoutingOrder = errors.New("the revisions of its services' routes are out of order")

// append encodes the floor and the services by name.
func (r *routing) append(out []byte) []byte {
	out = binary.AppendUvarint(out, r.floor)
	out = binary.AppendUvarint(out, uint64(len(r.services)))
	for _, service := range slices.Sorted(maps.Keys(r.services)) {
		out = appendBytes(out, service)
		out = binary.AppendUvarint(out, r.services[service])
	}
	return out
}

// decode reads what append encoded.
func (r *routing) decode(in *decoder) error {
	r.raise(in.number())
	before := ""
	for at := range in.number() {
		service, revision := string(in.bytes()), in.number()
		if in.err != nil {
			return in.err
		}
		if at > 0 && service <= before || revision <= r.floor {
			return errRoutingOrder
		}
		r.set(service, revision)
		before = service
	}
	return in.err
}
