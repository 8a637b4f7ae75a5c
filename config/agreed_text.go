package config

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"harehook.dev/harehook/internal/kdl"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/records"
	"harehook.dev/harehook/xds"
)

// TextFormat is the text of an agreed configuration as operators write it, in KDL, and the records that it stands for.
type TextFormat struct{}

// Parse gives the records of a text, ordered by key.
func (TextFormat) Parse(text string) ([]*records.Record, error) {
	a, err := ParseAgreed(text)
	if err != nil {
		return nil, err
	}
	return a.Records, nil
}

// Format gives the text of records. Routes with a longer prefix come first: the first that fits a call counts.
func (TextFormat) Format(list []*records.Record) string {
	if len(list) == 0 {
		return ""
	}
	byKind := map[records.Kind][]string{}
	for _, record := range sortForText(list) {
		byKind[record.Kind] = append(byKind[record.Kind], FormatRecord(record))
	}
	var out strings.Builder
	out.WriteString("agreed {\n")
	for _, kind := range []records.Kind{records.KindService, records.KindRoute, records.KindTenant, records.KindOverride} {
		for _, line := range byKind[kind] {
			out.WriteString("  " + line + "\n")
		}
	}
	out.WriteString("}\n")
	return out.String()
}

// sortForText orders routes by their prefixes, longer ones first, and leaves all else by key.
func sortForText(list []*records.Record) []*records.Record {
	prefixes := map[*records.Record]string{}
	for _, record := range list {
		if spec, err := record.Route(); err == nil && record.Kind == records.KindRoute {
			prefixes[record] = spec.Prefix
		}
	}
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b *records.Record) int {
		if a.Kind != b.Kind || a.Kind != records.KindRoute {
			return a.Key.Compare(b.Key)
		}
		return comparePrefixes(prefixes[a], prefixes[b])
	})
	return sorted
}

// comparePrefixes orders longer prefixes first.
func comparePrefixes(a, b string) int {
	if len(a) != len(b) {
		return len(b) - len(a)
	}
	return strings.Compare(a, b)
}

// FormatRecord gives the line of text that stands for a record.
func FormatRecord(record *records.Record) string {
	line := record.Kind.String() + " " + strconv.Quote(record.Name)
	property := func(name, value string) {
		if value != "" {
			line += " " + name + "=" + strconv.Quote(value)
		}
	}
	switch record.Kind {
	case records.KindRoute:
		spec, _ := record.Route()
		property("service", spec.Service)
		line += " { prefix " + strconv.Quote(spec.Prefix) + "; limit-ms " + formatNumber(spec.TimeLimitMS) + ";"
		if spec.Mutating {
			line += " mutating;"
		}
		if spec.MaxAdmitted > 0 {
			line += " most " + formatNumber(spec.MaxAdmitted) + ";"
		}
		line += " }"
	case records.KindService:
		spec, _ := record.ServiceSpec()
		if len(spec.Zones) > 0 {
			line += " { zones"
			for _, zone := range spec.Zones {
				line += " " + strconv.Quote(zone)
			}
			line += "; }"
		}
	case records.KindTenant:
		spec, _ := record.Tenant()
		property("service", spec.Service)
		line += " share=" + formatNumber(spec.Share)
	case records.KindOverride:
		spec, _ := record.Override()
		property("state", spec.State)
		property("service", spec.Service)
		property("zone", spec.Zone)
	}
	return line
}

func formatNumber(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }

// recordReader reads the nodes that stand for records.
type recordReader struct {
	*reader
	lineOf  map[records.Key]int // where each was read
	records []*records.Record
}

// add takes a record in; what can't be one is a fault of its line.
func (r *recordReader) add(n *kdl.Node, key records.Key, spec any) {
	if key.Name == "" {
		return // a fault was noted
	}
	if _, twice := r.lineOf[key]; twice {
		r.faults.Add(n.Line, "%s %q is there twice", key.Kind, key.Name)
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

// readRouteRecord reads a route that follows others, whose prefixes must not cover its own.
func (r *recordReader) readRouteRecord(n *kdl.Node, before []xds.Route) xds.Route {
	service := r.extractName(n, "service")
	faults := len(r.faults)
	route := r.readRoute(n, before, routeReaders{
		"most": func(n *kdl.Node, route *xds.Route) { route.MaxAdmitted = r.onlyNumber(n, 0.0001, 1) },
	})
	tooMany := len(before) >= xds.MaxRoutes // the first of these is a fault, the others are not read
	if len(r.faults) == faults && !tooMany {
		r.add(n, records.Key{Kind: records.KindRoute, Name: route.Name}, records.RouteSpec{
			Service: service, Prefix: route.Prefix, Mutating: route.Mutating, MaxAdmitted: route.MaxAdmitted,
			TimeLimitMS: statedTimeLimitMS(n),
		})
	}
	return route
}

// statedTimeLimitMS is a route's time limit in ms just as it is written: a record's text has to be read as the same record.
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
			for at := range n.Arguments {
				spec.Zones = append(spec.Zones, r.stringArgument(n, at))
			}
		},
	}, nil)
	r.add(n, records.Key{Kind: records.KindService, Name: r.stringArgument(n, 0)}, spec)
}

func (r *recordReader) readTenantRecord(n *kdl.Node) {
	r.checkShape(n, 1, "service", "share")
	spec := records.TenantSpec{Service: r.optionalName(n, "service")}
	if share, told := n.Properties["share"]; told {
		spec.Share = r.numberValue(n, share, 0, 1)
	}
	r.add(n, records.Key{Kind: records.KindTenant, Name: r.stringArgument(n, 0)}, spec)
}

func (r *recordReader) readOverrideRecord(n *kdl.Node) {
	r.checkShape(n, 1, "state", "service", "zone")
	state, _ := n.Properties["state"].Data.(string)
	if state != records.StateDraining && state != records.StateGone {
		r.faults.Add(n.Line, "the state of an override is \"draining\" or \"gone\"")
		return
	}
	spec := records.OverrideSpec{State: state, Service: r.optionalName(n, "service"), Zone: r.optionalName(n, "zone")}
	r.add(n, records.Key{Kind: records.KindOverride, Name: r.stringArgument(n, 0)}, spec)
}

// optionalName reads a property that names something, empty if it is not there.
func (r *recordReader) optionalName(n *kdl.Node, property string) string {
	value, told := n.Properties[property]
	if !told {
		return ""
	}
	return r.stringValue(n, value)
}

// extractName reads a property that names something and takes it off the node, whose other reader does not know it.
func (r *recordReader) extractName(n *kdl.Node, property string) string {
	name := r.optionalName(n, property)
	delete(n.Properties, property)
	return name
}

// extractRevision reads the revision that a write expects and takes it off the node.
func (r *recordReader) extractRevision(n *kdl.Node) (revision uint64, stated bool) {
	value, stated := n.Properties["revision"]
	if !stated {
		return 0, false
	}
	delete(n.Properties, "revision")
	number := r.numberValue(n, value, 0, maxRevision)
	if number != math.Trunc(number) {
		r.faults.Add(n.Line, "a revision is a whole number")
	}
	return uint64(number), true
}

// maxRevision is the largest whole number that a KDL number holds exactly.
const maxRevision = 1 << 53

// RecordWrite is a write of a file of records.
type RecordWrite struct {
	records.Write
	HasRevision bool // the file states the revision that the write expects
}

// ParseRecordWrites reads a file of records to be written together: route, service, tenant and override as in an agreed
// configuration, and remove "kind/name". Each may have revision=, what the record has to have; 0: it must be new.
func ParseRecordWrites(text string) (writes []RecordWrite, err error) {
	nodes, err := kdl.Parse(text)
	if err != nil {
		return nil, err
	}
	r := &recordReader{reader: &reader{}, lineOf: map[records.Key]int{}}
	for _, n := range nodes {
		revision, stated := r.extractRevision(n)
		write := RecordWrite{HasRevision: stated}
		before := len(r.records)
		switch n.Name {
		case "route":
			r.readRouteRecord(n, nil)
		case "service":
			r.readServiceRecord(n)
		case "tenant":
			r.readTenantRecord(n)
		case "override":
			r.readOverrideRecord(n)
		case "remove":
			write.Key = r.readRemoval(n)
		default:
			r.faults.Add(n.Line, "%q is not known: a file of records has route, service, tenant, override and remove", n.Name)
		}
		if len(r.records) > before {
			record := r.records[before]
			write.Key, write.Body = record.Key, record.Body
		}
		write.ExpectedRevision = revision
		writes = append(writes, write)
	}
	if len(nodes) == 0 {
		r.faults.Add(1, "it has no record")
	}
	return writes, r.faults.Err()
}

func (r *recordReader) readRemoval(n *kdl.Node) records.Key {
	r.checkShape(n, 1)
	text := r.stringArgument(n, 0)
	if text == "" {
		return records.Key{}
	}
	key, err := records.ParseKey(text)
	if err != nil {
		r.faults.Add(n.Line, "%v", err)
		return key
	}
	if _, twice := r.lineOf[key]; twice {
		r.faults.Add(n.Line, "%s is there twice", key)
	}
	r.lineOf[key] = n.Line
	return key
}

// AgreedFromRecords makes the routes and overrides of records that were agreed on. Routes with a longer prefix come first.
func AgreedFromRecords(list []*records.Record) (*Agreed, error) {
	a := &Agreed{Records: list, Overrides: map[string]planner.EndpointState{}}
	for _, record := range sortForText(list) {
		switch record.Kind {
		case records.KindRoute:
			spec, err := record.Route()
			if err != nil {
				return nil, fmt.Errorf("%s: %w", record.Key, err)
			}
			a.Routes = append(a.Routes, xds.Route{Name: record.Name, Prefix: spec.Prefix, Mutating: spec.Mutating, MaxAdmitted: spec.MaxAdmitted,
				TimeLimit: time.Duration(math.Round(spec.TimeLimitMS * float64(time.Millisecond)))})
		case records.KindOverride:
			spec, err := record.Override()
			if err != nil {
				return nil, fmt.Errorf("%s: %w", record.Key, err)
			}
			a.Overrides[record.Name] = overrideStates[spec.State]
		}
	}
	return a, nil
}

// overrideStates are the conditions that the states of overrides stand for.
var overrideStates = map[string]planner.EndpointState{records.StateDraining: planner.Draining, records.StateGone: planner.Removed}
