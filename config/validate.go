package config

import (
	"fmt"
	"slices"
	"strings"

	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/xds"
)

const noReadyNode = "no ready node would remain"

// UnusableError is returned when a controller cannot use an agreed configuration.
type UnusableError struct{ Reasons []string }

// Error implements error.
func (e *UnusableError) Error() string { return strings.Join(e.Reasons, "; ") }

// newUnusableError returns an *UnusableError with the sorted reasons, or nil if there are none.
func newUnusableError(reasons []string) error {
	if len(reasons) == 0 {
		return nil
	}
	slices.Sort(reasons)
	return &UnusableError{Reasons: reasons}
}

// ValidateProposal returns an [UnusableError] if an agreed configuration contradicts the configuration of this
// controller: its routes are not the controller's routes, no node would remain ready under its overrides, or an
// override names a node that is not listed. It must be called before the configuration is proposed.
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

// ValidateUpdate returns an [UnusableError] if a follower cannot use agreed records. Records without a route are usable
// until routes have been agreed on (previous is nil or has no routes), because until then controllers use the routes of
// their own files. An override of a node that is not listed is accepted: lists change, and such an override has no
// effect.
func (c *Controller) ValidateUpdate(agreed, previous *Agreed, nodes []Node) error {
	var reasons []string
	if len(agreed.Routes) > 0 || previous != nil && len(previous.Routes) > 0 {
		reasons = c.routeFaults(agreed.Routes)
	}
	if len(nodes) > 0 && !agreed.leavesReadyNode(nodes) { // an empty list means that none has been received yet
		reasons = append(reasons, noReadyNode)
	}
	return newUnusableError(reasons)
}

// routeFaults describes each difference that makes the given routes unusable in place of the controller's own routes.
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
			faults = append(faults, fmt.Sprintf("route %q is configured as mutating and must stay mutating: its calls must not be repeated", route.Name))
		}
		delete(missing, route.Name)
	}
	for name := range missing {
		faults = append(faults, fmt.Sprintf("route %q is missing: its calls would match no route", name))
	}
	return faults
}

// leavesReadyNode reports whether at least one listed node is ready and has no override.
func (a *Agreed) leavesReadyNode(nodes []Node) bool {
	return slices.ContainsFunc(nodes, func(n Node) bool {
		_, overridden := a.Overrides[n.Node]
		return !overridden && n.State == planner.Ready
	})
}
