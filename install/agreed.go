package install

import (
	"fmt"
	"slices"
	"strings"

	"harehook.dev/harehook/brain"
	"harehook.dev/harehook/internal/kdl"
	"harehook.dev/harehook/xds"
)

// Agreed is what conductors agree on: the routes as they are to be, and what operators say of nodes over the list.
type Agreed struct {
	Routes    []xds.Route
	Overrides map[string]brain.Condition
}

// ParseAgreed reads an agreed configuration. It depends on the text alone: all conductors come to the same answer.
func ParseAgreed(text string) (*Agreed, error) {
	a := &Agreed{Overrides: map[string]brain.Condition{}}
	nodes, err := kdl.Parse(text)
	if err != nil {
		return nil, err
	}
	r := &reader{}
	top := r.topNode(nodes, "agreed")
	if top == nil {
		return nil, r.faults.Err()
	}
	r.checkShape(top, 0)
	r.readChildren(top, nil, nodeReaders{
		"route": func(n *kdl.Node) {
			route := r.readRoute(n, a.Routes, routeReaders{
				"most": func(n *kdl.Node, route *xds.Route) { route.Most = r.onlyNumber(n, 0.0001, 1) },
			})
			a.Routes = append(a.Routes, route)
		},
		"override": func(n *kdl.Node) {
			r.checkShape(n, 1, "state")
			name := r.stringArgument(n, 0)
			if _, twice := a.Overrides[name]; twice {
				r.faults.Add(n.Line, "node %q is there twice", name)
			}
			switch v := n.Props["state"]; v.V {
			case "draining":
				a.Overrides[name] = brain.Draining
			case "gone":
				a.Overrides[name] = brain.Gone
			default:
				r.faults.Add(n.Line, "the state of an override is \"draining\" or \"gone\"")
			}
		},
	})
	if len(a.Routes) == 0 {
		r.faults.Add(top.Line, "it has no route: no call would be carried")
	}
	return a, r.faults.Err()
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
