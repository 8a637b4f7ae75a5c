package config

import (
	"fmt"
	"slices"
	"strings"

	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/xds"
)

const noReadyNode = "it leaves no node that takes calls"

// UnusableError says why a controller can't use an agreed configuration.
type UnusableError struct{ Reasons []string }

// Error implements error.
func (e *UnusableError) Error() string { return strings.Join(e.Reasons, "; ") }

// newUnusableError returns an *UnusableError with the reasons in order, nil if there are none.
func newUnusableError(reasons []string) error {
	if len(reasons) == 0 {
		return nil
	}
	slices.Sort(reasons)
	return &UnusableError{Reasons: reasons}
}

// ValidateProposal returns an [UnusableError] if an agreed configuration does not fit this controller's own: routes that it
// does not plan for, or overrides that leave no ready node or name one that is not listed. It is called before a proposal.
func (c *Controller) ValidateProposal(a *Agreed, nodes []Node) error {
	reasons := c.routeFaults(a.Routes)
	if !a.leavesReadyNode(nodes) {
		reasons = append(reasons, noReadyNode)
	}
	listed := map[string]bool{}
	for _, n := range nodes {
		listed[n.Node] = true
	}
	for name := range a.Overrides {
		if !listed[name] {
			reasons = append(reasons, fmt.Sprintf("node %q of an override is not listed", name))
		}
	}
	return newUnusableError(reasons)
}

// ValidateUpdate returns an [UnusableError] if a follower can't use agreed records. Records without a route are usable as
// long as no routes were agreed on before (previous is nil or has none): until then controllers use their own files. An
// override of a node that is not listed is no fault here: lists change, and such an override does nothing.
func (c *Controller) ValidateUpdate(agreed, previous *Agreed, nodes []Node) error {
	var reasons []string
	if len(agreed.Routes) > 0 || previous != nil && len(previous.Routes) > 0 {
		reasons = c.routeFaults(agreed.Routes)
	}
	if len(nodes) > 0 && !agreed.leavesReadyNode(nodes) { // an empty list has not come yet
		reasons = append(reasons, noReadyNode)
	}
	return newUnusableError(reasons)
}

// routeFaults lists what would go wrong with requests if routes replaced this controller's.
func (c *Controller) routeFaults(routes []xds.Route) (faults []string) {
	missing := map[string]xds.Route{}
	for _, route := range c.Routes {
		missing[route.Name] = route
	}
	for _, route := range routes {
		configured, known := missing[route.Name]
		switch {
		case !known:
			faults = append(faults, fmt.Sprintf("route %q is not configured at conductor %q", route.Name, c.Name))
		case configured.Mutating && !route.Mutating:
			faults = append(faults, fmt.Sprintf("route %q is configured as mutating: its calls would lose their protection from repeats", route.Name))
		}
		delete(missing, route.Name)
	}
	for name := range missing {
		faults = append(faults, fmt.Sprintf("route %q is missing: its calls would find no route", name))
	}
	return faults
}

// leavesReadyNode tells whether a listed node is ready under the overrides.
func (a *Agreed) leavesReadyNode(nodes []Node) bool {
	return slices.ContainsFunc(nodes, func(n Node) bool {
		_, overridden := a.Overrides[n.Node]
		return !overridden && n.State == planner.Ready
	})
}
