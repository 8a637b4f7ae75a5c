package config

import (
	"harehook.dev/harehook/internal/kdl"
	"harehook.dev/harehook/records"
	"harehook.dev/harehook/xds"
)

// minAdmitted is the lowest limit that operators can set on the admitted fraction of a route's requests.
const minAdmitted = 0.0001

// recordReader reads nodes that define records.
type recordReader struct {
	*reader
	lineOf  map[records.Key]int // the line on which each record is defined or removed
	records []*records.Record
}

func newRecordReader() *recordReader {
	return &recordReader{reader: &reader{}, lineOf: map[records.Key]int{}}
}

// add adds a record. A duplicate key or an invalid spec is a fault.
func (r *recordReader) add(n *kdl.Node, key records.Key, spec any) {
	if key.Name == "" {
		return // the fault of the name has already been added
	}
	if _, duplicate := r.lineOf[key]; duplicate {
		r.faults.Add(n.Line, "duplicate %s %q", key.Kind, key.Name)
		return
	}
	r.lineOf[key] = n.Line
	record, err := records.New(key, spec)
	if err != nil {
		r.faults.Add(n.Line, "%v", err)
		return
	}
	r.records = append(r.records, record)
}

// readRouteRecord reads a route. A route whose prefix begins with the prefix of a preceding route is a fault.
func (r *recordReader) readRouteRecord(n *kdl.Node, preceding []xds.Route) xds.Route {
	service := r.extractName(n, "service")
	faultsBefore := len(r.faults)
	route := r.readRoute(n, preceding, routeReaders{
		"most": func(n *kdl.Node, route *xds.Route) { route.MaxAdmitted = r.onlyNumber(n, minAdmitted, 1) },
	})
	tooMany := len(preceding) >= xds.MaxRoutes // readRoute adds a fault for the first excess route only
	if len(r.faults) > faultsBefore || tooMany {
		return route
	}
	r.add(n, records.Key{Kind: records.KindRoute, Name: route.Name}, records.RouteSpec{
		Service:     service,
		Prefix:      route.Prefix,
		Mutating:    route.Mutating,
		MaxAdmitted: route.MaxAdmitted,
		TimeLimitMS: statedTimeLimitMS(n),
	})
	return route
}

// statedTimeLimitMS returns the time limit of a route exactly as it is written, without the rounding of a
// time.Duration: the text of a record must be parsed as the same record.
func statedTimeLimitMS(route *kdl.Node) (limit float64) {
	for _, child := range route.Children {
		if child.Name == "limit-ms" && len(child.Arguments) == 1 {
			limit, _ = child.Arguments[0].Data.(float64)
		}
	}
	return limit
}

func (r *recordReader) readServiceRecord(n *kdl.Node) {
	r.checkShape(n, 1)
	spec := records.ServiceSpec{}
	r.readChildren(n, nodeReaders{
		"zones": func(n *kdl.Node) {
			r.checkShape(n, len(n.Arguments))
			for index := range n.Arguments {
				spec.Zones = append(spec.Zones, r.stringArgument(n, index))
			}
		},
	}, nil)
	r.add(n, records.Key{Kind: records.KindService, Name: r.stringArgument(n, 0)}, spec)
}

func (r *recordReader) readTenantRecord(n *kdl.Node) {
	r.checkShape(n, 1, "service", "share")
	spec := records.TenantSpec{Service: r.optionalName(n, "service")}
	if share, stated := n.Properties["share"]; stated {
		spec.Share = r.numberValue(n, share, 0, 1)
	}
	r.add(n, records.Key{Kind: records.KindTenant, Name: r.stringArgument(n, 0)}, spec)
}

func (r *recordReader) readOverrideRecord(n *kdl.Node) {
	r.checkShape(n, 1, "state", "service", "zone")
	state, _ := n.Properties["state"].Data.(string)
	if state != records.StateDraining && state != records.StateGone {
		r.faults.Add(n.Line, "state of an override must be \"draining\" or \"gone\", got %v", n.Properties["state"].Data)
		return
	}
	spec := records.OverrideSpec{
		State:   state,
		Service: r.optionalName(n, "service"),
		Zone:    r.optionalName(n, "zone"),
	}
	r.add(n, records.Key{Kind: records.KindOverride, Name: r.stringArgument(n, 0)}, spec)
}

// optionalName returns the value of a property as a name, or "" if the node does not have the property.
func (r *recordReader) optionalName(n *kdl.Node, property string) string {
	value, stated := n.Properties[property]
	if !stated {
		return ""
	}
	return r.stringValue(n, value)
}

// extractName returns the value of a property as a name. It removes the property from the node, because the reader of
// the other settings rejects it as unknown.
func (r *recordReader) extractName(n *kdl.Node, property string) string {
	name := r.optionalName(n, property)
	delete(n.Properties, property)
	return name
}
