package config

import (
	"fmt"
	"math"
	"slices"
	"time"

	"harehook.dev/harehook/internal/kdl"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/records"
	"harehook.dev/harehook/xds"
)

// Agreed is the configuration that a group's controllers agree on.
type Agreed struct {
	Routes    []xds.Route                      // longer prefixes first: the first match determines a request's route
	Overrides map[string]planner.EndpointState // by node; they take precedence over the endpoint list
	Records   []*records.Record                // the records of the configuration, ordered by key
}

// overrideStates maps the state of an override record to the endpoint state that it sets.
var overrideStates = map[string]planner.EndpointState{
	records.StateDraining: planner.Draining,
	records.StateGone:     planner.Removed,
}

// ParseAgreed parses an agreed configuration. The result depends only on the text, so that all controllers compute the
// same result. The error is of type kdl.Faults.
func ParseAgreed(text string) (*Agreed, error) {
	nodes, err := kdl.Parse(text)
	if err != nil {
		return nil, err
	}
	r := newRecordReader()
	top := r.topNode(nodes, agreedNode)
	if top == nil {
		return nil, r.faults.Err()
	}
	r.checkShape(top, 0)
	var routes []xds.Route
	r.readChildren(top, nil, nodeReaders{
		"route":    func(n *kdl.Node) { routes = append(routes, r.readRouteRecord(n, routes)) },
		"service":  r.readServiceRecord,
		"tenant":   r.readTenantRecord,
		"override": r.readOverrideRecord,
	})
	if len(routes) == 0 {
		r.faults.Add(top.Line, "at least one route is required: without one no call is routed")
	}
	if err := r.faults.Err(); err != nil {
		return nil, err
	}
	slices.SortFunc(r.records, compareKeys)
	return AgreedFromRecords(r.records)
}

// ValidateAgreed returns the error of [ParseAgreed].
func ValidateAgreed(text string) error {
	_, err := ParseAgreed(text)
	return err
}

// AgreedFromRecords returns the configuration that consists of the given records, which must be ordered by key. The
// error names the record that cannot be decoded.
func AgreedFromRecords(list []*records.Record) (*Agreed, error) {
	a := &Agreed{Records: list, Overrides: map[string]planner.EndpointState{}}
	for _, record := range sortByPrecedence(list) {
		var err error
		switch record.Kind {
		case records.KindRoute:
			err = a.addRoute(record)
		case records.KindOverride:
			err = a.addOverride(record)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", record.Key, err)
		}
	}
	return a, nil
}

func (a *Agreed) addRoute(record *records.Record) error {
	spec, err := record.Route()
	if err != nil {
		return err
	}
	a.Routes = append(a.Routes, xds.Route{
		Name:        record.Name,
		Prefix:      spec.Prefix,
		Mutating:    spec.Mutating,
		MaxAdmitted: spec.MaxAdmitted,
		TimeLimit:   time.Duration(math.Round(spec.TimeLimitMS * float64(time.Millisecond))),
	})
	return nil
}

func (a *Agreed) addOverride(record *records.Record) error {
	spec, err := record.Override()
	if err != nil {
		return err
	}
	a.Overrides[record.Name] = overrideStates[spec.State]
	return nil
}

// AgreedFromFollower returns the configuration that consists of the records accepted by a follower. It
// decodes and sorts only routes and overrides, because most of the records may be tenants. It returns an error if a
// record cannot be decoded or if two routes have the same prefix.
func AgreedFromFollower(accepted map[records.Key]*records.Record) (*Agreed, error) {
	var list []*records.Record
	for key, record := range accepted {
		if key.Kind == records.KindRoute || key.Kind == records.KindOverride {
			list = append(list, record)
		}
	}
	slices.SortFunc(list, compareKeys)
	agreed, err := AgreedFromRecords(list)
	if err != nil {
		return nil, err
	}
	return agreed, checkPrefixes(agreed.Routes)
}

// checkPrefixes returns an error if a route is unreachable because another route has the same prefix. The routes must
// be sorted by prefix, so that equal prefixes are adjacent.
func checkPrefixes(routes []xds.Route) error {
	for index := 1; index < len(routes); index++ {
		previous := routes[index-1]
		route := routes[index]
		if previous.Prefix == route.Prefix {
			return fmt.Errorf("route %q is unreachable: route %q has the same prefix %q", route.Name, previous.Name, route.Prefix)
		}
	}
	return nil
}

// ApplyOverrides returns the nodes with the states that the overrides assign. Removed nodes are left out.
func (a *Agreed) ApplyOverrides(nodes []Node) (overridden []Node) {
	for _, n := range nodes {
		if state, found := a.Overrides[n.Node]; found {
			if state == planner.Removed {
				continue
			}
			n.State = state
		}
		overridden = append(overridden, n)
	}
	return overridden
}

func compareKeys(a, b *records.Record) int { return a.Compare(b.Key) }
