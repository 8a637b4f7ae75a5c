package config

import (
	"fmt"
	"slices"

	"harehook.dev/harehook/internal/kdl"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/records"
	"harehook.dev/harehook/xds"
)

// Agreed is what conductors agree on: the routes as they are to be, and what operators say of nodes over the list.
type Agreed struct {
	Routes    []xds.Route
	Overrides map[string]planner.EndpointState
	Records   []*records.Record // all that it is made of, ordered by key
}

// ParseAgreed reads an agreed configuration. It depends on the text alone: all conductors come to the same answer.
func ParseAgreed(text string) (*Agreed, error) {
	nodes, err := kdl.Parse(text)
	if err != nil {
		return nil, err
	}
	r := &recordReader{reader: &reader{}, lineOf: map[records.Key]int{}}
	top := r.topNode(nodes, "agreed")
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
		r.faults.Add(top.Line, "it has no route: no call would be carried")
	}
	if err := r.faults.Err(); err != nil {
		return nil, err
	}
	slices.SortFunc(r.records, func(a, b *records.Record) int { return a.Key.Compare(b.Key) })
	return AgreedFromRecords(r.records)
}

// ValidateAgreed is ParseAgreed for those who only want to know.
func ValidateAgreed(text string) error {
	_, err := ParseAgreed(text)
	return err
}

// ValidateProposal says why an agreed configuration can't be used with what this conductor knows: routes that its module does not
// decide for, or overrides that leave a zone, or all, without a node. It is asked before a proposal, not after.
func (c *Controller) ValidateProposal(a *Agreed, nodes []Node) error {
	faults := c.routeFaults(a.Routes)
	if !a.leavesReadyNode(nodes) {
		faults = append(faults, noReadyNode)
	}
	listed := map[string]bool{}
	for _, n := range nodes {
		listed[n.Node] = true
	}
	for name := range a.Overrides {
		if !listed[name] {
			faults = append(faults, fmt.Sprintf("node %q of an override is not listed", name))
		}
	}
	return joinFaults(faults)
}

// ApplyOverrides is the list of nodes as the overrides have it.
func (a *Agreed) ApplyOverrides(nodes []Node) (out []Node) {
	for _, n := range nodes {
		if condition, over := a.Overrides[n.Node]; over {
			if condition == planner.Removed {
				continue
			}
			n.State = condition
		}
		out = append(out, n)
	}
	return out
}
