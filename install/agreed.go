package install

import (
	"fmt"
	"slices"
	"strings"

	"harehook.dev/harehook/brain"
	"harehook.dev/harehook/internal/kdl"
	"harehook.dev/harehook/records"
	"harehook.dev/harehook/xds"
)

// Agreed is what conductors agree on: the routes as they are to be, and what operators say of nodes over the list.
type Agreed struct {
	Routes    []xds.Route
	Overrides map[string]brain.Condition
	Records   []*records.Record // all that it is made of, ordered by key
}

// ParseAgreed reads an agreed configuration. It depends on the text alone: all conductors come to the same answer.
func ParseAgreed(text string) (*Agreed, error) {
	nodes, err := kdl.Parse(text)
	if err != nil {
		return nil, err
	}
	r := &recordReader{reader: &reader{}, lines: map[records.Key]int{}}
	top := r.one(nodes, "agreed")
	if top == nil {
		return nil, r.faults.Err()
	}
	r.takes(top, 0)
	var routes []xds.Route
	r.each(top, nil, map[string]func(n *kdl.Node){
		"route":    func(n *kdl.Node) { routes = append(routes, r.route(n, routes)) },
		"service":  r.service,
		"tenant":   r.tenant,
		"override": r.override,
	})
	if len(routes) == 0 {
		r.faults.Add(top.Line, "it has no route: no call would be carried")
	}
	if err := r.faults.Err(); err != nil {
		return nil, err
	}
	slices.SortFunc(r.list, func(a, b *records.Record) int { return a.Key.Compare(b.Key) })
	return AgreedFrom(r.list)
}

// CheckAgreed is ParseAgreed for those who only want to know.
func CheckAgreed(text string) error {
	_, err := ParseAgreed(text)
	return err
}

// Fits says why an agreed configuration can't be used with what this conductor knows: routes that its module does not
// decide for, or overrides that leave a zone, or all, without a node. It is asked before a proposal, not after.
func (c *Conductor) Fits(a *Agreed, nodes []Node) error {
	known := map[string]xds.Route{}
	for _, r := range c.Routes {
		known[r.Name] = r
	}
	var faults []string
	for _, r := range a.Routes {
		before, is := known[r.Name]
		if !is {
			faults = append(faults, fmt.Sprintf("route %q is not configured at conductor %q", r.Name, c.Name))
		} else if before.Mutating && !r.Mutating {
			faults = append(faults, fmt.Sprintf("route %q is configured as mutating: its calls would lose their protection from repeats", r.Name))
		}
		delete(known, r.Name)
	}
	for name := range known {
		faults = append(faults, fmt.Sprintf("route %q is missing: its calls would find no route", name))
	}
	listed, left := map[string]bool{}, 0
	for _, n := range nodes {
		listed[n.Node] = true
		if _, over := a.Overrides[n.Node]; !over && n.Condition == brain.Ready {
			left++
		}
	}
	if left == 0 {
		faults = append(faults, "it leaves no node that takes calls")
	}
	for name := range a.Overrides {
		if !listed[name] {
			faults = append(faults, fmt.Sprintf("node %q of an override is not listed", name))
		}
	}
	if len(faults) == 0 {
		return nil
	}
	slices.Sort(faults)
	return fmt.Errorf("%s", strings.Join(faults, "; "))
}

// Over is the list of nodes as the overrides have it.
func (a *Agreed) Over(nodes []Node) (out []Node) {
	for _, n := range nodes {
		if condition, over := a.Overrides[n.Node]; over {
			if condition == brain.Gone {
				continue
			}
			n.Condition = condition
		}
		out = append(out, n)
	}
	return out
}
